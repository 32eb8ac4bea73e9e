// Package runner is the only way to the backend server on this host. Calls of all
// nodes meet here, so that its slots are counted exactly, nothing new reaches it
// from the moment its leaving is known, and what is turned away has provably not
// run.
//
//	r := runner.New(runner.Options{...})
//	server.Handle(forward.MethodRun, peer.Typed(r.Serve))
package runner

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/announce"
	"github.com/pollencart/pollencart/internal/backend"
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/nestedcall"
	"github.com/pollencart/pollencart/internal/poison"
	"github.com/pollencart/pollencart/internal/slots"
	"github.com/pollencart/pollencart/internal/timeline"
)

// downRetry is when to come back to a backend server that does not listen; its
// next heartbeat tells that it is back.
const downRetry = 200 * time.Millisecond

// shedRetry is when to come back to a backend server that turned a call away by itself.
// Its slots are counted here, so it is not full, and there is no backlog to wait for:
// it fails a part of its calls, and the next one may do. After 200 ms a caller with a
// target of 300 ms had missed it.
const shedRetry = 20 * time.Millisecond

// Suspects judges requests that were running when a backend server crashed.
type Suspects interface {
	Freshen(ctx context.Context, service string)
	Refused(c call.Call) error
	Begin(ctx context.Context, c call.Call) (end func(poison.Result) []poison.Crash, err error)
}

// Meter counts what runs.
type Meter interface {
	Ran(route string, result forward.Result, waited, held time.Duration)
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
}

// Runner runs calls on one backend server.
type Runner struct {
	options    Options
	nestedcall *nestedcall.Detector
	closed     atomic.Bool
	busy       atomic.Int64
}

// New returns a runner.
func New(o Options) *Runner { return &Runner{options: o, nestedcall: nestedcall.New()} }

// Close turns away what waits and what comes from now on; what the backend server runs
// goes on.
func (r *Runner) Close() {
	r.closed.Store(true)
	r.options.Queue.Close()
}

// Busy returns how many calls are inside.
func (r *Runner) Busy() int64 { return r.busy.Load() }

// Serve runs one call, or says why not.
func (r *Runner) Serve(ctx context.Context, in forward.Request) (forward.Reply, error) {
	r.busy.Add(1)
	defer r.busy.Add(-1)

	ctx, cancel := context.WithTimeout(ctx, in.Remaining())
	defer cancel()

	w := r.work(&in)
	began := time.Now()
	reply := r.serve(ctx, &in, w)
	reply.Load = r.load(w)
	r.tell(&in, w, reply, time.Since(began))

	return reply, nil
}

// work is the call as the queue sees it. A nested call is worth the same until the one
// that waits for it gives up.
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

	return w
}

func (r *Runner) load(w slots.Work) forward.Load {
	l := r.options.Queue.Load()
	out := forward.Load{Slots: l.Slots, Running: l.Running, Waiting: l.Waiting}

	for rank := range out.WaitsMs {
		out.WaitsMs[rank] = r.options.Queue.EstimateWait(w, rank).Milliseconds()
	}

	return out
}

func refused(reason string, after time.Duration) forward.Reply {
	return forward.Reply{Result: forward.Refused, Reason: reason, RetryMs: after.Milliseconds()}
}

func (r *Runner) serve(ctx context.Context, in *forward.Request, w slots.Work) forward.Reply {
	if r.closed.Load() || in.Service != r.options.Service || !r.options.Host.State().Takes {
		return refused(forward.ReasonNone, downRetry)
	}

	r.options.Suspects.Freshen(ctx, in.Service)

	c := asCall(in)
	if err := r.options.Suspects.Refused(c); err != nil {
		return suspected(err)
	}

	slot, err := r.options.Queue.Enter(ctx, w)
	if err != nil {
		return r.turnedAway(err, w)
	}

	reply, held := r.run(ctx, in, c)
	slot.Leave(taken(reply, held))

	return reply
}

// taken is how long the call took if that tells something of its route.
func taken(reply forward.Reply, held time.Duration) time.Duration {
	if reply.Result != forward.Answered {
		return 0
	}

	return held
}

