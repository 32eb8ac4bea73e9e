package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
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
	// failed is when a connection could not be made last.
	failed map[connKey]time.Time

	Received atomic.Int64
	Sent     atomic.Int64
}

type connKey struct {
	address string
	lane    Lane
}

// NewClient returns a client without connections.
func NewClient(opts ...Option) *Client {
	return &Client{options: newOptions(opts...), conns: map[connKey]*clientConn{}, failed: map[connKey]time.Time{}}
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

	if answer.Fault != nil {
		return answer.Fault
	}

	return Decode(answer.Body, out)
}

// exchange sends a request on the shared connection. A connection that was closed
// for idleness just now is opened again: no byte of the request left on it.
func (c *Client) exchange(ctx context.Context, key connKey, f *Frame, p patience) (*Frame, error) {
	for {
		if c.options.Links.Blocked(key.address) {
			return nil, c.blocked(ctx, key.address)
		}

		conn, err := c.conn(ctx, key)
		if err != nil {
			return nil, err
		}

		answer, err := conn.exchange(ctx, f, p)
		if !errors.Is(err, errIdle) {
			return answer, err
		}
	}
}

// blocked behaves as a cut network does: nothing comes back until the caller
// gives up or a connection attempt would have.
func (c *Client) blocked(ctx context.Context, address string) error {
	select {
	case <-ctx.Done():
	case <-time.After(c.options.DialTimeout):
	}

	return ErrUnreachable.With("%s: link is cut", address)
}

func remaining(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}

	return max(1, time.Until(deadline).Milliseconds())
}

func (c *Client) conn(ctx context.Context, key connKey) (*clientConn, error) {
	c.mu.Lock()
	cc := c.connect(key)
	c.mu.Unlock()

	select {
	case <-cc.ready:
		return cc, cc.dialErr
	case <-ctx.Done():
		return nil, ErrUnreachable.With("%s", key.address).Wrap(ctx.Err())
	}
}

// connect returns the connection that is there, or begins to make one; c.mu is
// held.
func (c *Client) connect(key connKey) *clientConn {
	cc := c.conns[key]
	if cc == nil {
		cc = &clientConn{client: c, key: key, ready: make(chan struct{}), pending: map[uint64]chan *Frame{}}
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
}

type clientConn struct {
	client  *Client
	key     connKey
	ready   chan struct{}
	dialErr error
	conn    net.Conn
	out     *writer

	mu      sync.Mutex
	pending map[uint64]chan *Frame
	lastID  uint64
	broken  bool
	idle    bool
	lastUse uint64 // the newest ID when idleness was looked at

	silence silence
}

// errIdle is returned for a connection that was closed since nobody used it.
var errIdle = errors.New("connection was closed for idleness")

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

func (cc *clientConn) dial() {
	defer close(cc.ready)

	ctx, cancel := context.WithTimeout(context.Background(), cc.client.options.DialTimeout)
	defer cancel()

	conn, err := cc.client.open(ctx, cc.key.address)
	if err != nil {
		cc.dialErr = ErrUnreachable.With("%s", cc.key.address).Wrap(err)
		cc.client.forget(cc)
		cc.client.note(cc.key, true)

		return
	}

	cc.client.mu.Lock()
	cc.conn = conn
	cc.client.mu.Unlock()
	cc.client.note(cc.key, false)
	cc.out = newWriter(conn, &cc.client.Sent)
	cc.hello()

	go cc.read()

	if cc.key.lane == LaneControl {
		time.AfterFunc(cc.client.options.IdleTimeout, cc.closeIdle)
	}
}

// hello tells the peer who opened the connection.
func (cc *clientConn) hello() {
	address := cc.client.options.Address
	if address == "" {
		return
	}

	if data, err := Encode(&Frame{Kind: KindHello, Method: address}); err == nil {
		_ = cc.out.write(data)
	}
}

func (cc *clientConn) closeIdle() {
	cc.mu.Lock()
	unused := cc.lastID == cc.lastUse && len(cc.pending) == 0
	cc.lastUse = cc.lastID
	cc.idle = unused
	done := unused || cc.broken
	cc.mu.Unlock()

	if unused {
		cc.fail()
	}

	if !done {
		time.AfterFunc(cc.client.options.IdleTimeout, cc.closeIdle)
	}
}

func (cc *clientConn) read() {
	in := bufio.NewReaderSize(cc.conn, readBuffer)

	for {
		f, size, err := Read(in)
		if err != nil {
			break
		}

		cc.client.Received.Add(int64(size))
		cc.client.options.Clock.Observe(f.Clock)
		cc.silence.heard()

		if f.Kind == KindAnswer {
			cc.deliver(f)
		}
	}

	cc.fail()
}

func (cc *clientConn) deliver(f *Frame) {
	cc.mu.Lock()
	waiting := cc.pending[f.ID]
	delete(cc.pending, f.ID)
	cc.mu.Unlock()

	if waiting != nil {
		waiting <- f
	}
}

func (cc *clientConn) fail() {
	cc.client.forget(cc)
	_ = cc.conn.Close()

	cc.mu.Lock()
	defer cc.mu.Unlock()

	cc.broken = true
	for id, waiting := range cc.pending {
		delete(cc.pending, id)
		close(waiting)
	}
}

func (cc *clientConn) exchange(ctx context.Context, f *Frame, p patience) (*Frame, error) {
	waiting := make(chan *Frame, 1)

	cc.mu.Lock()
	if cc.idle {
		cc.mu.Unlock()

		return nil, errIdle
	}

	if cc.broken {
		cc.mu.Unlock()

		return nil, ErrUnreachable.With("%s: connection ended", cc.key.address)
	}

	cc.lastID++
	f.ID = cc.lastID
	cc.pending[f.ID] = waiting
	cc.silence.watch(cc)
	cc.mu.Unlock()

	e := newEncoder()
	defer e.free()

	if err := e.frame(f, nil); err != nil {
		cc.deliver(&Frame{ID: f.ID})

		return nil, err
	}

	if err := cc.out.write(e.buf.Bytes()); err != nil {
		cc.fail()

		return nil, ErrBroken.With("%s", cc.key.address).Wrap(err)
	}

	return cc.await(ctx, f.ID, waiting, p)
}

func (cc *clientConn) await(ctx context.Context, id uint64, waiting chan *Frame, p patience) (*Frame, error) {
	var doubts <-chan struct{} // nil is never ready
	if p == leaves {
		doubts = cc.silence.doubts()
	}

	select {
	case answer, ok := <-waiting:
		if !ok {
			return nil, ErrBroken.With("%s", cc.key.address)
		}

		return answer, nil
	case <-doubts:
		cc.abandon(id)

		return nil, ErrSilent.With("%s", cc.key.address)
	case <-ctx.Done():
		cc.abandon(id)

		return nil, ErrBroken.With("%s: no answer in time", cc.key.address).Wrap(ctx.Err())
	}
}

// abandon tells the peer that nobody waits any more, so that it stops working.
func (cc *clientConn) abandon(id uint64) {
	cc.mu.Lock()
	delete(cc.pending, id)
	cc.mu.Unlock()

	data, err := Encode(&Frame{Kind: KindCancel, ID: id})
	if err == nil && !cc.client.options.Links.Blocked(cc.key.address) {
		_ = cc.out.write(data)
	}
}
