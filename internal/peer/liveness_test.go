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

// proxy forwards connections to another address and can silence those that are open.
type proxy struct {
	address    string
	silentUpTo atomic.Int64 // connections up to this number forward nothing
	opened     atomic.Int64
}

func newProxy(t *testing.T, to string) *proxy {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	p := &proxy{address: l.Addr().String()}

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

			go p.forward(out, in, number)
			go p.forward(in, out, number)
		}
	}()

	return p
}

func (p *proxy) forward(to, from net.Conn, number int64) {
	defer func() { _ = to.Close() }()

	buf := make([]byte, 4096)

	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}

		if number > p.silentUpTo.Load() {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
	}
}

// ping sends a request through the proxy.
func (p *proxy) ping(do func(context.Context, string, peer.Lane, string, any, any) error, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()

	var out ping

	return do(ctx, p.address, peer.LaneCalls, "Ping", ping{Text: "x"}, &out)
}

// A connection between two nodes goes silent without a reset, while new connections work. A
// request that can go to another node fails before its deadline, one that can't fails a little
// later, and later requests use a new connection.
func TestSilentConnectionIsDetectedAndReplaced(t *testing.T) {
	b := newEndpoint(t)
	p := newProxy(t, b.address)
	c := peer.NewClient(peer.WithDialTimeout(testTimeout))
	t.Cleanup(c.Close)

	assert.NilError(t, p.ping(c.Do, testTimeout))
	assert.Equal(t, c.Link(p.address, peer.LaneCalls), peer.LinkReady)

	p.silentUpTo.Store(p.opened.Load())

	pending := make(chan error, 1)
	go func() { pending <- p.ping(c.Do, testTimeout) }()

	assert.ErrorIs(t, p.ping(c.DoElsewhere, testTimeout), peer.ErrSilent)
	assert.Equal(t, c.Link(p.address, peer.LaneCalls), peer.LinkDown)
	assert.ErrorIs(t, <-pending, peer.ErrBroken)
	assert.NilError(t, p.ping(c.Do, testTimeout))
	assert.Equal(t, c.Link(p.address, peer.LaneCalls), peer.LinkReady)
}

// suspectClient returns a client whose connection through the proxy is suspect until
// stopWaiting is called, with a request pending on it.
func suspectClient(t *testing.T, p *proxy) (c *peer.Client, pending chan error, stopWaiting func()) {
	t.Helper()

	var stopped atomic.Bool

	c = peer.NewClient(peer.WithDialTimeout(testTimeout), peer.WaitOnSuspect(func() bool { return !stopped.Load() }))
	t.Cleanup(c.Close)
	assert.NilError(t, p.ping(c.Do, testTimeout))

	p.silentUpTo.Store(p.opened.Load())

	pending = make(chan error, 1)
	go func() { pending <- p.ping(c.Do, testTimeout) }()

	waitForLinkDown(t, c, p.address)

	return c, pending, func() { stopped.Store(true) }
}

