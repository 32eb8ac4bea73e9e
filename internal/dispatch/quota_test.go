package dispatch_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/dispatch"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/internal/workspace"
)

// quotas allows a number of calls.
type quotas struct {
	left, taken, returned int
	belowLimit            bool
	deadline              time.Duration // of the last call
}

func (q *quotas) Take(ctx context.Context, _ *workspace.Workspace) dispatch.QuotaDecision {
	q.taken++

	if at, ok := ctx.Deadline(); ok {
		q.deadline = time.Until(at)
	}

	if q.left == 0 {
		return dispatch.QuotaDecision{RetryAfter: 1500 * time.Millisecond, Reason: "over the limit of 5 calls a second", BelowLimit: q.belowLimit}
	}

	q.left--

	return dispatch.QuotaDecision{Allowed: true}
}

func (q *quotas) Return(*workspace.Workspace) { q.returned++ }

// newLimited returns a dispatcher in whose version workspace a has a limit and b has none.
func newLimited(t *testing.T, left int) (*guarded, *quotas) {
	t.Helper()

	q := &quotas{left: left}
	g := newGuarded(t, func(o *dispatch.Options) { o.Quotas = q })
	g.activate(t, 8, map[string]*workspace.Workspace{"ka": {Name: "a", Rate: 5}, "kb": g.b})

	return g, q
}

func TestCallBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, q := newLimited(t, 1)
		assert.Equal(t, send(g.dispatcher, "/safe/x", keyHeader, "ka").Status, http.StatusOK)
		assert.Equal(t, q.deadline, time.Second)

		r := send(g.dispatcher, "/public/x", keyHeader, "ka")
		assert.Equal(t, r.Status, http.StatusTooManyRequests)
		assert.Equal(t, retryAfter(t, r), 1.5)
		assert.Equal(t, string(r.Body), "over the limit of 5 calls a second\n")
		assert.Equal(t, len(g.contacted), 1)
		assert.Equal(t, len(g.recorder.Entries(timeline.Filter{Event: event.CallTurnedAway.Name})), 1)

		for _, key := range []string{"kb", "", unknownKey} {
			send(g.dispatcher, "/safe/x", keyHeader, key)
		}

		assert.Equal(t, q.taken, 2, "only calls of a workspace with a limit are counted")
		assert.Equal(t, q.returned, 0)
	})
}

// meter keeps the outcomes.
type meter struct {
	dispatch.Meter

	outcomes []dispatch.Outcome
}

func (m *meter) Answered(o dispatch.Outcome) { m.outcomes = append(m.outcomes, o) }

func (m *meter) Repeated(string, bool) {}

// An operator sees who holds slots and who is refused by which limit: time at backend servers counts for
// the workspace over all attempts, and so do refusals.
func TestOutcomeHasWhatTheWorkspaceUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, q := &meter{}, &quotas{left: 1, belowLimit: true}
		g := newGuarded(t, func(o *dispatch.Options) { o.Quotas, o.Meter = q, m })
		g.activate(t, 8, map[string]*workspace.Workspace{"ka": {Name: "a", Rate: 5}})
		g.reply = func(context.Context, string, forward.Request) (forward.Reply, error) {
			if len(g.contacted) == 1 {
				return forward.Reply{Result: forward.Lost, HeldMs: 30}, nil
			}

			return forward.Reply{Result: forward.Answered, Status: http.StatusOK, HeldMs: 40}, nil
		}

		send(g.dispatcher, "/safe/x", keyHeader, "ka")
		send(g.dispatcher, "/safe/x", keyHeader, "ka")
		assert.Equal(t, m.outcomes[0].Held, 70*time.Millisecond)
		assert.Assert(t, m.outcomes[1].OverLimit && m.outcomes[1].BelowLimit)
		assert.Equal(t, m.outcomes[1].Workspace, "a")
	})
}

// A call that certainly did not run gives its part of the limit back, any other one doesn't, and a retry
// takes none.
func TestCallThatDidNotRunIsReturned(t *testing.T) {
	for _, c := range []struct {
		name     string
		reply    forward.Reply
		err      error
		returned int
	}{
		{"answered", forward.Reply{Result: forward.Answered, Status: http.StatusOK}, nil, 0},
		{"answered with a failure", forward.Reply{Result: forward.Answered, Status: http.StatusInternalServerError}, nil, 0},
		{"lost", forward.Reply{Result: forward.Lost}, nil, 0},
		{"connection broke", forward.Reply{}, peer.ErrBroken, 0},
		{"refused", forward.Reply{Result: forward.Refused, Reason: "busy"}, nil, 1},
		{"suspected", forward.Reply{Result: forward.Suspected}, nil, 1},
		{"shed by the backend server", forward.Reply{Result: forward.Shed}, nil, 1},
		{"unreachable", forward.Reply{}, peer.ErrUnreachable, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, q := newLimited(t, 5)
				g.reply = func(context.Context, string, forward.Request) (forward.Reply, error) { return c.reply, c.err }
				send(g.dispatcher, "/safe/x", keyHeader, "ka")
				assert.Equal(t, q.taken, 1)
				assert.Equal(t, q.returned, c.returned)
			})
		})
	}
}

// One attempt may have run and the next ones did not: nothing is given back.
func TestCallThatMayHaveRunOnceIsNotReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, q := newLimited(t, 5)
		g.reply = func(context.Context, string, forward.Request) (forward.Reply, error) {
			if len(g.contacted) == 1 {
				return forward.Reply{Result: forward.Lost}, nil
			}

			return forward.Reply{Result: forward.Refused, Reason: "busy"}, nil
		}
		send(g.dispatcher, "/safe/x", keyHeader, "ka")
		assert.Assert(t, len(g.contacted) > 1)
		assert.Equal(t, q.returned, 0)
	})
}

// No backend server serves the call.
func TestCallWithoutBackendServerIsReturned(t *testing.T) {
	g, q := newLimited(t, 5)
	g.records = nil
	assert.Equal(t, send(g.dispatcher, "/safe/x", keyHeader, "ka").Status, http.StatusServiceUnavailable)
	assert.Equal(t, q.returned, 1)
}

// A draining node refuses a call before it is counted.
func TestDrainingNodeTakesNothingFromTheLimit(t *testing.T) {
	g, q := newLimited(t, 5)
	g.draining.Leave()
	g.draining.Close()
	assert.Equal(t, send(g.dispatcher, "/safe/x", keyHeader, "ka").Status, http.StatusServiceUnavailable)
	assert.Equal(t, q.taken, 0)
}

// A caller comes back after 503 and is refused once for the limit of its workspace. Its target still runs
// from its first attempt.
func TestCallerRefusedForTheLimitKeepsItsFirstArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, q := newLimited(t, 1)
		g.reply = func(context.Context, string, forward.Request) (forward.Reply, error) {
			return forward.Reply{Result: forward.Refused, Reason: "busy"}, nil
		}

		for _, c := range []struct {
			left, timeoutMs, status int
		}{
			{1, 900, http.StatusServiceUnavailable},
			{0, 800, http.StatusTooManyRequests},
			{1, 700, http.StatusOK},
		} {
			if q.left = c.left; c.status == http.StatusOK {
				g.reply = answered
			}

			r := send(g.dispatcher, "/safe/x", keyHeader, "ka", "Pollencart-Deadline-Ms", strconv.Itoa(c.timeoutMs))
			assert.Equal(t, r.Status, c.status)
			time.Sleep(100 * time.Millisecond)
		}

		assert.Equal(t, g.requests[len(g.requests)-1].TargetMs, int64(200))
	})
}
