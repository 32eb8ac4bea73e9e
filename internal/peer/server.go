package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/accept"
	"github.com/pollencart/pollencart/internal/contain"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Handler handles one request and returns its answer.
type Handler func(ctx context.Context, body []byte) (any, error)

// Typed returns a handler that decodes the request for a function with typed messages.
func Typed[In, Out any](f func(context.Context, In) (Out, error)) Handler {
	return func(ctx context.Context, body []byte) (any, error) {
		var in In
		if err := Decode(body, &in); err != nil {
			return nil, err
		}

		return f(ctx, in)
	}
}

// Server handles requests of other nodes.
type Server struct {
	options  Options
	handlers map[string]Handler

	mu     sync.Mutex
	conns  map[net.Conn]*writer // nil until the handshake is complete
	closed bool

	Received atomic.Int64
	Sent     atomic.Int64

	running atomic.Int64
}

// NewServer returns a server without handlers.
func NewServer(opts ...Option) *Server {
	return &Server{options: newOptions(opts...), handlers: map[string]Handler{}, conns: map[net.Conn]*writer{}}
}

// Handle registers the handler of a method. It must not be called after Serve.
func (s *Server) Handle(method string, h Handler) { s.handlers[method] = h }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	l = accept.New(l, accept.Failed(s.options.AcceptFailed))

	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}

		if !s.track(conn) {
			_ = conn.Close()

			continue
		}

		go s.serveConn(conn)
	}
}

// track registers a connection. It rejects connections over the limit, so that a flood of
// them can't use up the memory of requests in flight.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.closed || len(s.conns) >= s.options.MaxConns {
		return false
	}

	s.conns[conn] = nil

	return true
}

// Running returns the number of requests whose answer is not written yet. Closing the
// server while it is above zero loses answers.
func (s *Server) Running() int64 { return s.running.Load() }

// Close closes all connections after flushing the answers that are already written.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.closed = true

	var wg sync.WaitGroup

	for conn, out := range s.conns {
		wg.Go(func() {
			if out != nil {
				out.flush()
			}

			_ = conn.Close()
		})
	}

	wg.Wait()
}

// setWriter sets the writer of a connection.
func (s *Server) setWriter(conn net.Conn, out *writer) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.conns[conn] = out
}

func (s *Server) serveConn(raw net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())

	account, ok := s.options.Budget.OpenNeeded(raw.RemoteAddr().String(), linkBytes, func() { _ = raw.Close() })
	defer account.Close()

	defer func() {
		cancel()
		s.mu.Lock()
		delete(s.conns, raw)
		s.mu.Unlock()
		_ = raw.Close()
	}()

	if !ok {
		return
	}

	conn, err := s.handshake(raw)
	if err != nil {
		return
	}

	sc := &serverConn{
		server:  s,
		conn:    conn,
		account: account,
		in:      bufio.NewReaderSize(conn, readBuffer),
		out:     newWriter(conn, &s.Sent),
		slots:   make(chan struct{}, s.options.MaxInFlight),
		running: map[uint64]context.CancelFunc{},
	}
	s.setWriter(raw, sc.out)

	for {
		f, charge, err := sc.read()
		if err != nil {
			return
		}

		if f != nil {
			s.options.Clock.Observe(f.Clock)
			sc.receive(ctx, f, charge)
		}
	}
}

// handshake bounds the time until the first whole frame and, if TLS is configured, reads no
// frame from a peer that can't authenticate. Without the bound, silent connections would use
// up the connection limit.
func (s *Server) handshake(conn net.Conn) (net.Conn, error) {
	if err := conn.SetReadDeadline(time.Now().Add(s.options.HelloTimeout)); err != nil {
		return nil, err
	}

	if s.options.TLS == nil {
		return conn, nil
	}

	secure := tls.Server(conn, s.options.TLS.Server(true))

	return secure, secure.HandshakeContext(context.Background())
}

type serverConn struct {
	server  *Server
	account *membudget.Account
	conn    net.Conn
	in      *bufio.Reader
	known   bool // a whole frame was read
	out     *writer
	slots   chan struct{}
	peer    atomic.Pointer[string] // address of the node at the other end

	mu      sync.Mutex
	running map[uint64]context.CancelFunc
}

// read reads the next frame with the charge for its memory. The frame is nil if it was refused.
func (c *serverConn) read() (*Frame, *membudget.Charge, error) {
	size, err := readSize(c.in)
	if err != nil {
		return nil, nil, err
	}

	charge := c.server.options.Budget.Charge()

	if size > smallFrame {
		if err := c.admitLarge(size, charge); err != nil {
			return nil, nil, c.refuseUnread(size, err)
		}
	}

	f, n, err := readFrame(c.in, size)
	c.server.Received.Add(int64(n))

	if err != nil {
		charge.Release()

		return nil, nil, err
	}

	if !c.known || size > smallFrame {
		c.known = true
		c.account.Resume()

		return f, charge, c.conn.SetReadDeadline(time.Time{})
	}

	return f, charge, nil
}

