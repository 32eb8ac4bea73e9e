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

	"github.com/pollencart/pollencart/internal/contain"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membudget"
)

const (
	// readBuffer, in bytes, holds a typical request; most have no body.
	readBuffer = 4 << 10
	// connBytes is what a connection takes without a call: its buffer, goroutines, and the buffers of its socket.
	connBytes = 64 << 10
	// SendBuffer is the size of the send buffer, in bytes, that the listener's sockets should have. The system's own grows
	// to megabytes for a caller that reads slowly.
	SendBuffer = 128 << 10
	// callBytes is what a call takes beside its head, body and answer.
	callBytes = 16 << 10
	// maxPipelined bounds the concurrent calls on one connection.
	maxPipelined = 32
	// bodyTimeout bounds reading a request body.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds writing an answer to a caller that reads slowly or not at all.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a connection is drained after its last answer. Closing a
	// socket with unread input sends a reset, which can discard the answer.
	lingerTimeout = time.Second
)

// conn is one connection from a caller.
type conn struct {
	server      *Server
	account     *membudget.Account
	socket      *membudget.Charge // what the socket holds beside connBytes
	raw         net.Conn
	source      *source
	in          *bufio.Reader
	ctx         context.Context //nolint:containedctx // ends with the connection
	cancel      context.CancelCauseFunc
	queue       chan *exchange // in order of arrival
	connectedAt time.Time
	excluded    bool // not counted by Busy

	mu           sync.Mutex
	pending      []*exchange // accepted calls without an answer, in order of arrival
	writing      bool        // an answer is being written
	awaitingCall bool        // no byte of the next call has been read
	unread       bool        // the socket may hold a part of a long answer
	idle         bool        // nothing is read or written and no call is unanswered
	reading      bool        // a part of the next call has been read
	hasCalls     bool        // at least one call was accepted
	closing      bool        // no call is accepted while another is unanswered; the connection closes after the last answer
	ended        bool        // the last answer is being written or was written; further input is discarded
}

// exchange is one call and its answer.
type exchange struct {
	request    *http.Request
	charge     *membudget.Charge // what the call and its answer take
	body       []byte
	response   Response
	acceptedAt time.Time
	done       chan struct{}
	readyAt    time.Time // when the response became available; set before done is closed
}

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancelCause(context.Background())
	in := &source{from: raw}

	return &conn{
		server: s, raw: raw, source: in, in: bufio.NewReaderSize(in, readBuffer), ctx: ctx, cancel: cancel,
		queue: make(chan *exchange, maxPipelined), connectedAt: time.Now(), idle: true,
	}
}

// openAccount takes the memory of the connection itself. It reports whether there is some.
func (c *conn) openAccount() bool {
	account, ok := c.server.options.Budget.Open(c.raw.RemoteAddr().String(), connBytes, c.evict)
	c.account, c.source.account = account, account
	c.socket = account.Charge()

	return ok
}

// evict closes the connection since others need its memory. What the socket still holds is dropped.
func (c *conn) evict() {
	c.cancel(ErrEvicted)
	c.reset()
	_ = c.raw.Close()
}

// reset has the socket drop what its caller has not read when it is closed.
func (c *conn) reset() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}

// run serves calls until the caller or this node closes the connection.
func (c *conn) run() {
	defer c.account.Close()
	defer c.server.untrack(c)

	written := make(chan struct{})

	go func() {
		defer close(written)

		c.write()
	}()

	err := c.read()
	if !errors.Is(err, errCutShort) {
		c.cancel(cancelCause(err))
	}

	close(c.queue)
	<-written

	c.cancel(ErrClosed)

	_ = c.raw.Close()
}

// cancelCause maps a read error to the cause with which the connection's context is canceled.
func cancelCause(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
		return ErrCallerDisconnected
	}

	return ErrClosed
}

// read accepts calls until the connection ends. It keeps reading while calls run, so that
// it detects when the caller disconnects.
func (c *conn) read() error {
	for {
		e, err := c.readCall()
		if e != nil && err != nil {
			c.release(e)
		}

		switch {
		case errors.Is(err, errEnded), errors.Is(err, os.ErrDeadlineExceeded) && c.startClosing():
			return c.linger()
		case err != nil:
			return err
		}

		ahead, ok := c.accept(e, e.request.Close || idle.Closed(e.done))
		if !ok {
			c.release(e)

			return c.linger()
		}

		if !idle.Closed(e.done) {
			go c.handle(e, ahead)
		}

		c.queue <- e

		if e.request.Close {
			return c.linger()
		}
	}
}

