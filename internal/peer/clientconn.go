package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// exchange sends a request on the shared connection. A connection that was closed
// for idleness just now is opened again: no byte of the request left on it.
func (c *Client) exchange(ctx context.Context, key connKey, f *Frame, p patience) (*Frame, error) {
	for {
		if c.options.Links.Blocked(key.address) {
			return nil, c.blocked(ctx, key.address)
		}

		conn, err := c.conn(ctx, key, p)
		if err != nil {
			return nil, err
		}

		answer, err := conn.exchange(ctx, f, p)
		if !errors.Is(err, errIdle) {
			return answer, err
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

	spoke chan struct{} // closed once something was heard
	// replacement is made while the connection is in doubt; the client's lock guards it.
	replacement *replacement

	mu      sync.Mutex
	pending map[uint64]chan *Frame
	lastID  uint64
	broken  bool
	idle    bool
	retired bool   // was replaced
	lastUse uint64 // the newest ID when idleness was looked at

	silence silence
}

// errIdle is returned for a connection that was closed since nobody used it.
var errIdle = errors.New("connection was closed for idleness")

func newClientConn(c *Client, key connKey) *clientConn {
	return &clientConn{
		client: c, key: key, ready: make(chan struct{}), spoke: make(chan struct{}), pending: map[uint64]chan *Frame{},
	}
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

	for n := 0; ; n++ {
		f, size, err := Read(in)
		if err != nil {
			break
		}

		if n == 0 {
			close(cc.spoke)
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
	waiting := cc.take(f.ID)
	if waiting != nil {
		waiting <- f
	}
}

// take returns who waits for the answer of a request, or nil, and no longer waits for it.
func (cc *clientConn) take(id uint64) chan *Frame {
	cc.mu.Lock()
	waiting := cc.pending[id]
	delete(cc.pending, id)

	if len(cc.pending) == 0 {
		cc.silence.rest()
	}

	unused := cc.unused()
	cc.mu.Unlock()

	if unused {
		cc.fail()
	}

	return waiting
}

// fail gives the connection up with all requests that wait on it. It is forgotten first, so
// that new requests find another one, and once more after it is marked, since it may have
// been taken into use as a replacement in between.
func (cc *clientConn) fail() {
	cc.client.forget(cc)
	_ = cc.conn.Close()
	cc.markBroken()
	cc.client.forget(cc)
}

func (cc *clientConn) markBroken() {
	cc.mu.Lock()
	defer cc.mu.Unlock()

	cc.broken = true
	for id, waiting := range cc.pending {
		delete(cc.pending, id)
		close(waiting)
	}
}

func (cc *clientConn) isBroken() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()

	return cc.broken
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

	for {
		select {
		case answer, ok := <-waiting:
			if !ok {
				return nil, ErrBroken.With("%s", cc.key.address)
			}

			return answer, nil
		case <-doubts:
			if cc.client.options.Patient() {
				doubts = nil // waits on

				continue
			}

			cc.abandon(id)

			return nil, ErrSilent.With("%s", cc.key.address)
		case <-ctx.Done():
			cc.abandon(id)

			return nil, ErrBroken.With("%s: no answer in time", cc.key.address).Wrap(ctx.Err())
		}
	}
}

// abandon tells the peer that nobody waits any more, so that it stops working.
func (cc *clientConn) abandon(id uint64) {
	data, err := Encode(&Frame{Kind: KindCancel, ID: id})
	if err == nil && !cc.client.options.Links.Blocked(cc.key.address) {
		_ = cc.out.write(data)
	}

	cc.take(id)
}
