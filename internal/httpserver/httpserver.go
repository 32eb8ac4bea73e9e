// Package httpserver serves HTTP/1.1 within the memory of the process: for operators, the platform, collectors of
// metrics, and callers of the node that runs without the users' platform.
//
// net/http bounds a head by its bytes, decoded it takes many times as much, and the number of connections not at all.
// This package takes connections, heads while they are read, bodies and requests from the budget of the process, and
// closes connections without room. At the limit of connections the one that has waited longest is closed for a new
// one, so that clients that only stay keep nobody out.
//
// # Usage
//
//	s := httpserver.New(handler, budget, httpserver.MaxConns(64))
//	go s.Serve(listener)
//	err := s.Shutdown(ctx)
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/membudget"
)

const (
	// DefaultMaxConns is far above the connections that the platform, operators and collectors keep.
	DefaultMaxConns = 64
	// maxHeadBytes bounds a head, with what net/http adds to it.
	maxHeadBytes = 16 << 10
	// headTimeout bounds the time to read a head, and idleTimeout that between requests.
	headTimeout = 5 * time.Second
	idleTimeout = 2 * time.Minute
	// writeTimeout bounds a write to a client that reads slowly or not at all.
	writeTimeout = 10 * time.Second
	// connBytes is what a connection takes: its buffers, its goroutine and those of its socket.
	connBytes = 64 << 10
	// requestBytes is what a request takes beside its head and body.
	requestBytes = 32 << 10
)

// Options of a server.
type Options struct {
	MaxConns int
	// ReadTimeout bounds the time to read a request with its body; 0 means no bound.
	ReadTimeout time.Duration
	// Refuse, if set, answers requests for which there is no memory. Without it, all requests are served.
	Refuse http.HandlerFunc
}

// Option sets an option.
type Option func(*Options)

// MaxConns bounds the open connections.
func MaxConns(n int) Option { return func(o *Options) { o.MaxConns = n } }

// ReadTimeout bounds the time to read a request with its body.
func ReadTimeout(d time.Duration) Option { return func(o *Options) { o.ReadTimeout = d } }

// Refuse sets the handler that answers requests for which there is no memory.
func Refuse(h http.HandlerFunc) Option { return func(o *Options) { o.Refuse = h } }

// Server is an HTTP server that takes its memory from a budget.
type Server struct {
	http.Server

	options Options
	budget  *membudget.Budget
	handler http.Handler

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server that does not listen until Serve.
func New(h http.Handler, b *membudget.Budget, opts ...Option) *Server {
	s := &Server{options: Options{MaxConns: DefaultMaxConns}, budget: b, handler: h, conns: map[*conn]struct{}{}}
	for _, opt := range opts {
		opt(&s.options)
	}

	s.Server = http.Server{
		Handler: http.HandlerFunc(s.serveHTTP), MaxHeaderBytes: maxHeadBytes, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout,
		ReadTimeout: s.options.ReadTimeout, ConnState: s.changed,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, unwrap(c))
		},
	}

	return s
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.conns)
}

// Listener returns a listener whose connections take their memory from the budget. Serve needs one, below TLS.
func (s *Server) Listener(l net.Listener) net.Listener { return &listener{Listener: l, server: s} }

type listener struct {
	net.Listener

	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}

		if c := l.server.admit(raw); c != nil {
			return c, nil
		}

		_ = raw.Close()
	}
}

// admit returns the connection with its account, or nil if there is no memory for it.
func (s *Server) admit(raw net.Conn) *conn {
	c := &conn{Conn: raw, since: time.Now()}
	c.inHead.Store(true)

	open := s.budget.Open
	if s.options.Refuse == nil {
		open = s.budget.OpenNeeded
	}

	account, ok := open(raw.RemoteAddr().String(), connBytes, c.evict)
	if !ok {
		return nil
	}

	c.account, c.charge = account, account.Charge()

	s.mu.Lock()
	defer s.mu.Unlock()

	s.conns[c] = struct{}{}

	if len(s.conns) > s.options.MaxConns {
		s.closeOldest()
	}

	return c
}

// closeOldest closes the connection that has waited for a request the longest. The caller holds mu.
func (s *Server) closeOldest() {
	var oldest *conn

	for c := range s.conns {
		if !c.serving && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}

	if oldest != nil {
		delete(s.conns, oldest)

		go oldest.evict()
	}
}

// changed follows the states of a connection.
func (s *Server) changed(nc net.Conn, state http.ConnState) {
	c := unwrap(nc)
	if c == nil {
		return
	}

	switch state {
	case http.StateIdle:
		c.charge.Release()
		c.counted = 0
		c.inHead.Store(true)
	case http.StateClosed, http.StateHijacked:
		c.account.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	case http.StateNew, http.StateActive:
	}
}

// serveHTTP serves one request, whose head was read.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil {
		s.handler.ServeHTTP(w, r)

		return
	}

	c.inHead.Store(false)
	s.setServing(c, true)

	// net/http ignores an encoding in HTTP/1.0, and what follows its head would be the next request.
	if !r.ProtoAtLeast(1, 1) {
		w.Header().Set("Connection", "close")
	}

	defer s.setServing(c, false)

	size := requestBytes + max(0, membudget.FieldsBytes(r.Header)-c.counted)

	if s.options.Refuse == nil {
		c.charge.Force(membudget.Requests, size)
	} else if !c.charge.Take(membudget.Requests, size) {
		s.options.Refuse(w, r)

		return
	}

	if r.Body != http.NoBody {
		r.Body = &body{ReadCloser: r.Body, conn: c, request: r}
	}

	s.handler.ServeHTTP(w, r.WithContext(membudget.With(r.Context(), c.charge)))
}

func (s *Server) setServing(c *conn, serving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	c.serving, c.since = serving, time.Now()

	if serving {
		c.account.Resume()
	} else {
		c.account.Wait()
	}
}
