package peer

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// writer writes whole frames to a shared connection. Of several concurrent writers only the
// last one flushes, so that a burst costs one system call.
type writer struct {
	conn    net.Conn
	waiting atomic.Int32
	sent    *atomic.Int64

	mu  sync.Mutex
	buf *bufio.Writer // nil while nothing is buffered
	err error         // of an earlier write
}

// maxSpareBuffers is the number of buffers that are kept while nothing is written: about as many as
// connections are written to at the same time.
const maxSpareBuffers = 16

// spareBuffers are shared by all connections: a node has several to each other node, most of them idle.
var spareBuffers = make(chan *bufio.Writer, maxSpareBuffers)

func takeBuffer(to net.Conn) *bufio.Writer {
	select {
	case b := <-spareBuffers:
		b.Reset(to)

		return b
	default:
		return bufio.NewWriterSize(to, writeBuffer)
	}
}

func giveBuffer(b *bufio.Writer) {
	b.Reset(nil)

	select {
	case spareBuffers <- b:
	default:
	}
}

func newWriter(conn net.Conn, sent *atomic.Int64) *writer {
	return &writer{conn: conn, sent: sent}
}

// writeTimeout bounds a write to a peer that does not read. Without it, all requests on the
// connection would wait for the write lock past their deadlines.
const writeTimeout = time.Second

const (
	writeBuffer = 16 << 10
	// readBuffer holds the frame of a typical call. A longer one is read past the buffer.
	readBuffer = 2 << 10
)

func (w *writer) write(data []byte) error {
	w.waiting.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()

	w.buffer(data)

	if w.waiting.Add(-1) == 0 {
		w.flushBuffer()
	}

	w.sent.Add(int64(len(data)))

	return w.err
}

// buffer adds data to the buffer. The caller holds mu.
func (w *writer) buffer(data []byte) {
	if w.err != nil {
		return
	}

	if w.err = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); w.err != nil {
		return
	}

	if w.buf == nil {
		w.buf = takeBuffer(w.conn)
	}

	_, w.err = w.buf.Write(data)
}

// flushBuffer writes out the buffer and gives it back. The caller holds mu.
func (w *writer) flushBuffer() {
	if w.buf == nil {
		return
	}

	if err := w.buf.Flush(); w.err == nil {
		w.err = err
	}

	giveBuffer(w.buf)
	w.buf = nil
}

// flush writes out the buffer. The last concurrent writer normally flushes, but on a busy
// host the connection may be closed before it runs, which would lose answers of earlier
// writers that count as sent.
func (w *writer) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) == nil {
		w.flushBuffer() // nothing is lost if the peer has terminated
	}
}
