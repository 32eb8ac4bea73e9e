package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/peer"
)

type ping struct {
	Text string `msgpack:"Text"`
}

// patience bounds waits for what must come; short is for what must not come.
const (
	patience = 20 * time.Second
	short    = 100 * time.Millisecond
)

// end is one node's server and client.
type end struct {
	address string
	faults  *peer.Faults
	server  *peer.Server
	client  *peer.Client
	lost    chan string
	timeout time.Duration // of a ping
}

func newEnd(t *testing.T, opts ...peer.Option) *end {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	e := &end{address: l.Addr().String(), faults: &peer.Faults{}, lost: make(chan string, 100), timeout: patience}
	opts = append([]peer.Option{
		peer.WithLinks(e.faults), peer.Address(e.address), peer.WithDialTimeout(patience),
		peer.Lost(func(a string) { e.lost <- a }),
	}, opts...)
	e.server = peer.NewServer(opts...)
	e.client = peer.NewClient(opts...)
	e.server.Handle("Ping", peer.Typed(func(_ context.Context, in ping) (ping, error) { return in, nil }))

	go func() { _ = e.server.Serve(l) }()

	t.Cleanup(func() {
		e.client.Close()
		e.server.Close()
		_ = l.Close()
	})

	return e
}

func (e *end) ping(ctx context.Context, to *end) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()

	var out ping

	return e.client.Do(ctx, to.address, peer.LaneControl, "Ping", ping{Text: "a"}, &out)
}

// A cut must stop answers too, on connections that were open before: an
// experiment that cut only new requests would prove nothing about calls under way.
func TestACutStopsRequestsAndAnswersOnOpenConnections(t *testing.T) {
	a, b := newEnd(t), newEnd(t)
	assert.NilError(t, a.ping(t.Context(), b))
	assert.NilError(t, b.ping(t.Context(), a))

	a.timeout, b.timeout = short, short
	b.faults.Block(a.address)
	assert.ErrorIs(t, b.ping(t.Context(), a), peer.ErrUnreachable)
	assert.ErrorIs(t, a.ping(t.Context(), b), peer.ErrBroken)
	assert.Equal(t, <-a.lost, b.address)

	a.timeout, b.timeout = patience, patience
	b.faults.Block()
	assert.NilError(t, a.ping(t.Context(), b))
	assert.NilError(t, b.ping(t.Context(), a))
}

// Probes of random nodes would leave a connection to each of thousands of nodes.
// Closing the unused ones must not cost a request that comes at that moment.
func TestIdleConnectionsAreClosedAndOpenedAgain(t *testing.T) {
	a, b := newEnd(t, peer.WithIdleTimeout(2*time.Millisecond)), newEnd(t)

	for i := range 300 {
		assert.NilError(t, a.ping(t.Context(), b), "request %d", i)
		time.Sleep(time.Duration(i%7) * time.Millisecond)
	}
}

// A host accepts connections and never answers. Whoever waits on it must get away
// after its own time, and a node must come to know that it does not answer.
func TestAHostThatNeverAnswersIsNotWaitedFor(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	defer l.Close()

	a := newEnd(t)
	a.timeout = short
	silent := &end{address: l.Addr().String()}

	assert.ErrorIs(t, a.ping(t.Context(), silent), peer.ErrBroken)
	assert.Equal(t, <-a.lost, silent.address)
}
