package runner_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/announce"
	"github.com/pollencart/pollencart/internal/backend"
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/internal/poison"
	"github.com/pollencart/pollencart/internal/runner"
	"github.com/pollencart/pollencart/internal/slots"
	"github.com/pollencart/pollencart/internal/timeline"
)

// innocent suspects no request.
type innocent struct{}

func (innocent) Begin(context.Context, call.Call) (func(poison.Result), error) {
	return func(poison.Result) {}, nil
}

// newRunner returns the runner of a backend server that is in use.
func newRunner(t *testing.T, h http.HandlerFunc) *runner.Runner {
	t.Helper()

	server := httptest.NewServer(h)
	t.Cleanup(server.Close)

	pool := backend.New(strings.TrimPrefix(server.URL, "http://"), header.Default())
	t.Cleanup(pool.Forget)

	queue := slots.New()
	host := announce.New(
		announce.FirstStart(true),
		announce.Changed(func(s announce.State) { queue.Resize(s.Slots) }),
		announce.Probe(func(context.Context) backend.Health { return backend.Health{Instance: "i-1", Healthy: true, Slots: 4} }),
	)
	host.Find(context.Background())

	return runner.New(runner.Options{
		Service: "browse", Host: host, Queue: queue, Pool: pool, Suspects: innocent{}, Recorder: timeline.New(),
	})
}

func request() forward.Request {
	return forward.Request{
		ID: "id-1", Service: "browse", Route: "open", Method: http.MethodGet, Host: "a.example", URI: "/", Idempotent: true,
		RemainingMs: 1000, TargetMs: 400,
	}
}

// A backend server turns calls away although it has free slots. There is no backlog to
// wait for, and a caller that is sent away for long misses its target.
func TestACallThatTheBackendServerTurnedAwayMayComeBackSoon(t *testing.T) {
	r := newRunner(t, func(w http.ResponseWriter, r *http.Request) {
		names := header.Default()
		w.Header().Set(names.Call, r.Header.Get(names.Call))
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})

	reply, err := r.Serve(context.Background(), request())
	assert.NilError(t, err)
	assert.Equal(t, reply.Result, forward.Shed)
	assert.Assert(t, reply.RetryAfter() <= 50*time.Millisecond, "%s", reply.RetryAfter())
}
