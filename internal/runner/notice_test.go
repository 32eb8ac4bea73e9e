package runner_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/internal/runner"
	"github.com/pollencart/pollencart/internal/slots"
	"github.com/pollencart/pollencart/internal/timeline"
)

// signalingServer answers calls with the headers that are set.
type signalingServer struct {
	calls atomic.Int64

	mu     sync.Mutex
	header map[string]string
	status int
}

func (s *signalingServer) set(name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.header = map[string]string{name: value}
}

func (s *signalingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()

	names := header.Default()
	w.Header().Set(names.Call, r.Header.Get(names.Call))
	w.Header().Set(names.Signature, "signed")

	for name, value := range s.header {
		w.Header().Set(name, value)
	}

	if s.status != 0 {
		w.WriteHeader(s.status)
	}
}

func newSignaled(t *testing.T) (*signalingServer, *runner.Runner, *slots.Queue) {
	t.Helper()

	s, queue := &signalingServer{}, slots.New()
	r := newRunnerWithQueue(t, s.ServeHTTP, timeline.New(), noSuspects{}, queue)
	r.Instance("i-1", 0)

	return s, r, queue
}

func serve(t *testing.T, r *runner.Runner, in forward.Request) forward.Reply {
	t.Helper()

	reply, err := r.Serve(context.Background(), in)
	assert.NilError(t, err)

	return reply
}

// A process that has just started sends calls to a backend server that told other nodes that it leaves.
func TestNewProcessLearnsFromAnotherNodeThatTheBackendServerLeaves(t *testing.T) {
	s, r, _ := newSignaled(t)

	in := request()
	in.Notice = &forward.Notice{Instance: "i-1", Leaving: true, AgeMs: 900}
	reply := serve(t, r, in)
	assert.Equal(t, reply.Result, forward.Refused)
	assert.Equal(t, reply.Reason, forward.ReasonNone)
	assert.Equal(t, s.calls.Load(), int64(0))

	reply = serve(t, r, request())
	assert.Equal(t, reply.Reason, forward.ReasonNone)
	assert.Assert(t, reply.Notice.Leaving)
}

// What another node knows of an earlier instance stops calls to the next one.
func TestNoticeOfEarlierInstanceIsIgnored(t *testing.T) {
	_, r, queue := newSignaled(t)

	in := request()
	in.Notice = &forward.Notice{Instance: "i-0", Leaving: true, Limited: true, Limit: 1}
	reply := serve(t, r, in)
	assert.Equal(t, reply.Result, forward.Answered, reply.Reason)
	assert.Assert(t, !queue.Limit().Limited)
}

// A process that has just started sends the first calls to a limited backend server without a limit.
func TestNewProcessLearnsTheLimitFromAnotherNodeBeforeItsFirstCall(t *testing.T) {
	s, r, queue := newSignaled(t)
	s.set(header.Default().Limit, "4")

	in := request()
	in.Notice = &forward.Notice{Instance: "i-1", Limited: true, Limit: 5, AgeMs: 900}

	began := time.Now()
	reply := serve(t, r, in)
	assert.Equal(t, reply.Result, forward.Answered, reply.Reason)
	assert.Assert(t, time.Since(began) >= 200*time.Millisecond)
	assert.Equal(t, queue.Limit().PerSecond, 4.0)
	assert.Equal(t, reply.Notice.Limit, 4.0)
}

// A limit in an answer that reports a failure, or of which the body breaks off, is not kept.
func TestAnswersOfAllStatusesNameLimits(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		s, r, queue := newSignaled(t)
		s.set(header.Default().Limit, "3.5")
		s.status = status

		serve(t, r, request())
		assert.Equal(t, queue.Limit().PerSecond, 3.5, "%d", status)

		s.set(header.Default().Limit, "broken")
		serve(t, r, request())
		assert.Equal(t, queue.Limit().PerSecond, 3.5, "%d", status)

		s.set("Other", "")
		serve(t, r, request())
		assert.Assert(t, !queue.Limit().Limited, "%d", status)
	}
}

// Another instance's answer, or a leftover of an earlier call, limits the instance that runs.
func TestAnswersToOtherCallsNameNoLimits(t *testing.T) {
	for _, head := range []struct {
		id     string
		status int
	}{{"another", http.StatusOK}, {"", http.StatusServiceUnavailable}, {request().ID, http.StatusMisdirectedRequest}} {
		queue := slots.New()
		r := newRunnerWithQueue(t, func(w http.ResponseWriter, _ *http.Request) {
			names := header.Default()
			w.Header().Set(names.Call, head.id)
			w.Header().Set(names.NotRun, "1")
			w.Header().Set(names.Limit, "1")
			w.Header().Set("Connection", "close")
			w.WriteHeader(head.status)
		}, timeline.New(), noSuspects{}, queue)
		r.Instance("i-1", 0)

		serve(t, r, request())
		assert.Assert(t, !queue.Limit().Limited, "%v", head)
	}
}

// A backend server turns calls away and says when to come back, and callers come back at once.
func TestRetryAfterOfBackendServerReachesTheCaller(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 20 * time.Millisecond, "0.5": 500 * time.Millisecond, "0": 20 * time.Millisecond, "soon": 20 * time.Millisecond,
		"NaN": 20 * time.Millisecond, "1e300": 10 * time.Second,
	} {
		r := newRunner(t, func(w http.ResponseWriter, r *http.Request) {
			names := header.Default()
			w.Header().Set(names.Call, r.Header.Get(names.Call))
			w.Header().Set(names.NotRun, "1")
			w.Header().Set("Retry-After", text)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		reply := serve(t, r, request())
		assert.Equal(t, reply.Result, forward.Shed)
		assert.Equal(t, reply.RetryAfter(), want, text)
	}
}
