package frontend_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/gate"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/once"
	"github.com/pollencart/pollencart/internal/once/key"
)

// homeView is the entry node's membership view of the home of a key.
type homeView struct{ state atomic.Uint32 }

func (h *homeView) Find(id string) (membership.Record, bool) {
	return membership.Record{ID: id, PeerAddress: id, State: membership.State(h.state.Load())}, true
}

// upload sends an upload whose home answers after 300 ms. The entry node's view of the home
// changes to the given state after 50 ms.
func upload(t *testing.T, then membership.State) *httptest.ResponseRecorder {
	t.Helper()

	home := &homeView{}
	home.state.Store(uint32(membership.StateAlive))
	time.AfterFunc(50*time.Millisecond, func() { home.state.Store(uint32(then)) })

	s := &fakeGates{answer: func(ctx context.Context, _ string) (gate.Reply, error) {
		select {
		case <-ctx.Done():
			return gate.Reply{}, ctx.Err()
		case <-time.After(300 * time.Millisecond):
			return gate.Reply{Answer: &call.Answer{Status: http.StatusOK, Ran: call.RanYes}}, nil
		}
	}}
	h := frontend.New(
		frontend.Node("a"), frontend.Settings(fixedSettings{snapshotOf(t, strings.Replace(tree, `"Idempotent": true`, `"Idempotent": false`, 1))}),
		frontend.Members(twoGates()), frontend.WithPeers(s), frontend.Nodes(home),
	).Handler()

	req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/folders/1", nil)
	req.Header.Set(frontend.HeaderKey, key.Home{Node: "b", BootID: "life", Generation: 1}.Key("token"))

	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)

	return w
}

// A brief failure of one link makes one node suspect the home, and the suspicion spreads to all
// nodes. If entry nodes canceled on suspicion, callers would get 503 and "unknown" for uploads
// that the home completes. The log then shows event 301 for the home, event 403 with "context
// canceled" within 100 ms, and event 405 for the call.
func TestEntryWaitsForSuspectedHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Equal(t, upload(t, membership.StateSuspect).Code, http.StatusOK)
	})
}

// A draining home announces that it left as soon as it starts no more keys, and sends its last
// answers after that.
func TestEntryWaitsForHomeThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Equal(t, upload(t, membership.StateLeft).Code, http.StatusOK)
	})
}

// The connection to a home that is considered failed may stay open. The entry node must not
// wait for its answer.
func TestEntryDoesNotWaitForFailedHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		assert.Equal(t, upload(t, membership.StateDead).Code, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(start) <= 150*time.Millisecond)
	})
}

// A key that names a draining home can't run at another home, so the caller must get the
// refusal without a delay.
func TestKeyOfDrainingHomeIsRejectedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home := &homeView{}
		home.state.Store(uint32(membership.StateAlive))

		s := &fakeGates{answer: refuseWith(once.ErrLeaving, call.RanUnknown)}
		h := frontend.New(
			frontend.Node("a"), frontend.Settings(fixedSettings{snapshotOf(t, strings.Replace(tree, `"Idempotent": true`, `"Idempotent": false`, 1))}),
			frontend.Members(twoGates()), frontend.WithPeers(s), frontend.Nodes(home),
		).Handler()

		req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/folders/1", nil)
		req.Header.Set(frontend.HeaderKey, key.Home{Node: "b", BootID: "life", Generation: 1}.Key("token"))

		w := httptest.NewRecorder()
		start := time.Now()
		h.ServeHTTP(w, req)

		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, w.Header().Get(frontend.HeaderRan), string(call.RanUnknown))
		assert.Assert(t, w.Header().Get("Retry-After") != "")
		assert.Equal(t, len(s.sent), 1)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}
