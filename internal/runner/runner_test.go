package runner_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/announce"
	"github.com/pollencart/pollencart/internal/backend"
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/internal/poison"
	"github.com/pollencart/pollencart/internal/runner"
	"github.com/pollencart/pollencart/internal/slots"
	"github.com/pollencart/pollencart/internal/timeline"
)

// innocent suspects no request.
type innocent struct{}

func (innocent) Freshen(context.Context, string) {}

func (innocent) Refused(call.Call) error { return nil }

func (innocent) Begin(context.Context, call.Call) (func(poison.Result) []poison.Crash, error) {
	return func(poison.Result) []poison.Crash { return nil }, nil
}

// newRunner returns the runner of a backend server that is in use.
func newRunner(t *testing.T, h http.HandlerFunc) *runner.Runner {
	t.Helper()

	return recorded(t, h, timeline.New())
}

func recorded(t *testing.T, h http.HandlerFunc, recorder *timeline.Recorder) *runner.Runner {
	t.Helper()

	return watched(t, h, recorder, innocent{})
}

func watched(t *testing.T, h http.HandlerFunc, recorder *timeline.Recorder, suspects runner.Suspects) *runner.Runner {
	t.Helper()

	return queued(t, h, recorder, suspects, slots.New())
}

func queued(
	t *testing.T, h http.HandlerFunc, recorder *timeline.Recorder, suspects runner.Suspects, queue *slots.Queue,
) *runner.Runner {
	t.Helper()

	server := httptest.NewServer(h)
	t.Cleanup(server.Close)

	pool := backend.New(strings.TrimPrefix(server.URL, "http://"), header.Default())
	t.Cleanup(pool.Forget)

	host := announce.New(
		announce.FirstStart(true),
		announce.Changed(func(s announce.State) { queue.Resize(s.Slots) }),
		announce.Probe(func(context.Context) backend.Health { return backend.Health{Instance: "i-1", Healthy: true, Slots: 4} }),
	)
	host.Find(context.Background())

	return runner.New(runner.Options{
		Service: "browse", Host: host, Queue: queue, Pool: pool, Suspects: suspects, Recorder: recorder,
	})
}

// refusing refuses one request.
type refusing struct {
	innocent

	uri string
}

func (s refusing) Refused(c call.Call) error {
	if c.URI == s.uri {
		return call.Refuse(poison.ErrRefused, call.RanNo, time.Minute)
	}

	return nil
}

// All slots of a backend server are taken, and a request comes that has ended two others.
// It waited for a slot to be told then that it will not run, and kept a place from calls
// that can be served.
func TestAPoisonRequestDoesNotWaitForASlot(t *testing.T) {
	const slots = 4

	var running sync.WaitGroup

	busy := make(chan struct{})

	running.Add(slots)

	r := watched(t, func(http.ResponseWriter, *http.Request) {
		running.Done()
		<-busy
	}, timeline.New(), refusing{uri: "/broken"})

	t.Cleanup(func() { close(busy) })

	for range slots {
		go func() { _, _ = r.Serve(context.Background(), request()) }()
	}

	running.Wait()

	poisoned := request()
	poisoned.URI = "/broken"

	reply, err := r.Serve(t.Context(), poisoned)
	assert.NilError(t, err)
	assert.Equal(t, reply.Result, forward.Suspected, reply.Reason)
	assert.Equal(t, reply.RetryAfter(), time.Minute)
}

// A backend server has a queue, and one nearby may have a slot free. The call is told so at
// once, and its line is no warning: nothing failed, and in a busy second one call in three
// has it.
func TestACallThatWouldWaitIsSentNearby(t *testing.T) {
	const full = 16 // the slots and three rounds of calls that wait

	busy := make(chan struct{})
	recorder := timeline.New()
	queue := slots.New()
	r := queued(t, func(http.ResponseWriter, *http.Request) { <-busy }, recorder, innocent{}, queue)

	t.Cleanup(func() { close(busy) })

	patient := request()
	patient.RemainingMs, patient.TargetMs = 60_000, 30_000

	for range full {
		go func() { _, _ = r.Serve(context.Background(), patient) }()
	}

	for queue.Busy() < full {
		time.Sleep(time.Millisecond)
	}

	patient.ID, patient.Nearby = "id-2", true
	patient.TargetMs += 1000

	reply, err := r.Serve(t.Context(), patient)
	assert.NilError(t, err)
	assert.Equal(t, reply.Result, forward.Refused)
	assert.Equal(t, reply.Reason, forward.ReasonWaits)

	told := recorder.Entries(timeline.Filter{Call: "id-2"})
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0].Name, event.CallSentNearby.Name)
	assert.Equal(t, event.CallSentNearby.Level, slog.LevelDebug)
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