// admitLarge takes the memory of a large frame, which is then waited for. A node that has sent no whole frame yet may
// be any client.
func (c *serverConn) admitLarge(size int, charge *membudget.Charge) error {
	p := peek(c.in, size)

	take := charge.Claim // what nodes need to work together
	if !c.known || c.server.isRefusable(p) {
		take = charge.Take
	}

	if !take(membudget.Requests, size) {
		return &unread{p.id}
	}

	if !c.known {
		return nil // waited for since the connection was accepted
	}

	c.account.Wait()

	return c.conn.SetReadDeadline(time.Now().Add(largeFrameTimeout))
}

// unread is the error for a request that was refused before it was read.
type unread struct{ id uint64 }

func (u *unread) Error() string { return "request was refused" }

// refuseUnread answers a request that was refused before it was read, and reads past it.
func (c *serverConn) refuseUnread(size int, err error) error {
	var u *unread
	if !errors.As(err, &u) || !c.known {
		return err
	}

	if err := c.conn.SetReadDeadline(time.Now().Add(largeFrameTimeout)); err != nil {
		return err
	}

	if err := skip(c.in, size); err != nil {
		return err
	}

	c.refuse(u.id)

	return c.conn.SetReadDeadline(time.Time{})
}

// refuse answers that a request got to no handler.
func (c *serverConn) refuse(id uint64) {
	c.server.options.Refused(c.conn.RemoteAddr().String())

	data, err := Encode(&Frame{Kind: KindAnswer, ID: id, Clock: c.server.options.Clock.Now(), Fault: ErrOverloaded})
	if err == nil && !c.blocked() {
		_ = c.out.write(data) // the read loop closes a broken connection
	}
}

func (s *Server) isRefusable(p preview) bool {
	return p.kind == KindRequest && slices.Contains(s.options.Refusable, p.method)
}

// admit takes the memory for the message of a request. It reports whether there is room.
func (c *serverConn) admit(f *Frame, charge *membudget.Charge) bool {
	if c.server.isRefusable(preview{kind: f.Kind, method: f.Method}) {
		return charge.Take(membudget.Requests, requestBytes+messageBytes(f.Body))
	}

	charge.Force(membudget.Requests, requestBytes+2*len(f.Body))

	return true
}

func (c *serverConn) receive(ctx context.Context, f *Frame, charge *membudget.Charge) {
	if f.Kind != KindRequest {
		defer charge.Release()
	}

	switch f.Kind {
	case KindCancel:
		c.cancel(f.ID)
	case KindRequest:
		if !c.admit(f, charge) {
			charge.Release()
			c.refuse(f.ID)

			return
		}

		c.slots <- struct{}{}

		ctx, cancel := requestContext(ctx, f)

		c.mu.Lock()
		c.running[f.ID] = cancel
		c.mu.Unlock()

		c.server.running.Add(1)

		go func() {
			defer c.server.running.Add(-1)
			defer func() { <-c.slots }()
			defer c.cancel(f.ID)
			defer charge.Close()

			c.answer(membudget.With(ctx, charge), f, charge)
		}()
	case KindHello:
		c.peer.Store(&f.Method)
	case KindPing:
		c.writePong(f.ID)
	case KindAnswer, KindPong:
	}
}

func (c *serverConn) writePong(id uint64) {
	data, err := Encode(&Frame{Kind: KindPong, ID: id})
	if err == nil && !c.blocked() {
		_ = c.out.write(data) // the read loop closes a broken connection
	}
}

func requestContext(ctx context.Context, f *Frame) (context.Context, context.CancelFunc) {
	if f.RemainingMs <= 0 {
		return context.WithCancel(ctx)
	}

	return context.WithTimeout(ctx, time.Duration(f.RemainingMs)*time.Millisecond)
}

func (c *serverConn) cancel(id uint64) {
	c.mu.Lock()
	cancel := c.running[id]
	delete(c.running, id)
	c.mu.Unlock()

	if cancel != nil {
		cancel()
	}
}

func (c *serverConn) answer(ctx context.Context, f *Frame, charge *membudget.Charge) {
	out := &Frame{Kind: KindAnswer, ID: f.ID, Clock: c.server.options.Clock.Now()}

	message, err := c.server.handle(ctx, f)
	if err != nil {
		out.Fault, message = errs.From(err), nil
	}

	e := newEncoder()
	defer e.free()

	if size := sizeOf(message); size > smallMessage {
		if charge.Await(ctx, membudget.Answers, size) {
			e.grow(size)
		} else {
			out.Fault, message = ErrHandler.With("no memory for its answer"), nil
		}
	}

	if err := e.frame(out, message); err != nil {
		out.Fault = errs.From(err)

		if e.frame(out, nil) != nil {
			return
		}
	}

	if size := sizeOf(message); size > smallMessage {
		charge.Free(membudget.Answers, size) // only the frame is kept, which may wait for the other node
	}

	if !c.blocked() {
		_ = c.out.write(e.buf.Bytes())
	}
}

func (c *serverConn) blocked() bool {
	address := c.peer.Load()

	return address != nil && c.server.options.Links.Blocked(*address)
}

func (s *Server) handle(ctx context.Context, f *Frame) (answer any, err error) {
	defer contain.Panic(func(p contain.Caught) {
		s.options.Panicked(p)

		answer, err = nil, ErrHandler.With("%s", f.Method)
	})

	h, ok := s.handlers[f.Method]
	if !ok {
		return nil, ErrNoMethod.With("%s", f.Method)
	}

	return h(ctx, f.Body)
}

var _ Clock = (*timeline.Clock)(nil)
