// Package gate is the last stage of a call's path: the gate node, on the backend server's
// host, receives the call from the entry node, admits it and runs it.
//
//	g := gate.New(host, queue)
//	server.Handle(gate.MethodRun, peer.Typed(g.Serve))
package gate

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/invariant"
	"github.com/pollencart/pollencart/internal/timeline"
)

// MethodRun is the peer method that runs a call.
const MethodRun = "Gate.Run"

// Reply is the answer or the refusal of a call.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Answer  *call.Answer  `msgpack:"Answer,omitempty"`
	Refusal *call.Refusal `msgpack:"Refusal,omitempty"`
}

// Size returns about how many bytes the reply has when it is encoded.
func (r Reply) Size() int {
	if r.Answer == nil {
		return 0
	}

	return len(r.Answer.Body)
}

// Check returns an error unless a decoded reply has either an answer or a refusal.
func (r *Reply) Check() error {
	if (r.Answer == nil) == (r.Refusal == nil) {
		return call.ErrInvalid.With("reply wants an answer or a refusal")
	}

	return nil
}

// Runner runs a call on the backend server.
type Runner interface {
	Run(ctx context.Context, c call.Call) (call.Answer, error)
}

// Gate admits calls to one backend server.
type Gate struct {
	node     string
	queue    *admission.Queue
	starts   Starts
	suspects Suspects
	pipe     call.Handler
	options  Options
	running  atomic.Int64
}

// New returns a gate.
func New(node string, r Runner, q *admission.Queue, opts ...Option) *Gate {
	g := &Gate{node: node, queue: q, options: newOptions(opts...), suspects: noSuspects{}}
	g.pipe = call.Chain(r.Run, g.deadline, g.closeUnstarted, g.refuseSuspects, g.admit, g.runSuspects, g.startOnce)

	return g
}

// Serve runs a call for the entry node.
func (g *Gate) Serve(ctx context.Context, c call.Call) (Reply, error) {
	g.running.Add(1)
	defer g.running.Add(-1)

	began := time.Now()

	a, err := g.pipe(ctx, c)
	if err != nil {
		r := g.asRefusal(err)
		g.options.Recorder.Record(event.CallNotRun, timeline.Entry{Call: c.ID, Key: c.Key, Detail: describeRefusal(c, r, time.Since(began))})

		return Reply{Refusal: r}, nil
	}

	g.options.Recorder.Record(event.CallRun, timeline.Entry{Call: c.ID, Key: c.Key, Detail: describeAnswer(c, a, time.Since(began))})

	a.Call = c.ID
	a.Upstream = g.node

	// A pipe stage that answers by itself sets no load.
	if a.Load.Slots == 0 {
		a.Load = g.queue.Load()
	}

	return Reply{Answer: &a}, nil
}

// Running returns how many calls are in flight at the gate.
func (g *Gate) Running() int64 { return g.running.Load() }

// asRefusal returns the refusal with the current load, and with the waiting and service
// times of this call if the queue admitted it.
func (g *Gate) asRefusal(err error) *call.Refusal {
	var r *call.Refusal
	if !errors.As(err, &r) {
		r = call.Refuse(err, call.RanUnknown, time.Second)
	}

	return r.WithLoad(g.queue.Load().WithTimes(time.Duration(r.Load.Waited), time.Duration(r.Load.Held)))
}

// deadline bounds the call by the time for which its caller still waits.
func (g *Gate) deadline(next call.Handler) call.Handler {
	return func(ctx context.Context, c call.Call) (call.Answer, error) {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(c.Remaining))
		defer cancel()

		return next(ctx, c)
	}
}

// runAdmitted runs an admitted call and releases its slot, also after a panic.
func runAdmitted(ctx context.Context, c call.Call, next call.Handler, release func()) (call.Answer, error) {
	defer release()

	return next(ctx, c)
}

func (g *Gate) admit(next call.Handler) call.Handler {
	return func(ctx context.Context, c call.Call) (call.Answer, error) {
		start := time.Now()
		leaving := g.queue.Load().Leaving

		release, err := g.queue.Admit(ctx, admission.Request{Class: c.Class, Caller: c.Caller, Queue: c.Queue})
		if err != nil {
			return call.Answer{}, call.Refuse(err, call.RanNo, g.queue.RetryAfter())
		}

		invariant.Check(g.options.Recorder, invariant.NothingAfterDrain, !leaving || !g.queue.Load().Leaving,
			timeline.Entry{Call: c.ID, Key: c.Key})

		admitted := time.Now()
		a, err := runAdmitted(ctx, c, next, release)
		load := g.queue.Load().WithTimes(admitted.Sub(start), time.Since(admitted))
		a.Load = load

		var r *call.Refusal
		if errors.As(err, &r) {
			err = r.WithLoad(load)
		}

		return a, err
	}
}
