// Package ingress takes calls of callers over HTTP/1.1.
//
// It reads with net/http's own reader, but keeps the connections itself, for two
// things that the library's server does not do. It serves calls that a caller sent
// before the first one was answered at the same time, and gives the answers back
// in their order. And it goes on reading while calls run, so that a caller that
// goes away is noticed at once, also when it has sent its next call already: the
// work done for it could serve somebody else.
//
// # Usage
//
//	s := ingress.New(handler, ingress.Limits(holder))
//	go s.Serve(listener)
//	s.Retire()        // answers tell callers to go elsewhere
//	s.Close()
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/call"
)

// Request is one call of a caller.
type Request struct {
	Method string
	Host   string
	URI    string
	Path   string
	Header http.Header
	Body   []byte
	// Arrived is when the whole request had been read, Connected when its connection was
	// made.
	Arrived, Connected time.Time
	// Ahead is how many earlier calls of the connection had no answer then.
	Ahead int
}

// Response is the final answer to a call.
type Response struct {
	// Call is the call's ID, for the log.
	Call   string
	Status int
	Header []call.Field
	Body   []byte
}

// Handler answers calls.
type Handler interface {
	Serve(ctx context.Context, r Request) Response
}

// Server takes calls.
type Server struct {
	handler Handler
	options Options

	mu       sync.Mutex
	conns    map[*conn]struct{}
	retiring bool
	settling bool
}

// New returns a server that does not listen.
func New(h Handler, opts ...Option) *Server {
	return &Server{handler: h, options: newOptions(opts...), conns: map[*conn]struct{}{}}
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if err != nil {
			return err
		}

		c := newConn(s, raw)
		if !s.track(c) {
			_ = raw.Close()

			continue
		}

		go c.run()
	}
}

func (s *Server) track(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if len(s.conns) >= s.options.MaxConns {
		return false
	}

	s.conns[c] = struct{}{}
	c.late = s.settling

	if s.retiring {
		c.retire()
	}

	return true
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.conns, c)
}

// Retire closes idle connections, and the others with their last answer.
func (s *Server) Retire() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.retiring = true

	for c := range s.conns {
		c.retire()
	}
}

// Settle leaves connections that are made from now on out of Busy.
func (s *Server) Settle() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.settling = true
}

// Abandon ends the work on the calls that were taken; they are still answered.
func (s *Server) Abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for c := range s.conns {
		c.cancel(ErrClosed)
	}
}

// Busy returns how many connections have calls without an answer or one that is being
// written, or a last answer that went out and whose caller has not closed yet.
func (s *Server) Busy() int {
	n := 0

	for _, p := range s.Pending() {
		if !p.Late {
			n++
		}
	}

	return n
}

// Connections returns how many connections there are.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.conns)
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for c := range s.conns {
		c.cancel(ErrClosed)
		_ = c.raw.Close()
	}
}
