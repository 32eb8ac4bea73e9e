// Package gate is the end of a call's path: the node beside the backend server
// takes the call from the entry node, lets it in and runs it.
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

// Check reports whether a decoded reply can be used.
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

// Gate lets calls in to one backend server.
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
	g.pipe = call.Chain(r.Run, g.deadline, g.settled, g.refuseSuspects, g.admit, g.judge, g.start)

	return g
}

// Serve answers the entry node.
func (g *Gate) Serve(ctx context.Context, c call.Call) (Reply, error) {
	g.running.Add(1)
	defer g.running.Add(-1)

	began := time.Now()

	a, err := g.pipe(ctx, c)
	if err != nil {
		r := g.asRefusal(err)
		g.options.Recorder.Record(event.CallNotRun, timeline.Entry{Call: c.ID, Key: c.Key, Detail: refused(c, r, time.Since(began))})

		return Reply{Refusal: r}, nil
	}

	g.options.Recorder.Record(event.CallRun, timeline.Entry{Call: c.ID, Key: c.Key, Detail: answered(c, a, time.Since(began))})

	a.Call = c.ID
	a.Upstream = g.node

	// A filter that answers by itself has not asked the queue.
	if a.Load.Slots == 0 {
		a.Load = g.queue.Load()
	}

	return Reply{Answer: &a}, nil
}

// Running returns how many calls are inside.
func (g *Gate) Running() int64 { return g.running.Load() }

// asRefusal returns the refusal with the load as it is now, and with the times of this
// call if it got into the queue.
func (g *Gate) asRefusal(err error) *call.Refusal {
	var r *call.Refusal
	if !errors.As(err, &r) {
		r = call.Refuse(err, call.RanUnknown, time.Second)
	}

	return r.WithLoad(g.queue.Load().WithTimes(time.Duration(r.Load.Waited), time.Duration(r.Load.Held)))
}

// deadline bounds the call by the time that its caller still waits.
func (g *Gate) deadline(next call.Handler) call.Handler {
	return func(ctx context.Context, c call.Call) (call.Answer, error) {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(c.Remaining))
		defer cancel()

		return next(ctx, c)
	}
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

		begun := time.Now()
		a, err := next(ctx, c)

		release()

		load := g.queue.Load().WithTimes(begun.Sub(start), time.Since(begun))
		a.Load = load

		var r *call.Refusal
		if errors.As(err, &r) {
			err = r.WithLoad(load)
		}

		return a, err
	}
}