// linger discards input until the caller closes the connection or lingerTimeout after the
// last answer has passed.
func (c *conn) linger() error {
	if _, err := io.CopyN(io.Discard, c.in, DefaultBodyBytes); err != nil {
		return err
	}

	return io.EOF
}

// release frees what a call and its answer take.
func (c *conn) release(e *exchange) {
	c.releaseBody(e)
	e.response.Body = nil
	e.charge.Close()
}

// releaseBody frees the body of a request.
func (c *conn) releaseBody(e *exchange) {
	body := e.body
	e.body = nil

	c.server.bodies.add(-len(body))
	e.charge.Free(membudget.Requests, cap(body))
}

// startClosing stops accepting calls. It reports whether the connection has to stay open
// for the answers to earlier calls or for the caller to read the last one.
func (c *conn) startClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.closing = true

	if c.ended {
		return true
	}

	return c.busy() && c.raw.SetReadDeadline(time.Time{}) == nil
}

// busy reports whether a call is unanswered or an answer is being written. The caller holds mu.
func (c *conn) busy() bool { return len(c.pending) > 0 || c.writing }

func (c *conn) handle(e *exchange, ahead int) {
	defer e.complete()
	defer contain.Panic(func(p contain.Caught) {
		e.response = Response{Call: e.response.Call, Status: http.StatusBadGateway, Body: []byte("no answer, it may have run\n")}
		c.server.options.Panicked(p)
	})

	uri := e.request.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = e.request.URL.RequestURI()
	}

	path, _, _ := strings.Cut(uri, "?")

	e.response = c.server.handler.Serve(membudget.With(c.ctx, e.charge), Request{
		Method: e.request.Method, Host: e.request.Host, URI: uri, Path: path, Header: e.request.Header, Body: e.body, Arrived: e.acceptedAt,
		Connected: c.connectedAt, Ahead: ahead,
	})

	// The caller may send the next request as soon as it has the answer.
	c.releaseBody(e)
}

// complete marks the response as available.
func (e *exchange) complete() {
	e.readyAt = time.Now()
	close(e.done)
}

// accept registers a call and returns how many earlier calls of the connection are
// unanswered. It rejects a call that follows the connection's last one, because the caller
// assumes that such a call was not read and sends it again.
func (c *conn) accept(e *exchange, last bool) (ahead int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.ended || c.closing && c.busy() {
		return 0, false
	}

	c.closing = c.closing || last
	c.hasCalls = true

	c.endReading()

	e.acceptedAt = time.Now()
	c.pending = append(c.pending, e)

	return len(c.pending) - 1, true
}

// beginAnswer removes the first pending call, whose answer is written next, and reports
// whether that answer is the connection's last.
func (c *conn) beginAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.pending = slices.Delete(c.pending, 0, 1)
	c.writing = true
	c.ended = c.closing && len(c.pending) == 0

	return c.ended
}

// endAnswer records that an answer was written. It reports whether the connection has to
// close although the answer had no "Connection: close", because it was retired during the
// write.
func (c *conn) endAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.writing = false
	c.updateIdle()

	if c.ended || !c.closing || len(c.pending) > 0 {
		return false
	}

	c.ended = true

	return true
}

// beginReading says that the rest of a call is waited for.
func (c *conn) beginReading() {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.unread && !c.busy() {
		c.unread = false
		c.socket.Release() // a caller that sends its next call has read the answer
	}

	c.reading = true
	c.updateIdle()
	c.account.Wait()
}

// holdUnread counts what the socket may hold of a long answer until its caller has read it.
func (c *conn) holdUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.unread {
		c.unread = true
		c.socket.Force(membudget.Connections, SendBuffer)
	}
}

// endReading ends the wait for the rest of a call. The caller holds mu.
func (c *conn) endReading() {
	if c.reading {
		c.reading = false
		c.account.Resume()
	}
}

// updateIdle says whether the next call is waited for, with nothing else to do. The caller holds mu.
func (c *conn) updateIdle() {
	now := !c.reading && !c.busy()

	switch {
	case now && !c.idle:
		c.account.Wait()
	case !now && c.idle:
		c.account.Resume()
	}

	c.idle = now
}

func (c *conn) allAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return len(c.pending) == 0
}

// retire closes the connection after the answers to its accepted calls, or immediately if
// there are none. On a connection that has had no call yet, one call is still accepted.
func (c *conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.closing = true

	if c.hasCalls && c.awaitingCall && !c.busy() {
		_ = c.raw.SetReadDeadline(time.Now()) // fails only on a closed connection, where no read is blocked
	}
}
