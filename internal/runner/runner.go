// Package runner runs calls on the local backend server. The calls of all nodes pass through
// it, so its slots are counted exactly, no new call reaches the backend server once it is known
// to drain, and a rejected call has certainly not run.
//
//	r := runner.New(runner.Options{...})
//	server.Handle(forward.MethodRun, peer.Typed(r.Serve))
package runner

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/announce"
	"github.com/pollencart/pollencart/internal/backend"
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/nestedcall"
	"github.com/pollencart/pollencart/internal/notice"
	"github.com/pollencart/pollencart/internal/poison"
	"github.com/pollencart/pollencart/internal/rollout/evidence"
	"github.com/pollencart/pollencart/internal/slots"
	"github.com/pollencart/pollencart/internal/timeline"
)

// downRetryAfter is the retry delay for a backend server that doesn't accept calls or
// connections; its next heartbeat reports that it is back.
const downRetryAfter = 200 * time.Millisecond

// shedRetryAfter is the retry delay after the backend server shed a call. Its slots are counted
// here, so it is not full and has no backlog: it fails some calls, and the retry may succeed.
// With 200 ms, callers with a target of 300 ms missed it.
const shedRetryAfter = 20 * time.Millisecond

// maxRetryAfter bounds the retry delay that a backend server asks for.
const maxRetryAfter = 10 * time.Second

// Suspects tracks requests that were running when a backend server crashed.
type Suspects interface {
	Freshen(ctx context.Context, service string)
	Refused(c call.Call) error
	Begin(ctx context.Context, c call.Call) (end func(poison.Result) []poison.Crash, err error)
}

// Meter counts calls run for any node.
type Meter interface {
	Ran(route string, result forward.Result, waited, held time.Duration)
}

// Trial counts outcomes while versions of the service are compared.
type Trial interface {
	Counting() bool
	Add(o evidence.Outcome)
}

// Options of a runner.
type Options struct {
	Service  string
	Host     *announce.Host
	Queue    *slots.Queue
	Pool     *backend.Pool
	Suspects Suspects
	Recorder *timeline.Recorder
	Meter    Meter
	// Trial is nil if versions are not compared.
	Trial Trial
	// Workspace returns the workspace that a call with these header fields runs for, or "". It is nil
	// if there are none.
	Workspace func(fields []call.Field) string
}

// Runner runs calls on one backend server.
type Runner struct {
	options    Options
	nestedcall *nestedcall.Detector
	notices    *notice.Keeper
	// noticeChange keeps the queue in the order of the changes of notices.
	noticeChange sync.Mutex
	closed       atomic.Bool
	ends         atomic.Pointer[time.Time] // nil while the process is not being stopped
	inFlight     atomic.Int64
}

// New returns a runner.
func New(o Options) *Runner {
	return &Runner{options: o, nestedcall: nestedcall.New(), notices: notice.New()}
}

// EndAt says that this process is being stopped, and when it ends at the latest.
func (r *Runner) EndAt(end time.Time) { r.ends.Store(&end) }

// ServeNode is Serve for a call of another node. While the process is being stopped, it declines calls that must not
// run twice, may run past its end, and can run elsewhere: their callers could not be told what came of them.
func (r *Runner) ServeNode(ctx context.Context, in forward.Request) (forward.Reply, error) {
	end := r.ends.Load()
	if end == nil || in.Idempotent || !in.Elsewhere || !time.Now().Add(in.Remaining()).After(*end) {
		return r.Serve(ctx, in)
	}

	w := r.work(&in)
	reply := refused(forward.ReasonEnding, max(time.Until(*end), 0))
	reply.Load = r.load(w)
	r.record(&in, w, reply, 0)

	return reply, nil
}

// Close rejects waiting calls and all later ones. Calls that the backend server is running
// continue.
func (r *Runner) Close() {
	r.closed.Store(true)
	r.options.Queue.Close()
}