func (r *Runner) turnedAway(err error, w slots.Work) forward.Reply {
	switch {
	case errors.Is(err, slots.ErrElsewhere):
		return refused(forward.ReasonElsewhere, r.options.Queue.RetryAfter(w))
	case errors.Is(err, slots.ErrWouldWait):
		return refused(forward.ReasonWaits, r.options.Queue.RetryAfter(w))
	case errors.Is(err, slots.ErrClosed):
		return refused(forward.ReasonNone, downRetry)
	}

	return refused(err.Error(), r.options.Queue.RetryAfter(w))
}

// run sends the call, unless the backend server began to leave while it waited or
// the call is suspected of crashing backend servers. It also returns how long the backend
// server had it. What is waited for until the call may run is left out: a node that has
// just started waits for others to ask, and would take its backend server for as slow.
func (r *Runner) run(ctx context.Context, in *forward.Request, c call.Call) (forward.Reply, time.Duration) {
	end, err := r.options.Suspects.Begin(ctx, c)
	if err != nil {
		return suspected(err), 0
	}

	state := r.options.Host.State()
	if !state.Takes || r.closed.Load() {
		end(poison.Lost)

		return refused(forward.ReasonNone, downRetry), 0
	}

	began := time.Now()
	a, err := r.options.Pool.Do(ctx, backend.Request{
		ID: in.ID, Origin: in.Origin, Instance: state.Instance, Method: in.Method, Host: in.Host, URI: in.URI, Header: in.Header,
		Body: in.Body, Idempotent: in.Idempotent,
	})
	held := time.Since(began)
	reply, result := r.judge(ctx, state, a, err)
	reply.Crashes = end(result)
	reply.HeldMs = held.Milliseconds()

	return reply, held
}

// suspected is the reply to a call that is suspected of crashing backend servers, with
// when to come back: after the doubt of a moment, or once the suspicion ends.
func suspected(err error) forward.Reply {
	var r *call.Refusal
	if !errors.As(err, &r) {
		return refused(err.Error(), downRetry)
	}

	return forward.Reply{
		Result: forward.Suspected, Reason: r.Error(), RetryMs: time.Duration(r.RetryAfter).Milliseconds(), Crashes: r.Crashes,
	}
}

// asCall is the request as those see it who judge suspects.
func asCall(in *forward.Request) call.Call {
	return call.Call{
		Crashes: in.Crashes,

		ID: in.ID, Service: in.Service, Method: in.Method, URI: in.URI, Header: in.Header, Body: in.Body, Idempotent: in.Idempotent,
	}
}

// judge says what became of a call that was handed to the backend server.
func (r *Runner) judge(ctx context.Context, s announce.State, a backend.Answer, err error) (forward.Reply, poison.Result) {
	switch {
	case errors.Is(err, backend.ErrDown):
		r.options.Host.Down(s.Instance)

		return refused(forward.ReasonNone, downRetry), poison.Down
	case errors.Is(err, backend.ErrBusy):
		return refused(err.Error(), downRetry), poison.Lost
	case err != nil:
		return r.lost(ctx, s, err)
	case a.Other:
		r.options.Pool.Forget()
		r.options.Host.Replaced(s.Instance)

		return refused(forward.ReasonNone, downRetry), poison.Finished
	case a.NotRun:
		return forward.Reply{Result: forward.Shed, Reason: "the backend server turned it away", RetryMs: shedRetry.Milliseconds()}, poison.Lost
	}

	return forward.Reply{Result: forward.Answered, Status: a.Status, Header: a.Header, Body: a.Body}, poison.Finished
}

// lost finds out whether the backend server ended while it ran the call. Its process is
// gone if nobody listens any more. Of a call that was given up, and of one whose
// connection broke while somebody listens, that shows later.
func (r *Runner) lost(ctx context.Context, s announce.State, err error) (forward.Reply, poison.Result) {
	reply := forward.Reply{Result: forward.Lost, Reason: err.Error()}

	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return reply, poison.BrokenOff
	case ctx.Err() != nil:
		return reply, poison.Lost
	case r.options.Pool.Listens(ctx):
		return reply, poison.BrokenOff
	}

	r.options.Host.Down(s.Instance)

	return reply, poison.Crashed
}

func (r *Runner) tell(in *forward.Request, w slots.Work, reply forward.Reply, took time.Duration) {
	held := time.Duration(reply.HeldMs) * time.Millisecond

	if r.options.Meter != nil {
		r.options.Meter.Ran(in.Route, reply.Result, took-held, held)
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

	r.options.Recorder.Record(e, timeline.Entry{Call: in.ID, Detail: describe(in, w, reply, took)})
}
