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
	cc.mu.Lock()
	delete(cc.pending, id)
	cc.mu.Unlock()

	data, err := Encode(&Frame{Kind: KindCancel, ID: id})
	if err == nil && !cc.client.options.Links.Blocked(cc.key.address) {
		_ = cc.out.write(data)
	}
}
