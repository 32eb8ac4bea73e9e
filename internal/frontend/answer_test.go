package frontend_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/gate"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/upstream"
)

// fakeGates answers calls with the function of a test, and records the calls and addresses.
type fakeGates struct {
	answer func(ctx context.Context, to string) (gate.Reply, error)
	sent   []call.Call
	to     []string
}

func (s *fakeGates) Do(ctx context.Context, address string, _ peer.Lane, _ string, in, out any) error {
	s.sent = append(s.sent, in.(call.Call))
	s.to = append(s.to, address)

	reply, err := s.answer(ctx, address)
	*out.(*gate.Reply) = reply

	return err
}

func twoGates() fixedMembers {
	var out fixedMembers
	for _, id := range []string{"a", "b"} {
		out = append(out, membership.Record{
			ID: id, PeerAddress: id, State: membership.StateAlive,
			Upstream: membership.Upstream{Service: "browse", State: membership.UpstreamReady, Slots: 10},
		})
	}

	return out
}

func send(t *testing.T, s *fakeGates, header map[string]string) *httptest.ResponseRecorder {
	t.Helper()

	h := frontend.New(
		frontend.Node("derby-browse-1"), frontend.Settings(fixedSettings{newSnapshot(t)}), frontend.Members(twoGates()), frontend.WithPeers(s),
	).Handler()
	req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/folders/1", nil)
	req.Header.Set(frontend.HeaderCall, "01JDXK3N9YVQ6V2W4T8QF5J0RZ")

	for k, v := range header {
		req.Header.Set(k, v)
	}

	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)

	return w
}

func refuseWith(err error, ran call.Ran) func(context.Context, string) (gate.Reply, error) {
	return func(context.Context, string) (gate.Reply, error) {
		return gate.Reply{Refusal: call.Refuse(err, ran, 420*time.Millisecond).WithLoad(call.Load{Slots: 10})}, nil
	}
}

func TestRejectionHasStatusHeadersAndBody(t *testing.T) {
	s := &fakeGates{answer: refuseWith(admission.ErrShare, call.RanNo)}
	w := send(t, s, nil)
	assert.Equal(t, w.Code, http.StatusTooManyRequests)
	assert.Equal(t, w.Header().Get("Retry-After"), "1")
	assert.Equal(t, w.Header().Get(frontend.HeaderRetryMs), "420")
	assert.Equal(t, w.Header().Get(frontend.HeaderRan), "not-run")
	assert.Equal(t, w.Header().Get(frontend.HeaderReason), "admission.share")
	assert.Equal(t, len(s.sent), 1)
	golden.Assert(t, w.Body.String(), "turned_away.golden")
}

// A call that a gate rejects as "not run" must be retried at another gate, which may have
// capacity.
func TestCallThatDidNotRunIsRetriedAtAnotherGate(t *testing.T) {
	s := &fakeGates{answer: refuseWith(admission.ErrWait, call.RanNo)}
	w := send(t, s, nil)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, len(s.sent), 2)
	assert.Assert(t, s.to[0] != s.to[1])
	assert.Equal(t, s.sent[1].Attempt, 2)
	assert.Equal(t, w.Header().Get(frontend.HeaderAttempts), "2")
}

// The attempt header shows that the caller already retries. If each layer of a chain of calls
// retried as well, the load would multiply.
func TestCallRetriedByItsCallerIsSentOnce(t *testing.T) {
	s := &fakeGates{answer: refuseWith(admission.ErrWait, call.RanNo)}
	send(t, s, map[string]string{frontend.HeaderAttempt: "2", frontend.HeaderDepth: "3"})
	assert.Equal(t, len(s.sent), 1)
	assert.Equal(t, s.sent[0].Attempt, 2)
	assert.Equal(t, s.sent[0].Depth, 4)
}

// If a gate never replies, the caller must get an error at its deadline, not later, and the
// error must not claim that the call did not run.
func TestSilentGateTimesOutAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeGates{answer: func(ctx context.Context, _ string) (gate.Reply, error) {
			<-ctx.Done()

			return gate.Reply{}, peer.ErrBroken.Wrap(ctx.Err())
		}}
		start := time.Now()
		w := send(t, s, map[string]string{frontend.HeaderDeadline: strconv.Itoa(300)})
		assert.Equal(t, w.Code, http.StatusGatewayTimeout)
		assert.Equal(t, w.Header().Get(frontend.HeaderReason), "entry.deadline")
		assert.Equal(t, w.Header().Get(frontend.HeaderRan), "unknown")
		assert.Equal(t, time.Since(start), 300*time.Millisecond)
		assert.Assert(t, time.Duration(s.sent[0].Remaining) < 300*time.Millisecond, "the gate must time out before the entry node")
	})
}

// A gate whose backend server crashed may be unable to notify the gate of the next attempt. The
// call must carry the crash itself; otherwise one call crashes two backend servers within 4 ms.
func TestNextAttemptCarriesCrash(t *testing.T) {
	crash := call.Crash{Gate: "a#1", Number: 1, Address: "a"}
	s := &fakeGates{}
	s.answer = func(context.Context, string) (gate.Reply, error) {
		r := call.Refuse(upstream.ErrCrashed, call.RanUnknown, time.Second).WithLoad(call.Load{Slots: 10})

		return gate.Reply{Refusal: r.WithCrashes([]call.Crash{crash})}, nil
	}

	send(t, s, nil)
	assert.Equal(t, len(s.sent), 2)
	assert.Equal(t, len(s.sent[0].Crashes), 0)
	assert.DeepEqual(t, s.sent[1].Crashes, []call.Crash{crash})
}
