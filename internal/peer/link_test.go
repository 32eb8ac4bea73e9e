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

// testTimeout bounds waits for expected events; shortTimeout bounds waits for events that
// must not happen.
const (
	testTimeout  = 20 * time.Second
	shortTimeout = 100 * time.Millisecond
)

// endpoint is the server and client of one node.
type endpoint struct {
	address string
	faults  *peer.Faults
	server  *peer.Server
	client  *peer.Client
	failed  chan string
	timeout time.Duration // of a ping
}

func newEndpoint(t *testing.T, opts ...peer.Option) *endpoint {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	e := &endpoint{address: l.Addr().String(), faults: &peer.Faults{}, failed: make(chan string, 100), timeout: testTimeout}
	opts = append([]peer.Option{
		peer.WithLinks(e.faults), peer.Address(e.address), peer.WithDialTimeout(testTimeout),
		peer.Lost(func(a string) { e.failed <- a }),
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

func (e *endpoint) ping(ctx context.Context, to *endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()

	var out ping

	return e.client.Do(ctx, to.address, peer.LaneControl, "Ping", ping{Text: "a"}, &out)
}

// Blocking a link must also stop answers on connections that are already open. Otherwise an
// experiment would only cut new requests and not affect calls in flight.
func TestBlockedLinkStopsRequestsAndAnswersOnOpenConnections(t *testing.T) {
	a, b := newEndpoint(t), newEndpoint(t)
	assert.NilError(t, a.ping(t.Context(), b))
	assert.NilError(t, b.ping(t.Context(), a))

	a.timeout, b.timeout = shortTimeout, shortTimeout
	b.faults.Block(a.address)
	assert.ErrorIs(t, b.ping(t.Context(), a), peer.ErrUnreachable)
	assert.ErrorIs(t, a.ping(t.Context(), b), peer.ErrBroken)
	assert.Equal(t, <-a.failed, b.address)

	a.timeout, b.timeout = testTimeout, testTimeout
	b.faults.Block()
	assert.NilError(t, a.ping(t.Context(), b))
	assert.NilError(t, b.ping(t.Context(), a))
}

// Probes of random nodes would leave a connection open to each of thousands of nodes. Closing
// idle connections must not fail a request that is sent at the same moment.
func TestIdleConnectionsAreClosedAndReopened(t *testing.T) {
	a, b := newEndpoint(t, peer.WithIdleTimeout(2*time.Millisecond)), newEndpoint(t)

	for i := range 300 {
		assert.NilError(t, a.ping(t.Context(), b), "request %d", i)
		time.Sleep(time.Duration(i%7) * time.Millisecond)
	}
}

// A host accepts connections and never answers. The request must fail after its own timeout,
// and the node must be notified that the host does not answer.
func TestRequestToHostThatNeverAnswersTimesOut(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	defer l.Close()

	a := newEndpoint(t)
	a.timeout = shortTimeout
	silent := &endpoint{address: l.Addr().String()}

	assert.ErrorIs(t, a.ping(t.Context(), silent), peer.ErrBroken)
	assert.Equal(t, <-a.failed, silent.address)
}
