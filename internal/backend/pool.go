// Package backend is the HTTP client for the backend server on the node's host.
//
// It keeps its own connection pool, because net/http takes the next bytes on a connection
// for the answer to the last request. If a backend server sends an answer twice or late,
// or sends other unexpected bytes, one caller would get another caller's answer. This
// package matches answers to calls by the call ID that they echo, discards answers to other
// calls, and doesn't reuse a connection that received unexpected input.
//
//	p := backend.New("10.1.0.8:8301", names)
//	answer, err := p.Do(ctx, request)
package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Errors returned by Pool.Do.
var (
	// ErrDown means that the connection could not be opened; nothing was sent.
	ErrDown = errs.New("backend.down", http.StatusServiceUnavailable, "the backend server does not listen")
	// ErrBusy means that the context ended before a connection was open, or that this host has no
	// descriptors or ports for one; nothing was sent.
	ErrBusy = errs.New("backend.busy", http.StatusServiceUnavailable, "no connection to the backend server")
	// ErrLost means that the request was sent and may have run.
	ErrLost = errs.New("backend.lost", http.StatusBadGateway, "the backend server gave no whole answer")
	// ErrTooLarge means that the request was sent and may have run, and that its answer is over a limit.
	ErrTooLarge = errs.New("backend.large", http.StatusBadGateway, "the answer of the backend server is over a limit")
)

const (
	// dialTimeout bounds connecting on the node's own host, which takes about 1 ms. It detects
	// a backend server that no longer responds.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleLimit is how long an idle connection is kept if the backend server sends
	// no Keep-Alive timeout.
	defaultIdleLimit = 4 * time.Second
	// idleLimitFactor is the part of the Keep-Alive timeout that is used, so that no request
	// is sent while the backend server closes the connection.
	idleLimitFactor = 0.7
	// nonIdempotentIdleLimit bounds the idle time of a connection that carries a
	// non-idempotent call. After a reset it is unknown whether the call ran, so it can't be
	// retried.
	nonIdempotentIdleLimit = 2 * time.Second
	// giveUpTimeout bounds the wait for the end of a call that was given up. It is longer than
	// a busy host takes to notice a closed connection; a backend server that hangs longer runs nothing.
	giveUpTimeout = 500 * time.Millisecond
	// maxLarge bounds the large answers that are read at the same time.
	maxLarge = 2
)

// Request is a call to send to the backend server.
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
	// Signaled, if set, is called with what the backend server says of itself once the head of
	// its answer to this request is read. The answer may still break off.
	Signaled func(s header.Signals)
}

// Answer is the backend server's answer to a call.
type Answer struct {
	Status int
	Header []call.Field
	Body   []byte
	// NotRun is set if the backend server states that it did not run the call.
	NotRun bool
	// Other is set if another instance answered; the call was not run.
	Other bool
	// Ending is set if the call was given up after it was sent. It is closed once the backend
	// server has closed the connection, so that it no longer runs the call, or did not in time.
	Ending <-chan struct{}
}

// Pool manages the connections to one backend server.
type Pool struct {
	address string
	names   header.Names

	mu   sync.Mutex
	idle []*conn

	opened   int64
	tooLarge int64
	large    chan struct{}
}

// New returns a pool without connections.
func New(address string, names header.Names) *Pool {
	return &Pool{address: address, names: names, large: make(chan struct{}, maxLarge)}
}

// Opened returns the total number of connections opened.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.opened
}

// TooLarge returns the total number of answers over a limit.
func (p *Pool) TooLarge() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.tooLarge
}

func (p *Pool) countTooLarge(err error) {
	if !errors.Is(err, ErrTooLarge) {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.tooLarge++
}

// Do sends a request and returns its complete answer. ErrDown and ErrBusy mean that
// nothing was sent.
func (p *Pool) Do(ctx context.Context, r Request) (Answer, error) {
	c, err := p.acquire(ctx, r.Idempotent)
	if err != nil {
		return Answer{}, err
	}

	a, reusable, err := c.exchange(ctx, r, p.names)
	p.countTooLarge(err)

	switch {
	case err != nil && ctx.Err() != nil:
		ending := make(chan struct{})
		a.Ending = ending

		go func() {
			defer close(ending)

			c.giveUp()
		}()
	case err != nil || !reusable:
		c.close()
	default:
		p.release(c)
	}

	return a, err
}

// acquire returns the most recently used idle connection, since the backend server is the
// least likely to have closed it, or a new connection.
func (p *Pool) acquire(ctx context.Context, idempotent bool) (*conn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			return p.dial(ctx)
		}

		if !c.reusableAfter(time.Since(c.lastUsed), idempotent) || !c.hasNoInput() {
			c.close()

			continue
		}

		return c, nil
	}
}

func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()

	if len(p.idle) == 0 {
		return nil
	}

	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]

	return c
}

func (p *Pool) release(c *conn) {
	c.lastUsed = time.Now()

	p.mu.Lock()
	defer p.mu.Unlock()

	p.idle = append(p.idle, c)
	p.closeExpired()
}

// closeExpired closes connections at the front of the list, the least recently used, that have
// reached their idle limits. The caller holds mu.
func (p *Pool) closeExpired() {
	for len(p.idle) > 0 && time.Since(p.idle[0].lastUsed) > p.idle[0].idleLimit {
		p.idle[0].close()
		p.idle = p.idle[1:]
	}
}

// CloseIdle closes all idle connections. It is called when another instance has taken over the
// address.
func (p *Pool) CloseIdle() {
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
		return nil, dialError(ctx, err)
	}

	p.mu.Lock()
	p.opened++
	p.mu.Unlock()

	return newConn(raw, p.large), nil
}

// dialError returns whether the backend server or this host kept the connection from being opened.
// A lack of file descriptors, memory or ports here says nothing about the backend server.
func dialError(ctx context.Context, err error) error {
	local := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}
	isError := func(target error) bool { return errors.Is(err, target) }

	switch {
	case slices.ContainsFunc(local, isError):
		return ErrBusy.Wrap(err)
	case errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() == nil:
		return ErrDown.Wrap(err)
	}

	return ErrBusy.Wrap(err)
}

// Listens reports whether a connection to the backend server can be opened, or this host keeps it
// from being opened. It keeps that connection for later calls.
func (p *Pool) Listens(ctx context.Context) bool {
	c, err := p.dial(ctx)
	if err != nil {
		return errors.Is(err, ErrBusy)
	}

	p.release(c)

	return true
}

// Health is the result of a health check.
type Health struct {
	// Instance is empty if the backend server did not answer or its answer names none.
	Instance string
	// Healthy is also false while the backend server drains.
	Healthy bool
	// Slots is 0 if the answer has no valid load header.
	Slots int
	// Slowness is that of [header.Load].
	Slowness float64
}

// Probe requests the instance ID and health of the backend server from its health path, on
// a connection of its own.
func (p *Pool) Probe(ctx context.Context, path string) Health {
	const probeTimeout = time.Second

	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	c, err := p.dial(ctx)
	if err != nil {
		return Health{}
	}
	defer c.close()

	return c.probe(ctx, path, p.names)
}