// Busy returns the number of calls in flight, waiting ones included.
func (r *Runner) Busy() int64 { return r.inFlight.Load() }

// Serve runs a call on the backend server, or replies why it did not run.
func (r *Runner) Serve(ctx context.Context, in forward.Request) (forward.Reply, error) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)

	ctx, cancel := context.WithTimeout(ctx, in.Remaining())
	defer cancel()

	w := r.work(&in)
	began := time.Now()
	reply, usual := r.serve(ctx, &in, w)
	reply.Load = r.load(w)
	reply.Notice = r.Notice()
	r.record(&in, w, reply, time.Since(began))
	reply.HeldMs = usual.Milliseconds()
	reply.Slowness = r.options.Queue.Slowness().Usual

	return reply, nil
}

// work returns the call as the queue needs it. The target of a nested call is its deadline: it
// loses no value until the call that waits for it times out.
func (r *Runner) work(in *forward.Request) slots.Work {
	now := time.Now()
	w := slots.Work{
		Route: in.Route, Rank: in.Rank, Target: now.Add(in.Target()), Deadline: now.Add(in.Remaining()), Elsewhere: in.Elsewhere,
		Nearby: in.Nearby,
		Nested: r.nestedcall.Observe(in.Route, in.Origin),
	}

	if w.Nested {
		w.Target = w.Deadline
	}

	if r.options.Workspace != nil {
		w.Workspace = r.options.Workspace(in.Header)
	}

	return w
}

func (r *Runner) load(w slots.Work) forward.Load {
	l := r.options.Queue.Load()
	out := forward.Load{Slots: l.Slots, Running: l.Running, Waiting: l.Waiting}

	for rank := range out.WaitsMs {
		// The last one stands for all less urgent ranks, and the sender's next calls are mostly like this one.
		if rank == forward.Ranks-1 {
			rank = max(rank, w.Rank)
		}

		out.WaitsMs[min(rank, forward.Ranks-1)] = r.options.Queue.EstimateWait(w, rank).Milliseconds()
	}

	return out
}

// refused returns the reply to a call that did not run.
func refused(reason string, after time.Duration) forward.Reply {
	return forward.Reply{Result: forward.Refused, Reason: reason, RetryMs: after.Milliseconds()}
}

// serve also returns the service time at the usual speed of the host, from which others learn.
func (r *Runner) serve(ctx context.Context, in *forward.Request, w slots.Work) (forward.Reply, time.Duration) {
	if r.closed.Load() || in.Service != r.options.Service || !r.options.Host.State().Takes {
		return refused(forward.ReasonNone, downRetryAfter), 0
	}

	if r.told(in); !r.options.Host.State().Takes {
		return refused(forward.ReasonNone, downRetryAfter), 0
	}

	r.options.Suspects.Freshen(ctx, in.Service)

	c := toCall(in)
	if err := r.options.Suspects.Refused(c); err != nil {
		return suspected(err), 0
	}

	slot, err := r.options.Queue.Enter(ctx, w)
	if err != nil {
		return r.rejected(err, w), 0
	}

	returned := false

	defer func() {
		if !returned { // a panic must not keep the slot
			slot.Leave(0)
		}
	}()

	busy := r.isBusy()
	reply, serviceTime, ending := r.run(ctx, in, c)
	usual := slot.AtUsualSpeed(serviceTime)
	returned = true

	leave(slot, routeSample(reply, serviceTime), ending)
	r.count(ctx, in, reply, serviceTime, busy)

	return reply, usual
}

// leave frees the slot, of a call that was given up only once the backend server has ended it.
// A call that starts before would be one more than the backend server has slots.
func leave(s *slots.Slot, sample time.Duration, ending <-chan struct{}) {
	if ending == nil {
		s.Leave(sample)

		return
	}

	go func() {
		<-ending
		s.Leave(sample)
	}()
}

