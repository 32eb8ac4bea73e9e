package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
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

	Received atomic.Int64
	Sent     atomic.Int64
}

type connKey struct {
	address string
	lane    Lane
}

// NewClient returns a client without connections.
func NewClient(opts ...Option) *Client {
	return &Client{options: newOptions(opts...), conns: map[connKey]*clientConn{}}
}

// Do sends a request and decodes its answer. The error is ErrUnreachable only
// if no byte left this process.
func (c *Client) Do(ctx context.Context, address string, lane Lane, method string, in, out any) error {
	body, err := msgpack.Marshal(in)
	if err != nil {
		return ErrFrameInvalid.Wrap(err)
	}

	if len(body) > MaxFrame/2 {
		return ErrFrameTooLarge.With("message of %d bytes", len(body))
	}

	if c.options.Links.Blocked(address) {
		return c.blocked(ctx, address)
	}

	conn, err := c.conn(ctx, connKey{address, lane})
	if err != nil {
		return err
	}

	f, err := conn.exchange(ctx, &Frame{
		Kind: KindRequest, Method: method, Body: body, Clock: c.options.Clock.Now(), RemainingMs: remaining(ctx),
	})
	if err != nil {
		return err
	}

	if f.Fault != nil {
		return f.Fault
	}

	return Decode(f.Body, out)
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

	cc := c.conns[key]
	if cc == nil {
		cc = &clientConn{client: c, key: key, ready: make(chan struct{}), pending: map[uint64]chan *Frame{}}
		c.conns[key] = cc

		go cc.dial()
	}
	c.mu.Unlock()

	select {
	case <-cc.ready:
		return cc, cc.dialErr
	case <-ctx.Done():
		return nil, ErrUnreachable.With("%s", key.address).Wrap(ctx.Err())
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
}

func (cc *clientConn) dial() {
	defer close(cc.ready)

	ctx, cancel := context.WithTimeout(context.Background(), cc.client.options.DialTimeout)
	defer cancel()

	var d net.Dialer

	conn, err := d.DialContext(ctx, "tcp", cc.key.address)
	if err != nil {
		cc.dialErr = ErrUnreachable.With("%s", cc.key.address).Wrap(err)
		cc.client.forget(cc)

		return
	}

	cc.client.mu.Lock()
	cc.conn = conn
	cc.client.mu.Unlock()
	cc.out = newWriter(conn, &cc.client.Sent)

	go cc.read()
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
		cc.deliver(f)
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

func (cc *clientConn) exchange(ctx context.Context, f *Frame) (*Frame, error) {
	waiting := make(chan *Frame, 1)

	cc.mu.Lock()
	if cc.broken {
		cc.mu.Unlock()

		return nil, ErrUnreachable.With("%s: connection ended", cc.key.address)
	}

	cc.lastID++
	f.ID = cc.lastID
	cc.pending[f.ID] = waiting
	cc.mu.Unlock()

	data, err := Encode(f)
	if err != nil {
		cc.deliver(&Frame{ID: f.ID})

		return nil, err
	}

	if err := cc.out.write(data); err != nil {
		cc.fail()

		return nil, ErrBroken.With("%s", cc.key.address).Wrap(err)
	}

	select {
	case answer, ok := <-waiting:
		if !ok {
			return nil, ErrBroken.With("%s", cc.key.address)
		}

		return answer, nil
	case <-ctx.Done():
		cc.abandon(f.ID)

		return nil, ErrBroken.With("%s: no answer in time", cc.key.address).Wrap(ctx.Err())
	}
}

// abandon tells the peer that nobody waits any more, so that it stops working.
func (cc *clientConn) abandon(id uint64) {
	cc.mu.Lock()
	delete(cc.pending, id)
	cc.mu.Unlock()

	data, err := Encode(&Frame{Kind: KindCancel, ID: id})
	if err == nil {
		_ = cc.out.write(data)
	}
}
