package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/peer"
)

// pipe is a link that can fall silent for the connections that are open.
type pipe struct {
	address string
	silent  atomic.Int64 // connections up to this number carry nothing
	opened  atomic.Int64
}

func newPipe(t *testing.T, to string) *pipe {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	p := &pipe{address: l.Addr().String()}

	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}

			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()

				continue
			}

			number := p.opened.Add(1)

			go p.carry(out, in, number)
			go p.carry(in, out, number)
		}
	}()

	return p
}

func (p *pipe) carry(to, from net.Conn, number int64) {
	defer func() { _ = to.Close() }()

	buf := make([]byte, 4096)

	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}

		if number > p.silent.Load() {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
	}
}

// A connection between two nodes goes silent for good, without a reset, while new ones
// work. A call that can go elsewhere is given back before its deadline, one that can't
// waits a little longer, and the next ones find a connection that works.
func TestASilentConnectionIsFoundOut(t *testing.T) {
	b := newEnd(t)
	p := newPipe(t, b.address)
	c := peer.NewClient(peer.WithDialTimeout(patience))
	t.Cleanup(c.Close)

	call := func(do func(context.Context, string, peer.Lane, string, any, any) error) error {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()

		var out ping

		return do(ctx, p.address, peer.LaneCalls, "Ping", ping{Text: "x"}, &out)
	}

	assert.NilError(t, call(c.Do))
	assert.Equal(t, c.Link(p.address, peer.LaneCalls), peer.LinkReady)

	p.silent.Store(p.opened.Load())

	stays := make(chan error, 1)
	go func() { stays <- call(c.Do) }()

	assert.ErrorIs(t, call(c.DoElsewhere), peer.ErrSilent)
	assert.Equal(t, c.Link(p.address, peer.LaneCalls), peer.LinkDown)
	assert.ErrorIs(t, <-stays, peer.ErrBroken)
	assert.NilError(t, call(c.Do))
	assert.Equal(t, c.Link(p.address, peer.LaneCalls), peer.LinkReady)
}

// A node is being stopped while calls of its callers run elsewhere, and the node beside
// one of the backend servers has so little processor time that its link looks silent. A
// call that was handed over before the stop must not be given up for that: its backend
// server works at it, and the stop would have cut it off.
func TestCallsUnderWayWaitDuringAPlannedStop(t *testing.T) {
	e := newEnd(t)
	p := newPipe(t, e.address)

	var stopping atomic.Bool

	c := peer.NewClient(peer.WithDialTimeout(patience), peer.Patient(stopping.Load))
	t.Cleanup(c.Close)

	call := func(wait time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()

		var out ping

		return c.DoElsewhere(ctx, p.address, peer.LaneCalls, "Ping", ping{Text: "x"}, &out)
	}

	assert.NilError(t, call(patience))
	p.silent.Store(p.opened.Load())
	time.AfterFunc(100*time.Millisecond, func() { stopping.Store(true) })

	err := call(2 * time.Second)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// A failure domain is cut off, which silences the links to many nodes in one moment.
// The first call that finds out has all links asked, so that the others cost no call.
func TestOneSilentLinkHasTheOthersAsked(t *testing.T) {
	a, b := newEnd(t), newEnd(t)
	pa, pb := newPipe(t, a.address), newPipe(t, b.address)
	c := peer.NewClient(peer.WithDialTimeout(patience))
	t.Cleanup(c.Close)

	call := func(p *pipe) error {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()

		var out ping

		return c.DoElsewhere(ctx, p.address, peer.LaneCalls, "Ping", ping{Text: "x"}, &out)
	}

	assert.NilError(t, call(pa))
	assert.NilError(t, call(pb))
	pa.silent.Store(1)
	pb.silent.Store(1)
	assert.ErrorIs(t, call(pa), peer.ErrSilent)

	deadline := time.Now().Add(patience)
	for c.Link(pb.address, peer.LaneCalls) == peer.LinkReady {
		assert.Assert(t, time.Now().Before(deadline))
		time.Sleep(10 * time.Millisecond)
	}
}

// A call takes long while nothing else is said on the connection. The other end still
// reads, so nothing is given up.
func TestALongCallIsNotSilence(t *testing.T) {
	b := newEnd(t)
	b.server.Handle("Slow", peer.Typed(func(_ context.Context, in ping) (ping, error) {
		time.Sleep(2 * time.Second)

		return in, nil
	}))

	c := peer.NewClient(peer.WithDialTimeout(patience))
	t.Cleanup(c.Close)

	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()

	var out ping

	assert.NilError(t, c.DoElsewhere(ctx, b.address, peer.LaneCalls, "Slow", ping{Text: "x"}, &out))
	assert.Equal(t, out.Text, "x")
}