func waitForLinkDown(t *testing.T, c *peer.Client, address string) {
	t.Helper()

	for deadline := time.Now().Add(testTimeout); c.Link(address, peer.LaneCalls) != peer.LinkDown; {
		assert.Assert(t, time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
}

// A failure domain becomes reachable again while the connections from before the partition are
// suspect. An upload sent on such a connection would run and fail with the connection a few
// milliseconds later: the caller would get 502 and its outcome would be unknown.
func TestNewRequestAvoidsSuspectConnection(t *testing.T) {
	e := newEndpoint(t)
	p := newProxy(t, e.address)
	c, pending, stopWaiting := suspectClient(t, p)

	for range 20 {
		assert.NilError(t, p.ping(c.Do, testTimeout))
	}

	assert.Equal(t, c.Link(p.address, peer.LaneCalls), peer.LinkReady)
	assert.Equal(t, p.opened.Load(), int64(2))
	stopWaiting()
	assert.ErrorIs(t, <-pending, peer.ErrBroken)
	assert.NilError(t, p.ping(c.Do, testTimeout))
	assert.Equal(t, p.opened.Load(), int64(2))
}

// The link is still partitioned. A request written to its connection would be reported as
// possibly run, although nothing of it arrives. If it is not sent, the caller learns that it did
// not run.
func TestRequestIsNotSentWhileLinkIsCut(t *testing.T) {
	e := newEndpoint(t)
	p := newProxy(t, e.address)
	c, pending, stopWaiting := suspectClient(t, p)

	p.silentUpTo.Store(math.MaxInt64)
	assert.ErrorIs(t, p.ping(c.Do, testTimeout), peer.ErrUnreachable)
	stopWaiting()
	assert.ErrorIs(t, <-pending, peer.ErrBroken)
}

// A host stalls for half a second and answers again. A request that waits for a replacement
// connection must proceed on the old one and not fail.
func TestRecoveredConnectionIsUsed(t *testing.T) {
	const address = "client"

	e := newEndpoint(t)
	release := make(chan struct{})

	e.server.Handle("Hold", peer.Typed(func(_ context.Context, in ping) (ping, error) {
		<-release

		return in, nil
	}))

	c := peer.NewClient(peer.WithDialTimeout(testTimeout), peer.Address(address), peer.WaitOnSuspect(func() bool { return true }))
	t.Cleanup(c.Close)

	do := func(method string) chan error {
		done := make(chan error, 1)

		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()

			var out ping

			done <- c.Do(ctx, e.address, peer.LaneCalls, method, ping{Text: "x"}, &out)
		}()

		return done
	}

	assert.NilError(t, <-do("Ping"))
	e.faults.Block(address)

	inFlight := do("Hold")
	waitForLinkDown(t, c, e.address)

	waiting := do("Ping")

	time.Sleep(shortTimeout)
	e.faults.Block()
	close(release)
	assert.NilError(t, <-inFlight)
	assert.NilError(t, <-waiting)
}

// A node drains while calls of its callers run on other nodes, and a gate node has so little
// processor time that its link looks silent. A call sent before the drain must not be abandoned:
// its backend server is working on it, and the drain would cut it off.
func TestInFlightRequestsWaitOnSilentConnectionWhileDraining(t *testing.T) {
	e := newEndpoint(t)
	p := newProxy(t, e.address)

	var draining atomic.Bool

	c := peer.NewClient(peer.WithDialTimeout(testTimeout), peer.WaitOnSuspect(draining.Load))
	t.Cleanup(c.Close)

	assert.NilError(t, p.ping(c.DoElsewhere, testTimeout))
	p.silentUpTo.Store(p.opened.Load())
	time.AfterFunc(100*time.Millisecond, func() { draining.Store(true) })

	err := p.ping(c.DoElsewhere, 2*time.Second)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// A failure domain is partitioned, which silences the links to many nodes at once. The first
// request that detects it triggers pings on all links, so that the others cost no request.
func TestSilentConnectionTriggersPingsOnAllOthers(t *testing.T) {
	a, b := newEndpoint(t), newEndpoint(t)
	pa, pb := newProxy(t, a.address), newProxy(t, b.address)
	c := peer.NewClient(peer.WithDialTimeout(testTimeout))
	t.Cleanup(c.Close)

	assert.NilError(t, pa.ping(c.DoElsewhere, testTimeout))
	assert.NilError(t, pb.ping(c.DoElsewhere, testTimeout))
	pa.silentUpTo.Store(1)
	pb.silentUpTo.Store(1)
	assert.ErrorIs(t, pa.ping(c.DoElsewhere, testTimeout), peer.ErrSilent)

	deadline := time.Now().Add(testTimeout)
	for c.Link(pb.address, peer.LaneCalls) == peer.LinkReady {
		assert.Assert(t, time.Now().Before(deadline))
		time.Sleep(10 * time.Millisecond)
	}
}

// A call takes long and nothing else is sent on the connection. The peer still answers pings, so
// the connection must stay open.
func TestLongRequestKeepsItsConnection(t *testing.T) {
	b := newEndpoint(t)
	b.server.Handle("Slow", peer.Typed(func(_ context.Context, in ping) (ping, error) {
		time.Sleep(2 * time.Second)

		return in, nil
	}))

	c := peer.NewClient(peer.WithDialTimeout(testTimeout))
	t.Cleanup(c.Close)

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()

	var out ping

	assert.NilError(t, c.DoElsewhere(ctx, b.address, peer.LaneCalls, "Slow", ping{Text: "x"}, &out))
	assert.Equal(t, out.Text, "x")
}
