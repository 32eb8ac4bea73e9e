package peer_test

import (
	"context"
	"math"
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

// ping sends a request through the pipe.
func (p *pipe) ping(do func(context.Context, string, peer.Lane, string, any, any) error, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()

	var out ping

	return do(ctx, p.address, peer.LaneCalls, "Ping", ping{Text: "x"}, &out)
}

// A connection between two nodes goes silent for good, without a reset, while new ones
// work. A call that can go elsewhere is given back before its deadline, one that can't
// waits a little longer, and the next ones find a connection that works.
func TestASilentConnectionIsFoundOut(t *testing.T) {
	b := newEnd(t)
	p := newPipe(t, b.address)
	c := peer.NewClient(peer.WithDialTimeout(patience))
	t.Cleanup(c.Close)

	assert.NilError(t, p.ping(c.Do, patience))
	assert.Equal(t, c.Link(p.address, peer.LaneCalls), peer.LinkReady)

	p.silent.Store(p.opened.Load())

	stays := make(chan error, 1)
	go func() { stays <- p.ping(c.Do, patience) }()

	assert.ErrorIs(t, p.ping(c.DoElsewhere, patience), peer.ErrSilent)
	assert.Equal(t, c.Link(p.address, peer.LaneCalls), peer.LinkDown)
	assert.ErrorIs(t, <-stays, peer.ErrBroken)
	assert.NilError(t, p.ping(c.Do, patience))
	assert.Equal(t, c.Link(p.address, peer.LaneCalls), peer.LinkReady)
}

// doubted returns a client whose connection through the pipe is in doubt until giveUp is
// called, with a request on it that stays.
func doubted(t *testing.T, p *pipe) (c *peer.Client, stays chan error, giveUp func()) {
	t.Helper()

	var given atomic.Bool

	c = peer.NewClient(peer.WithDialTimeout(patience), peer.Patient(func() bool { return !given.Load() }))
	t.Cleanup(c.Close)
	assert.NilError(t, p.ping(c.Do, patience))

	p.silent.Store(p.opened.Load())

	stays = make(chan error, 1)
	go func() { stays <- p.ping(c.Do, patience) }()

	untilDown(t, c, p.address)

	return c, stays, func() { given.Store(true) }
}

func untilDown(t *testing.T, c *peer.Client, address string) {
	t.Helper()

	for deadline := time.Now().Add(patience); c.Link(address, peer.LaneCalls) != peer.LinkDown; {
		assert.Assert(t, time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
}

// A failure domain was cut off and is back, and the connections from before are about to be
// given up. An upload that is sent now was put on such a connection, ran, and ended with it a
// few milliseconds later: its caller got 502 and nobody knew whether it ran.
func TestANewRequestDoesNotShareTheFateOfAConnectionInDoubt(t *testing.T) {
	e := newEnd(t)
	p := newPipe(t, e.address)
	c, stays, giveUp := doubted(t, p)

	for range 20 {
		assert.NilError(t, p.ping(c.Do, patience))
	}

	assert.Equal(t, c.Link(p.address, peer.LaneCalls), peer.LinkReady)
	assert.Equal(t, p.opened.Load(), int64(2))
	giveUp()
	assert.ErrorIs(t, <-stays, peer.ErrBroken)
	assert.NilError(t, p.ping(c.Do, patience))
	assert.Equal(t, p.opened.Load(), int64(2))
}

// The link is still cut. What is put on its connection ends as perhaps run, though nothing
// of it arrives; not sent at all, its caller can be told that it did not run.
func TestARequestIsNotSentOverALinkThatIsStillCut(t *testing.T) {
	e := newEnd(t)
	p := newPipe(t, e.address)
	c, stays, giveUp := doubted(t, p)

	p.silent.Store(math.MaxInt64)
	assert.ErrorIs(t, p.ping(c.Do, patience), peer.ErrUnreachable)
	giveUp()
	assert.ErrorIs(t, <-stays, peer.ErrBroken)
}

// A host stood still for half a second and answers again. A request that was about to leave its
// connection for a new one goes on with the old, and is not refused.
func TestAConnectionThatSpeaksAgainIsUsed(t *testing.T) {
	const address = "client"

	e := newEnd(t)
	hold := make(chan struct{})

	e.server.Handle("Hold", peer.Typed(func(_ context.Context, in ping) (ping, error) {
		<-hold

		return in, nil
	}))

	c := peer.NewClient(peer.WithDialTimeout(patience), peer.Address(address), peer.Patient(func() bool { return true }))
	t.Cleanup(c.Close)

	do := func(method string) chan error {
		done := make(chan error, 1)

		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()

			var out ping

			done <- c.Do(ctx, e.address, peer.LaneCalls, method, ping{Text: "x"}, &out)
		}()

		return done
	}

	assert.NilError(t, <-do("Ping"))
	e.faults.Block(address)

	held := do("Hold")
	untilDown(t, c, e.address)

	waits := do("Ping")

	time.Sleep(short)
	e.faults.Block()
	close(hold)
	assert.NilError(t, <-held)
	assert.NilError(t, <-waits)
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

	assert.NilError(t, p.ping(c.DoElsewhere, patience))
	p.silent.Store(p.opened.Load())
	time.AfterFunc(100*time.Millisecond, func() { stopping.Store(true) })

	err := p.ping(c.DoElsewhere, 2*time.Second)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// A failure domain is cut off, which silences the links to many nodes in one moment.
// The first call that finds out has all links asked, so that the others cost no call.
func TestOneSilentLinkHasTheOthersAsked(t *testing.T) {
	a, b := newEnd(t), newEnd(t)
	pa, pb := newPipe(t, a.address), newPipe(t, b.address)
	c := peer.NewClient(peer.WithDialTimeout(patience))
	t.Cleanup(c.Close)

	assert.NilError(t, pa.ping(c.DoElsewhere, patience))
	assert.NilError(t, pb.ping(c.DoElsewhere, patience))
	pa.silent.Store(1)
	pb.silent.Store(1)
	assert.ErrorIs(t, pa.ping(c.DoElsewhere, patience), peer.ErrSilent)

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
