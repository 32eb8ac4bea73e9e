// Package ingress serves calls from callers over HTTP/1.1.
//
// It parses requests with net/http but manages the connections itself, because
// http.Server lacks two features. Pipelined calls run concurrently, and their answers are
// written in order. And the server keeps reading while calls run, so that it detects when
// a caller disconnects, even after the caller has sent its next call, and cancels the work.
//
// # Usage
//
//	s := ingress.New(handler, ingress.Limits(holder))
//	go s.Serve(listener)
//	s.Retire()        // answers carry "Connection: close"
//	s.Close()
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/accept"
	"github.com/pollencart/pollencart/internal/call"
)

// Request is one call from a caller.
type Request struct {
	Method string
	Host   string
	URI    string
	Path   string
	Header http.Header
	Body   []byte
	// Arrived is when the whole request had been read, Connected when its connection was
	// accepted.
	Arrived, Connected time.Time
	// Ahead is how many earlier calls of the connection were unanswered at Arrived.
	Ahead int
}

// Response is the final answer to a call.
type Response struct {
	// Call is the call's ID, for logs.
	Call   string
	Status int
	Header []call.Field
	Body   []byte
}

// Handler answers calls.
type Handler interface {
	Serve(ctx context.Context, r Request) Response
}

// Server accepts connections from callers and serves their calls.
type Server struct {
	handler Handler
	options Options
	bodies  bodies

	mu         sync.Mutex
	conns      map[*conn]struct{}
	retiring   bool
	excludeNew bool
}

// New returns a server without connections.
func New(h Handler, opts ...Option) *Server {
	return &Server{handler: h, options: newOptions(opts...), conns: map[*conn]struct{}{}}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	l = accept.New(l, accept.Failed(s.options.AcceptFailed))

	for {
		raw, err := l.Accept()
		if err != nil {
			return err
		}

		c := newConn(s, raw)
		if !s.admit(c) {
			_ = raw.Close()

			continue
		}

		go c.run()
	}
}

// admit takes the memory of a connection and tracks it. At the limit of connections, the one with the slowest
// caller is closed for it.
func (s *Server) admit(c *conn) bool {
	if s.Connections() >= s.options.MaxConns && !s.options.Budget.CloseSlowest() || !c.openAccount() {
		return false
	}

	s.track(c)

	return true
}

func (s *Server) track(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.conns[c] = struct{}{}
	c.excluded = s.excludeNew

	if s.retiring {
		c.retire()
	}
}

func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.conns, c)
}

// Retire closes idle connections, and the others after their last answer.
func (s *Server) Retire() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.retiring = true

	for c := range s.conns {
		c.retire()
	}
}

// StopCounting excludes connections that are accepted from now on from Busy.
func (s *Server) StopCounting() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.excludeNew = true
}

// Abandon cancels the contexts of the accepted calls; they are still answered.
func (s *Server) Abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for c := range s.conns {
		c.cancel(ErrClosed)
	}
}

// Busy returns how many connections have unanswered calls, an answer that is being
// written, or a last answer after which the caller has not closed the connection yet.
func (s *Server) Busy() int {
	n := 0

	for _, p := range s.Pending() {
		if !p.Late {
			n++
		}
	}

	return n
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.conns)
}

// Close closes all connections and cancels their calls.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for c := range s.conns {
		c.cancel(ErrClosed)
		_ = c.raw.Close()
	}
}
