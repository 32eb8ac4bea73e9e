package upstream_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/pkg/upstream"
)

// node accepts valid announcements and records each state change.
type node struct {
	mu     sync.Mutex
	states []upstream.State
}

func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a upstream.Announcement
	if json.NewDecoder(r.Body).Decode(&a) != nil || a.Check() != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	if len(n.states) == 0 || n.states[len(n.states)-1] != a.State {
		n.states = append(n.states, a.State)
	}

	w.WriteHeader(http.StatusNoContent)
}

func (n *node) lastState() upstream.State {
	n.mu.Lock()
	defer n.mu.Unlock()

	if len(n.states) == 0 {
		return ""
	}

	return n.states[len(n.states)-1]
}

func (n *node) waitForState(t *testing.T, s upstream.State) {
	t.Helper()

	for start := time.Now(); n.lastState() != s; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(start) < 20*time.Second, "state %s not announced in time", s)
	}
}

// A backend server stops while a call is in flight. If it announced Gone at once,
// its host could be removed before the call finishes.
func TestLeaveAnnouncesGoneOnlyWhenNothingIsInFlight(t *testing.T) {
	n := &node{}
	s := httptest.NewServer(n)

	defer s.Close()

	a := upstream.New(s.Listener.Addr().String(), upstream.Announcement{
		Service: "browse", Address: "127.0.0.1:9000", Slots: 10, Connections: 100,
	})

	ctx, stop := context.WithCancel(t.Context())
	defer stop()

	go a.Run(ctx)

	n.waitForState(t, upstream.Warming)
	a.Set(upstream.Ready)
	n.waitForState(t, upstream.Ready)

	inFlight := make(chan int, 4)
	for _, left := range []int{2, 1, 1, 0} {
		inFlight <- left
	}

	assert.NilError(t, a.Leave(ctx, func() int {
		left := <-inFlight
		assert.Assert(t, n.lastState() == upstream.Draining)

		return left
	}))
	assert.DeepEqual(t, n.states, []upstream.State{upstream.Warming, upstream.Ready, upstream.Draining, upstream.Gone})
}

func TestAnnounceReturnsErrNodeWhenRejectedOrUnreachable(t *testing.T) {
	s := httptest.NewServer(&node{})
	defer s.Close()

	a := upstream.New(s.Listener.Addr().String(), upstream.Announcement{Service: "browse", Address: "localhost:1"})
	assert.ErrorIs(t, a.Announce(t.Context()), upstream.ErrNode)

	s.Close()
	assert.ErrorIs(t, a.Announce(t.Context()), upstream.ErrNode)
}

func ExampleAnnouncer() {
	a := upstream.New("127.0.0.1:8001", upstream.Announcement{
		Service: "browse", Address: "127.0.0.1:9000", Slots: 10, Connections: 100,
	})

	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	go a.Run(ctx)

	// Serve HTTP on 127.0.0.1:9000, finish initialisation, then:
	a.Set(upstream.Ready)

	// On SIGTERM:
	inFlight := func() int { return 0 }
	_ = a.Leave(ctx, inFlight)
}
