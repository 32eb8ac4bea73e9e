package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
)

const (
	// readBuffer holds the head of a request; most have no body.
	readBuffer = 4 << 10
	// maxPipelined bounds the calls of one connection that run at the same time.
	maxPipelined = 32
	// bodyTimeout bounds the time in which a body comes in.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds a caller that does not read its answer.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a connection is read on after its last answer:
	// closing it with unread bytes resets it, and the answer would be lost.
	lingerTimeout = time.Second
)

// conn is one connection of a caller.
type conn struct {
	server *Server
	raw    net.Conn
	limit  *io.LimitedReader
	in     *bufio.Reader
	ctx    context.Context //nolint:containedctx // ends with the connection
	cancel context.CancelCauseFunc
	queue  chan *exchange // in the order of arrival
	made   time.Time
	late   bool // made when the server had settled

	mu      sync.Mutex
	pending []*exchange // calls that were taken and not answered, in the order of arrival
	sending bool        // an answer is being written
	waiting bool        // nothing of the next call has come
	used    bool        // a call was taken
	closing bool        // no call is taken behind one without an answer, and the last answer ends the connection
	ended   bool        // the last answer goes out; what comes after it is not taken
}

// exchange is one call and its answer.
type exchange struct {
	request  *http.Request
	response Response
	taken    time.Time
	done     chan struct{}
	ready    time.Time // when the response was there; set before done is closed
}

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancelCause(context.Background())
	limit := &io.LimitedReader{R: raw}

	return &conn{
		server: s, raw: raw, limit: limit, in: bufio.NewReaderSize(limit, readBuffer), ctx: ctx, cancel: cancel,
		queue: make(chan *exchange, maxPipelined), made: time.Now(),
	}
}

// run reads calls until the caller or this node ends the connection.
func (c *conn) run() {
	defer c.server.forget(c)

	written := make(chan struct{})

	go func() {
		defer close(written)

		c.write()
	}()

	c.cancel(causeOf(c.read()))
	close(c.queue)
	<-written

	_ = c.raw.Close()
}

// causeOf says why a connection whose reading ended is done with.
func causeOf(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
		return ErrCallerLeft
	}

	return ErrClosed
}

// read takes calls until the connection ends. It goes on reading while calls run,
// which is how it sees that the caller went away.
func (c *conn) read() error {
	for {
		e, body, err := c.next()

		switch {
		case errors.Is(err, errEnded), errors.Is(err, os.ErrDeadlineExceeded) && c.finishes():
			return c.linger()
		case err != nil:
			return err
		}

		ahead, ok := c.take(e, e.request.Close || idle.Closed(e.done))
		if !ok {
			return c.linger()
		}

		if !idle.Closed(e.done) {
			go c.handle(e, body, ahead)
		}

		c.queue <- e

		if e.request.Close {
			return c.linger()
		}
	}
}

// linger reads on without taking calls, until the caller closes or the time after
// the last answer is over.
func (c *conn) linger() error {
	c.limit.N = DefaultBodyBytes

	if _, err := io.Copy(io.Discard, c.in); err != nil {
		return err
	}

	return io.EOF
}

// finishes takes no more calls and reports whether earlier ones have no answer yet.
func (c *conn) finishes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.closing = true

	if c.ended {
		return true
	}

	return c.busy() && c.raw.SetReadDeadline(time.Time{}) == nil
}

// busy reports whether an answer is due or being written. The lock is held.
func (c *conn) busy() bool { return len(c.pending) > 0 || c.sending }

func (c *conn) handle(e *exchange, body []byte, ahead int) {
	defer e.finish()

	uri := e.request.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = e.request.URL.RequestURI()
	}

	path, _, _ := strings.Cut(uri, "?")

	e.response = c.server.handler.Serve(c.ctx, Request{
		Method: e.request.Method, Host: e.request.Host, URI: uri, Path: path, Header: e.request.Header, Body: body, Arrived: e.taken,
		Connected: c.made, Ahead: ahead,
	})
}

// finish makes the response the answer.
func (e *exchange) finish() {
	e.ready = time.Now()
	close(e.done)
}

// take counts a call in, unless the last one was taken: a caller takes what it sent behind
// the last answer for not read, and sends it again. It returns how many calls of the
// connection have no answer yet.
func (c *conn) take(e *exchange, last bool) (ahead int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.ended || c.closing && c.busy() {
		return 0, false
	}

	c.closing = c.closing || last
	c.used = true

	e.taken = time.Now()
	c.pending = append(c.pending, e)

	return len(c.pending) - 1, true
}

// answered counts a call out whose answer is to be written, and reports whether that is the
// last.
func (c *conn) answered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.pending = slices.Delete(c.pending, 0, 1)
	c.sending = true
	c.ended = c.closing && len(c.pending) == 0

	return c.ended
}

// written notes that an answer has gone out. It reports whether the connection was retired
// meanwhile and has to end though the answer did not say so.
func (c *conn) written() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.sending = false

	if c.ended || !c.closing || len(c.pending) > 0 {
		return false
	}

	c.ended = true

	return true
}

func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return len(c.pending) == 0
}

// retire ends the connection with the answers to the calls that were taken, or at
// once if there are none. A caller that has just connected still has its first call taken.
func (c *conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.closing = true

	if c.used && c.waiting && !c.busy() {
		_ = c.raw.SetReadDeadline(time.Now()) // a closed connection needs no waking
	}
}
