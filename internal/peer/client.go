package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Lane separates kinds of traffic: each lane has its own connections, so that a large
// answer to a call does not delay a heartbeat.
type Lane uint8

// The lanes.
const (
	LaneControl Lane = iota
	LaneCalls
)

// Client sends requests to other nodes over shared connections.
type Client struct {
	options Options

	mu    sync.Mutex
	conns map[connKey]*clientConn
	// retired holds connections that were replaced and still have pending requests.
	retired map[*clientConn]bool
	// dialFailed holds the time of the last failed dial, until a dial succeeds.
	dialFailed map[connKey]time.Time

	Received atomic.Int64
	Sent     atomic.Int64
}

type connKey struct {
	address string
	lane    Lane
}

// Exchange reports an answered request with the sizes of both bodies in bytes.
type Exchange struct {
	Address   string
	Method    string
	Sent, Got int
}

// NewClient returns a client without connections.
func NewClient(opts ...Option) *Client {
	return &Client{
		options:    newOptions(opts...),
		conns:      map[connKey]*clientConn{},
		retired:    map[*clientConn]bool{},
		dialFailed: map[connKey]time.Time{},
	}
}

// Do sends a request and decodes its answer. It returns ErrUnreachable only if no byte
// of the request left this process.
func (c *Client) Do(ctx context.Context, address string, lane Lane, method string, in, out any) error {
	return c.do(ctx, connKey{address, lane}, method, in, out, waitOnSuspect)
}

// DoElsewhere is Do for a request that the caller can send to another peer instead: it
// fails with ErrSilent as soon as the connection is suspect.
func (c *Client) DoElsewhere(ctx context.Context, address string, lane Lane, method string, in, out any) error {
	return c.do(ctx, connKey{address, lane}, method, in, out, failOnSuspect)
}

// suspectPolicy selects what a request does while its connection is suspect.
type suspectPolicy bool

const (
	waitOnSuspect suspectPolicy = false
	failOnSuspect suspectPolicy = true
)

func (c *Client) do(ctx context.Context, key connKey, method string, in, out any, p suspectPolicy) error {
	e := newEncoder()
	defer e.free()

	if size := sizeOf(in); size > smallMessage {
		free, err := takeMessage(membudget.From(ctx), size)
		if err != nil {
			return err
		}
		defer free()

		e.grow(size)
	}

	body, err := e.message(in)
	if err != nil {
		return err
	}

	if len(body) > MaxMessage {
		return ErrFrameTooLarge.With("message of %d bytes", len(body))
	}

	f := &Frame{
		Kind: KindRequest, Method: method, Body: body, Clock: c.options.Clock.Now(), RemainingMs: remaining(ctx),
	}

	answer, err := c.exchange(ctx, key, f, p)
	if err != nil {
		c.options.Lost(key.address)

		return err
	}

	c.options.Exchanged(Exchange{Address: key.address, Method: method, Sent: len(body), Got: len(answer.Body)})

	if answer.Fault != nil {
		return remoteFault(key.address, answer.Fault)
	}

	err = Decode(answer.Body, out)

	if len(answer.Body) > smallFrame {
		membudget.From(ctx).Free(membudget.Answers, len(answer.Body))
	}

	return err
}

// takeMessage takes the memory to encode a message, in two forms, and returns a function that frees it.
func takeMessage(charge *membudget.Charge, size int) (free func(), err error) {
	const forms = 2

	switch {
	case size > MaxMessage:
		return nil, ErrFrameTooLarge.With("message of %d bytes", size)
	case !charge.Take(membudget.Requests, forms*size):
		return nil, ErrOverloaded.With("message of %d bytes", size)
	}

	return func() { charge.Free(membudget.Requests, forms*size) }, nil
}

// remoteFault returns the error for a fault that the peer reports. Errors which say that nothing left
// this process are this process's own: the peer has the request, and may have run it.
func remoteFault(address string, fault *errs.Error) error {
	if errors.Is(fault, ErrUnreachable) || errors.Is(fault, ErrFrameTooLarge) {
		return ErrBroken.With("fault of %s: %s", address, fault)
	}

	return fault
}

// simulateCut behaves like a partitioned network: it returns when ctx ends or the dial
// timeout has passed.
func (c *Client) simulateCut(ctx context.Context, address string) error {
	idle.For(ctx, c.options.DialTimeout)

	return ErrUnreachable.With("%s: link is cut", address)
}

func remaining(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}

	return max(1, time.Until(deadline).Milliseconds())
}

// connect returns the current connection for key, or starts to dial one. c.mu must be
// held.
func (c *Client) connect(key connKey) *clientConn {
	cc := c.conns[key]
	if cc == nil {
		cc = newClientConn(c, key)
		c.conns[key] = cc

		go cc.dial()
	}

	return cc
}

// recordDial records the outcome of a dial.
func (c *Client) recordDial(key connKey, dialFailed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if dialFailed {
		c.dialFailed[key] = time.Now()
	} else {
		delete(c.dialFailed, key)
	}
}

func (c *Client) remove(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()

	delete(c.retired, cc)

	if c.conns[cc.key] == cc {
		delete(c.conns, cc.key)
	}
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, cc := range c.conns {
		if cc.conn != nil {
			_ = cc.conn.Close()
		}
	}

	for cc := range c.retired {
		_ = cc.conn.Close()
	}
}

// open dials the address and, if TLS is configured, completes the handshake in which both
// ends authenticate. If it fails, no request was sent.
func (c *Client) open(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer

	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil || c.options.TLS == nil {
		return conn, err
	}

	config, err := c.options.TLS.Client()
	if err != nil {
		_ = conn.Close()

		return nil, err
	}

	secure := tls.Client(conn, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()

		return nil, err
	}

	return secure, nil
}
