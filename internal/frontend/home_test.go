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

// believed is the home of a key, as the entry's node holds it.
type believed struct{ state atomic.Uint32 }

func (b *believed) Find(id string) (membership.Record, bool) {
	return membership.Record{ID: id, PeerAddress: id, State: membership.State(b.state.Load())}, true
}

// upload sends an upload whose home answers after 300 ms, and has the entry's node believe
// something else of the home in between.
func upload(t *testing.T, then membership.State) *httptest.ResponseRecorder {
	t.Helper()

	home := &believed{}
	home.state.Store(uint32(membership.StateAlive))
	time.AfterFunc(50*time.Millisecond, func() { home.state.Store(uint32(then)) })

	s := &scripted{answer: func(ctx context.Context, _ string) (gate.Reply, error) {
		select {
		case <-ctx.Done():
			return gate.Reply{}, ctx.Err()
		case <-time.After(300 * time.Millisecond):
			return gate.Reply{Answer: &call.Answer{Status: http.StatusOK, Ran: call.RanYes}}, nil
		}
	}}
	h := frontend.New(
		frontend.Node("a"), frontend.Settings(held{snapshotOf(t, strings.Replace(tree, `"Idempotent": true`, `"Idempotent": false`, 1))}),
		frontend.Members(twoGates()), frontend.WithPeers(s), frontend.Nodes(home),
	).Handler()

	req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/folders/1", nil)
	req.Header.Set(frontend.HeaderKey, key.Home{Node: "b", BootID: "life", Generation: 1}.Key("token"))

	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)

	return w
}

// A link to the home of a key was cut for a moment, and the node that had not reached it
// told all others that it suspects the home. The home ran the upload and answered well,
// but no entry waited any more: their callers got 503 and unknown. The log has a 301 of
// the home, a 403 with "context canceled" within 100 ms, and a 405 of the call after it.
func TestASuspicionDoesNotEndTheWaitForAHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Equal(t, upload(t, membership.StateSuspect).Code, http.StatusOK)
	})
}

// The home of a key is stopped as planned. It says that it left once it starts no more
// keys, and its last answers come after that.
func TestAHomeThatLeftIsStillWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Equal(t, upload(t, membership.StateLeft).Code, http.StatusOK)
	})
}

// A home that is held for dead may keep its connection open; nobody waits for it.
func TestNobodyWaitsForADeadHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		assert.Equal(t, upload(t, membership.StateDead).Code, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(start) <= 150*time.Millisecond)
	})
}

// A key that names a home which takes no more keys has no other; its caller must hear so at once.
func TestAKeyOfALeavingHomeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home := &believed{}
		home.state.Store(uint32(membership.StateAlive))

		s := &scripted{answer: refuses(once.ErrLeaving, call.RanUnknown)}
		h := frontend.New(
			frontend.Node("a"), frontend.Settings(held{snapshotOf(t, strings.Replace(tree, `"Idempotent": true`, `"Idempotent": false`, 1))}),
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
