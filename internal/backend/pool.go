// Package backend speaks HTTP with the backend server beside a node, over
// connections of its own.
//
// A general client pool can't be used: it takes the next bytes of a connection for
// the answer to the last request. A backend server may send an answer twice, late,
// or bytes that are no answer at all, and the second copy would be handed to
// another caller. Here each answer is told by the call ID that it echoes; answers
// to other calls are read and dropped, and a connection with unexplained bytes is
// never used again.
//
//	p := backend.New("10.1.0.8:8301", names)
//	answer, err := p.Do(ctx, request)
package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Errors of an exchange.
var (
	// ErrDown means that nobody listens at the address; nothing was sent.
	ErrDown = errs.New("backend.down", http.StatusServiceUnavailable, "the backend server does not listen")
	// ErrBusy means that no connection could be had; nothing was sent.
	ErrBusy = errs.New("backend.busy", http.StatusServiceUnavailable, "no connection to the backend server")
	// ErrLost means that the request was sent and may have run.
	ErrLost = errs.New("backend.lost", http.StatusBadGateway, "the backend server gave no whole answer")
)

const (
	// dialTimeout bounds a connection on the own host, which takes a millisecond;
	// a host whose backend server fell silent is noticed by it.
	dialTimeout = 300 * time.Millisecond
	// defaultIdle is how long a connection is kept whose backend server does not
	// say for how long it keeps it.
	defaultIdle = 4 * time.Second
	// idlePart of the stated time is used, so that nothing is sent on a connection
	// that is being closed at the other end.
	idlePart = 0.7
	// freshIdle is how long a connection may have been idle to carry a call that
	// must not run twice: a reset on a connection that was forgotten can't be told
	// from a run, and such calls can't be sent again.
	freshIdle = 2 * time.Second
)

// Request is a call as it is sent to the backend server.
type Request struct {
	ID         string
	Origin     string
	Instance   string
	Method     string
	Host       string
	URI        string
	Header     []call.Field
	Body       []byte
	Idempotent bool
}

// Answer is what the backend server gave.
type Answer struct {
	Status int
	Header []call.Field
	Body   []byte
	// NotRun is set if the backend server says that it did not run the call.
	NotRun bool
	// Other is set if another instance answered, which did not run the call.
	Other bool
}

// Pool holds the connections to one backend server.
type Pool struct {
	address string
	names   header.Names

	mu   sync.Mutex
	idle []*conn

	opened int64
}

// New returns a pool without connections.
func New(address string, names header.Names) *Pool { return &Pool{address: address, names: names} }

// Opened returns how many connections were opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.opened
}

// Do sends a request and returns its whole answer. ErrDown and ErrBusy mean that
// nothing was sent.
func (p *Pool) Do(ctx context.Context, r Request) (Answer, error) {
	c, err := p.take(ctx, r.Idempotent)
	if err != nil {
		return Answer{}, err
	}

	a, reusable, err := c.exchange(ctx, r, p.names)
	if err != nil || !reusable {
		c.close()
	} else {
		p.give(c)
	}

	return a, err
}

// take returns the connection that was used last, which is the least likely to be
// closed at the other end, or a new one.
func (p *Pool) take(ctx context.Context, idempotent bool) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}

		if !c.fresh(time.Since(c.used), idempotent) || !c.quiet() {
			c.close()

			continue
		}

		return c, nil
	}
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()

	if len(p.idle) == 0 {
		return nil
	}

	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]

	return c
}

func (p *Pool) give(c *conn) {
	c.used = time.Now()

	p.mu.Lock()
	defer p.mu.Unlock()

	p.idle = append(p.idle, c)
	p.sweep()
}

// sweep closes connections that have been idle too long to be used; the oldest are
// in front.
func (p *Pool) sweep() {
	for len(p.idle) > 0 && time.Since(p.idle[0].used) > p.idle[0].keep {
		p.idle[0].close()
		p.idle = p.idle[1:]
	}
}

// Forget closes all idle connections, after another instance took the address.
func (p *Pool) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, c := range p.idle {
		c.close()
	}

	p.idle = nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}

	raw, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() == nil {
			return nil, ErrDown.Wrap(err)
		}

		return nil, ErrBusy.Wrap(err)
	}

	p.mu.Lock()
	p.opened++
	p.mu.Unlock()

	return newConn(raw), nil
}

// Listens reports whether somebody takes connections at the address.
func (p *Pool) Listens(ctx context.Context) bool {
	c, err := p.dial(ctx)
	if err != nil {
		return false
	}

	p.give(c)

	return true
}

// Health is what a backend server says when it is asked for it.
type Health struct {
	// Instance is empty if it did not answer.
	Instance string
	// Healthy is false also while it leaves.
	Healthy bool
	// Slots is 0 if it does not tell its load.
	Slots int
}

// Probe asks the backend server which instance it is and whether it is healthy.
func (p *Pool) Probe(ctx context.Context, path string) Health {
	const patience = time.Second

	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()

	c, err := p.dial(ctx)
	if err != nil {
		return Health{}
	}
	defer c.close()

	return c.probe(ctx, path, p.names)
}
