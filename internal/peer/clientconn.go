package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/membudget"
)

// exchange sends a request on the shared connection and waits for the answer. If the
// connection was closed as idle in the meantime, no byte of the request was sent on it, so
// the request is retried on a new one.
func (c *Client) exchange(ctx context.Context, key connKey, f *Frame, p suspectPolicy) (*Frame, error) {
	for {
		if c.options.Links.Blocked(key.address) {
			return nil, c.simulateCut(ctx, key.address)
		}

		conn, err := c.conn(ctx, key, p)
		if err != nil {
			return nil, err
		}

		answer, err := conn.exchange(ctx, f, p)
		if !errors.Is(err, errClosedIdle) {
			return answer, err
		}
	}
}

// pending is a request without an answer.
type pending struct {
	answer chan *Frame
	method string
	charge *membudget.Charge // takes the memory of the answer
}

type clientConn struct {
	client  *Client
	key     connKey
	ready   chan struct{}
	dialErr error
	conn    net.Conn
	out     *writer

	firstFrame chan struct{} // closed after the first frame was read
	// replacement is set while a replacement of this suspect connection is dialled; guarded
	// by client.mu.
	replacement *replacement

	mu            sync.Mutex
	pending       map[uint64]pending
	lastID        uint64
	broken        bool
	closedIdle    bool
	retired       bool   // replaced by another connection
	lastCheckedID uint64 // value of lastID at the last idle check

	liveness liveness
}

// errClosedIdle is returned for a connection that was closed because it was idle.
var errClosedIdle = errors.New("connection was closed because it was idle")

func newClientConn(c *Client, key connKey) *clientConn {
	return &clientConn{
		client: c, key: key, ready: make(chan struct{}), firstFrame: make(chan struct{}), pending: map[uint64]pending{},
	}
}

func (cc *clientConn) dial() {
	defer close(cc.ready)

	ctx, cancel := context.WithTimeout(context.Background(), cc.client.options.DialTimeout)
	defer cancel()

	conn, err := cc.client.open(ctx, cc.key.address)
	if err != nil {
		cc.dialErr = ErrUnreachable.With("%s", cc.key.address).Wrap(err)
		cc.client.remove(cc)
		cc.client.recordDial(cc.key, true)

		return
	}

	cc.client.mu.Lock()
	cc.conn = conn
	cc.client.mu.Unlock()
	cc.client.recordDial(cc.key, false)
	cc.out = newWriter(conn, &cc.client.Sent)
	cc.hello()

	go cc.read()

	if cc.key.lane == LaneControl {
		time.AfterFunc(cc.client.options.IdleTimeout, cc.closeIdle)
	}
}

// hello sends the address of this node to the peer.
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
	unused := cc.lastID == cc.lastCheckedID && len(cc.pending) == 0
	cc.lastCheckedID = cc.lastID
	cc.closedIdle = unused
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
		f, size, err := cc.readFrame(in)
		if err != nil {
			break
		}

		if n == 0 {
			close(cc.firstFrame)
		}

		cc.client.Received.Add(int64(size))
		cc.client.options.Clock.Observe(f.Clock)
		cc.liveness.observeRead()

		if f.Kind == KindAnswer {
			cc.deliver(f)
		}
	}

	cc.fail()
}

// readFrame reads the next frame, whose memory is taken from the charge of its request. Without room the answer
// is discarded, and the frame is a fault in its place.
func (cc *clientConn) readFrame(in *bufio.Reader) (*Frame, int, error) {
	size, err := readSize(in)
	if err != nil {
		return nil, 0, err
	}

	if size > smallFrame {
		p := peek(in, size)

		request, waiting := cc.pendingOf(p.id)
		if p.kind == KindAnswer && (!waiting || !request.charge.Claim(membudget.Answers, size)) {
			return cc.drop(p.id), size, skip(in, size)
		}
	}

	f, size, err := readFrame(in, size)
	if err != nil || f.Kind != KindAnswer {
		return f, size, err
	}

	if request, _ := cc.pendingOf(f.ID); request.charge != nil && !request.charge.Claim(membudget.Answers, messageBytes(f.Body)) {
		f = cc.drop(f.ID)
	}

	return f, size, nil
}

// drop returns the fault that takes the place of an answer for which there is no memory.
func (cc *clientConn) drop(id uint64) *Frame {
	if request, waiting := cc.pendingOf(id); waiting {
		cc.client.options.AnswerDropped(cc.key.address, request.method)
	}

	return &Frame{Kind: KindAnswer, ID: id, Fault: ErrNoMemory}
}

// pendingOf returns a request and whether it is pending.
func (cc *clientConn) pendingOf(id uint64) (pending, bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()

	p, ok := cc.pending[id]

	return p, ok
}

func (cc *clientConn) deliver(f *Frame) {
	waiting := cc.removePending(f.ID)
	if waiting != nil {
		waiting <- f
	}
}

// removePending removes a pending request and returns the channel that waits for its
// answer, or nil.
func (cc *clientConn) removePending(id uint64) chan *Frame {
	cc.mu.Lock()
	waiting := cc.pending[id].answer
	delete(cc.pending, id)

	if len(cc.pending) == 0 {
		cc.liveness.stop()
	}

	retiredAndIdle := cc.retiredAndIdle()
	cc.mu.Unlock()

	if retiredAndIdle {
		cc.fail()
	}

	return waiting
}

// fail closes the connection and fails its pending requests. It is removed from the client
// first, so that new requests use another connection, and again after it is marked broken,
// because it may have been installed as a replacement in between.
func (cc *clientConn) fail() {
	cc.client.remove(cc)
	_ = cc.conn.Close()
	cc.markBroken()
	cc.client.remove(cc)
}

func (cc *clientConn) markBroken() {
	cc.mu.Lock()
	defer cc.mu.Unlock()

	cc.broken = true
	for id, p := range cc.pending {
		delete(cc.pending, id)
		close(p.answer)
	}
}

func (cc *clientConn) isBroken() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()

	return cc.broken
}

func (cc *clientConn) exchange(ctx context.Context, f *Frame, p suspectPolicy) (*Frame, error) {
	waiting := make(chan *Frame, 1)

	cc.mu.Lock()
	if cc.closedIdle {
		cc.mu.Unlock()

		return nil, errClosedIdle
	}

	if cc.broken {
		cc.mu.Unlock()

		return nil, ErrUnreachable.With("%s: connection ended", cc.key.address)
	}

	cc.lastID++
	f.ID = cc.lastID
	cc.pending[f.ID] = pending{waiting, f.Method, membudget.From(ctx)}
	cc.liveness.start(cc)
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

func (cc *clientConn) await(ctx context.Context, id uint64, waiting chan *Frame, p suspectPolicy) (*Frame, error) {
	var whenSuspect <-chan struct{} // nil blocks forever
	if p == failOnSuspect {
		whenSuspect = cc.liveness.whenSuspect()
	}

	for {
		select {
		case answer, ok := <-waiting:
			if !ok {
				return nil, ErrBroken.With("%s", cc.key.address)
			}

			return answer, nil
		case <-whenSuspect:
			if cc.client.options.WaitOnSuspect() {
				whenSuspect = nil // keep waiting for the answer

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

// abandon drops a pending request and sends a cancel frame, so that the peer stops working
// on it.
func (cc *clientConn) abandon(id uint64) {
	data, err := Encode(&Frame{Kind: KindCancel, ID: id})
	if err == nil && !cc.client.options.Links.Blocked(cc.key.address) {
		_ = cc.out.write(data)
	}

	cc.removePending(id)
}
