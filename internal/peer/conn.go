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
	buf *bufio.Writer
}

func newWriter(conn net.Conn, sent *atomic.Int64) *writer {
	return &writer{conn: conn, sent: sent, buf: bufio.NewWriterSize(conn, writeBuffer)}
}

// writeTimeout bounds a write to a peer that does not read. Without it, all requests on the
// connection would wait for the write lock past their deadlines.
const writeTimeout = time.Second

const (
	writeBuffer = 16 << 10
	readBuffer  = 16 << 10
)

func (w *writer) write(data []byte) error {
	w.waiting.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()

	err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		_, err = w.buf.Write(data)
	}

	last := w.waiting.Add(-1) == 0

	if err == nil && last {
		err = w.buf.Flush()
	}

	w.sent.Add(int64(len(data)))

	return err
}

// flush writes out the buffer. The last concurrent writer normally flushes, but on a busy
// host the connection may be closed before it runs, which would lose answers of earlier
// writers that count as sent.
func (w *writer) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) == nil {
		_ = w.buf.Flush() // nothing is lost if the peer has terminated
	}
}
