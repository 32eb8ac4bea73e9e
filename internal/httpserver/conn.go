package httpserver

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/membudget"
)

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// conn is a connection whose memory is taken from the budget.
type conn struct {
	net.Conn

	account *membudget.Account
	charge  *membudget.Charge // of the current request
	inHead  atomic.Bool       // what is read belongs to a head
	counted int               // of the current head, in bytes; its beginning may have been read with the request before

	// Guarded by Server.mu.
	serving bool
	since   time.Time // of the last change
}

// unwrap returns the connection of this package below TLS, or nil.
func unwrap(nc net.Conn) *conn {
	if secure, ok := nc.(*tls.Conn); ok {
		nc = secure.NetConn()
	}

	c, _ := nc.(*conn)

	return c
}

// Read implements net.Conn. A head takes memory as it is read: net/http decodes it at once.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.account.Moved(n)

	if n == 0 || !c.inHead.Load() {
		return n, err
	}

	size := membudget.HeadBytes(b[:n])
	c.counted += size

	if !c.charge.Take(membudget.Requests, size) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: membudget.ErrNoRoom} // net/http answers other errors with 400
	}

	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}

	c.account.Wait()
	defer c.account.Resume()

	n, err := c.Conn.Write(b)
	c.account.Moved(n)

	return n, err
}

// evict closes the connection and drops what its socket still holds.
func (c *conn) evict() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}

	_ = c.Close()
}

// body is the body of a request. Handlers read it into buffers that grow.
type body struct {
	io.ReadCloser

	conn    *conn
	request *http.Request
}

// Read implements io.Reader. It returns membudget.ErrNoRoom if there is no memory for more.
func (b *body) Read(into []byte) (int, error) {
	const copies = 2

	b.conn.account.Wait()
	n, err := b.ReadCloser.Read(into)
	b.conn.account.Resume()

	if errors.Is(err, io.EOF) {
		b.request.Trailer = nil // no handler reads it, and its memory is not counted
	}

	if !b.conn.charge.Take(membudget.Requests, copies*n) {
		return n, membudget.ErrNoRoom
	}

	return n, err
}