// answer writes the answer of a backend server to a call.
func answer(w http.ResponseWriter, r *http.Request, status int) {
	names := header.Default()
	w.Header().Set(names.Call, r.Header.Get(names.Call))
	w.Header().Set(names.Signature, "s")
	w.WriteHeader(status)
}

// A backend server never answers a call for which it has no slot, nor anything else on
// that connection. Forty callers come at once: none may be put where it would hang, and
// those that do not fit are turned away or wait at the node.
func TestABackendServerThatHangsWhenItIsFull(t *testing.T) {
	const slots = 4

	var running, hung atomic.Int64

	r := newRunner(t, func(w http.ResponseWriter, r *http.Request) {
		if running.Add(1) > slots {
			hung.Add(1)
			<-r.Context().Done()
		}

		time.Sleep(5 * time.Millisecond)
		running.Add(-1)
		answer(w, r, http.StatusOK)
	})

	var (
		callers  sync.WaitGroup
		answered atomic.Int64
	)

	for i := range 40 {
		callers.Go(func() {
			in := request()
			in.ID = "id-" + strconv.Itoa(i)

			if reply, err := r.Serve(context.Background(), in); err == nil && reply.Result == forward.Answered {
				answered.Add(1)
			}
		})
	}

	callers.Wait()
	assert.Equal(t, hung.Load(), int64(0))
	assert.Assert(t, answered.Load() >= slots)
}

// A backend server never answers one call, and nothing after it on that connection. The
// call ends with its time, as one that may have run; its slot is free again, and the next
// call must not be put behind it.
func TestACallThatIsNeverAnswered(t *testing.T) {
	r := newRunner(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(header.Default().Call) == "hangs" {
			<-r.Context().Done()

			return
		}

		answer(w, r, http.StatusOK)
	})

	first := request()
	reply, err := r.Serve(context.Background(), first)
	assert.NilError(t, err)
	assert.Equal(t, reply.Result, forward.Answered) // its connection is kept

	hangs := request()
	hangs.ID, hangs.RemainingMs = "hangs", 50
	reply, err = r.Serve(context.Background(), hangs)
	assert.NilError(t, err)
	assert.Equal(t, reply.Result, forward.Lost)
	assert.Equal(t, reply.Load.Running, 0)

	reply, err = r.Serve(context.Background(), request())
	assert.NilError(t, err)
	assert.Equal(t, reply.Result, forward.Answered)
}

// A backend server fails calls that it ran. Each has a line that is no sample: the user
// who complains of it asks about this one call.
func TestACallThatTheBackendServerFailed(t *testing.T) {
	recorder := timeline.New()
	r := recorded(t, func(w http.ResponseWriter, r *http.Request) { answer(w, r, http.StatusGatewayTimeout) }, recorder)

	_, err := r.Serve(context.Background(), request())
	assert.NilError(t, err)

	told := recorder.Entries(timeline.Filter{Call: "id-1"})
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0].Name, event.CallRunFailed.Name)
	assert.Equal(t, event.CallRunFailed.Level, slog.LevelWarn)
}

// A node that is being stopped must not start calls that wait until they can't end in time.
func TestAClosedRunnerTurnsAwayWhatWaits(t *testing.T) {
	const full = 4

	busy := make(chan struct{})
	began := make(chan struct{}, full)
	queue := slots.New()
	r := queued(t, func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}

		<-busy
	}, timeline.New(), innocent{}, queue)

	t.Cleanup(func() { close(busy) })

	for range full {
		go func() { _, _ = r.Serve(context.Background(), request()) }()
	}

	for range full {
		<-began
	}

	waiting := make(chan forward.Reply)

	go func() {
		reply, _ := r.Serve(context.Background(), request())
		waiting <- reply
	}()

	for queue.Load().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}

	r.Close()
	queue.Resize(full) // the backend server says that it is ready

	select {
	case reply := <-waiting:
		assert.Equal(t, reply.Result, forward.Refused)
		assert.Equal(t, reply.Reason, forward.ReasonNone)
	case <-time.After(time.Second):
		t.Fatal("the call still waits")
	}

	reply, err := r.Serve(t.Context(), request())
	assert.NilError(t, err)
	assert.Equal(t, reply.Result, forward.Refused)
}
