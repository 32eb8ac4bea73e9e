package peer

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// writer sends whole frames on a shared connection. The last of several
// concurrent writers flushes, so that a burst costs one system call.
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

// writeTimeout bounds a write to a peer that does not read. Without it all who
// share the connection wait on its lock, past their deadlines.
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

// flush sends what was written. The last of several writers does so by itself; on a busy
// host it may not have run yet when the connection is closed, and the answer of the one
// before it would be cut off though it counts as sent.
func (w *writer) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) == nil {
		_ = w.buf.Flush() // a peer that is gone misses nothing
	}
}
