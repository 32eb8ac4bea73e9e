package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
)

// Lane keeps kinds of traffic on connections of their own, so that a large
// answer to a call does not hold up a heartbeat.
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
	// retired are connections that were replaced, with requests that still wait on them.
	retired map[*clientConn]bool
	// failed is when a connection could not be made last.
	failed map[connKey]time.Time

	Received atomic.Int64
	Sent     atomic.Int64
}

type connKey struct {
	address string
	lane    Lane
}

// Exchange is a request and its answer, in bytes of their bodies.
type Exchange struct {
	Address   string
	Method    string
	Sent, Got int
}

// NewClient returns a client without connections.
func NewClient(opts ...Option) *Client {
	return &Client{
		options: newOptions(opts...),
		conns:   map[connKey]*clientConn{},
		retired: map[*clientConn]bool{},
		failed:  map[connKey]time.Time{},
	}
}

// Do sends a request and decodes its answer. The error is ErrUnreachable only
// if no byte left this process.
func (c *Client) Do(ctx context.Context, address string, lane Lane, method string, in, out any) error {
	return c.do(ctx, connKey{address, lane}, method, in, out, waits)
}

// DoElsewhere is Do for a request that can be sent to another peer as well: it gives
// up with ErrSilent as soon as the connection is in doubt.
func (c *Client) DoElsewhere(ctx context.Context, address string, lane Lane, method string, in, out any) error {
	return c.do(ctx, connKey{address, lane}, method, in, out, leaves)
}

// patience says what a request does on a connection that is in doubt.
type patience bool

const (
	waits  patience = false
	leaves patience = true
)

func (c *Client) do(ctx context.Context, key connKey, method string, in, out any, p patience) error {
	e := newEncoder()
	defer e.free()

	body, err := e.message(in)
	if err != nil {
		return err
	}

	if len(body) > MaxFrame/2 {
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
		return answer.Fault
	}

	return Decode(answer.Body, out)
}

// blocked behaves as a cut network does: nothing comes back until the caller
// gives up or a connection attempt would have.
func (c *Client) blocked(ctx context.Context, address string) error {
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

// connect returns the connection that is there, or begins to make one; c.mu is
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

// note keeps when a connection could not be made.
func (c *Client) note(key connKey, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if failed {
		c.failed[key] = time.Now()
	} else {
		delete(c.failed, key)
	}
}

func (c *Client) forget(cc *clientConn) {
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

// open connects and, with keys, has both ends prove themselves. No request was
// sent if it fails.
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