// routeSample returns the service time as a sample for the route, or 0 if the call was not
// answered.
func routeSample(reply forward.Reply, serviceTime time.Duration) time.Duration {
	if reply.Result != forward.Answered {
		return 0
	}

	return serviceTime
}

// rejected returns the reply to a call that the queue rejected.
func (r *Runner) rejected(err error, w slots.Work) forward.Reply {
	switch {
	case errors.Is(err, slots.ErrElsewhere):
		return refused(forward.ReasonElsewhere, r.options.Queue.RetryAfter(w))
	case errors.Is(err, slots.ErrWouldWait):
		return refused(forward.ReasonWaits, r.options.Queue.RetryAfter(w))
	case errors.Is(err, slots.ErrClosed):
		return refused(forward.ReasonNone, downRetryAfter)
	}

	return refused(err.Error(), r.options.Queue.RetryAfter(w))
}

// run sends the call to the backend server, unless the server began to drain while the call
// waited or the call is suspected of crashing backend servers. It also returns the service time
// of the backend server and, for a call that was given up, a channel that is closed when it ends.
// The wait for permission to run is left out: a node that has just started waits for answers of
// other nodes, and would rate its backend server as slow.
func (r *Runner) run(ctx context.Context, in *forward.Request, c call.Call) (forward.Reply, time.Duration, <-chan struct{}) {
	end, err := r.options.Suspects.Begin(ctx, c)
	if err != nil {
		return suspected(err), 0, nil
	}

	pending := true

	defer func() {
		if pending { // not sent, or a panic
			end(poison.Lost)
		}
	}()

	state := r.options.Host.State()
	if !state.Takes || r.closed.Load() {
		return refused(forward.ReasonNone, downRetryAfter), 0, nil
	}

	began := time.Now()
	a, err := r.options.Pool.Do(ctx, backend.Request{
		ID: in.ID, Origin: in.Origin, Instance: state.Instance, Method: in.Method, Host: in.Host, URI: in.URI, Header: in.Header,
		Body: in.Body, Idempotent: in.Idempotent, Signaled: r.listener(in.ID, state.Instance, began),
	})
	serviceTime := time.Since(began)
	reply, result := r.classify(ctx, in.ID, state, a, err)
	pending = false
	reply.Crashes = end(result)
	reply.HeldMs = serviceTime.Milliseconds()

	return reply, serviceTime, a.Ending
}

// suspected returns the reply to a call suspected of crashing backend servers. Its retry delay
// is short for a temporary doubt and otherwise lasts until the suspicion ends.
func suspected(err error) forward.Reply {
	var r *call.Refusal
	if !errors.As(err, &r) {
		return refused(err.Error(), downRetryAfter)
	}

	return forward.Reply{
		Result: forward.Suspected, Reason: r.Error(), RetryMs: time.Duration(r.RetryAfter).Milliseconds(), Crashes: r.Crashes,
	}
}

// toCall converts a request for the check by [Suspects].
func toCall(in *forward.Request) call.Call {
	return call.Call{
		Crashes: in.Crashes,

		ID: in.ID, Service: in.Service, Method: in.Method, URI: in.URI, Header: in.Header, Body: in.Body, Idempotent: in.Idempotent,
	}
}

// record reports the call to the meter and to the timeline.
func (r *Runner) record(in *forward.Request, w slots.Work, reply forward.Reply, took time.Duration) {
	serviceTime := time.Duration(reply.HeldMs) * time.Millisecond

	if r.options.Meter != nil {
		r.options.Meter.Ran(in.Route, reply.Result, took-serviceTime, serviceTime)
	}

	e := event.CallRun

	switch {
	case reply.Result == forward.Refused && reply.Reason == forward.ReasonWaits:
		e = event.CallSentNearby
	case reply.Result != forward.Answered:
		e = event.CallNotRun
	case reply.Status >= http.StatusInternalServerError:
		e = event.CallRunFailed
	}

	r.options.Recorder.Record(e, timeline.Entry{Call: in.ID, Detail: r.describe(in, w, reply, took)})
}
