package frontend

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/gate"
	"github.com/pollencart/pollencart/internal/invariant"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/retry"
	"github.com/pollencart/pollencart/internal/selection"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/internal/upstream"
)

// gates sends attempts of a call to the gates of its service.
type gates struct {
	options Options
	budget  *retry.Budget
	cached  sync.Map // service name -> *candidates
}

// attempt sends the call to one gate after another until a gate answers, a refusal must not
// be retried, or no attempts are left.
func (g *gates) attempt(ctx context.Context, c call.Call) (call.Answer, error) {
	var last error

	made := 0
	firstAttempt := max(c.Attempt, 1)
	need := selection.Need{Class: c.Class, Idempotent: c.Idempotent}

	for {
		candidate, ok := g.options.Selector.Pick(c.Service, g.candidates(c.Service), need)
		if !ok {
			break
		}

		made++

		a, err := g.send(ctx, candidate, c.WithAttempt(firstAttempt+made-1))
		if err == nil {
			g.budget.Answered(c.Route, c.Values.RetryBudget)

			return a.WithAttempts(made), nil
		}

		last = err
		c = c.WithCrashes(crashesOf(c, err))

		if !g.budget.Allow(ctx, c, made, err) {
			break
		}

		need.Tried = append(need.Tried, candidate.ID)
		g.options.Recorder.Record(event.CallRetried, timeline.Entry{Call: c.ID, Peer: candidate.ID, Detail: err.Error()})
	}

	return call.Answer{}, g.finalRefusal(c, last, made)
}

// crashesOf returns the backend server crashes during which the call is known to have been
// running. The next attempt carries them because the gate that saw a crash can't notify other
// gates over a link that works in one direction only; without them, a call crashed a second
// backend server within 4 ms.
func crashesOf(c call.Call, err error) []call.Crash {
	var r *call.Refusal
	if errors.As(err, &r) && len(r.Crashes) > 0 {
		return r.Crashes
	}

	return c.Crashes
}

// finalRefusal returns the refusal of the last attempt, or ErrNoUpstream if no attempt was made.
func (g *gates) finalRefusal(c call.Call, last error, made int) error {
	var r *call.Refusal
	if !errors.As(last, &r) {
		r = call.Refuse(ErrNoUpstream.With("%s", c.Service), call.RanNo, time.Second)
	}

	return r.WithAttempts(made)
}

// candidates returns the gates of a service. Members returns the same slice until a record
// changes, so the list is cached for as long as the slice is the same.
func (g *gates) candidates(service string) []selection.Candidate {
	records := g.options.Members.Serving(service)
	if len(records) == 0 {
		return nil
	}

	if cached, ok := g.cached.Load(service); ok {
		entry := cached.(*candidates)
		if &entry.records[0] == &records[0] && len(entry.records) == len(records) {
			return entry.list
		}
	}

	list := make([]selection.Candidate, len(records))
	for i := range records {
		list[i] = candidateOf(&records[i])
	}

	g.cached.Store(service, &candidates{records, list})

	return list
}

// candidates is a cached candidate list with the records that it was built from.
type candidates struct {
	records []membership.Record
	list    []selection.Candidate
}

func candidateOf(r *membership.Record) selection.Candidate {
	return selection.Candidate{
		ID: r.ID, Address: r.PeerAddress, Region: r.Region, FailureDomain: r.FailureDomain,
		Slots: r.Upstream.Slots, ReadySince: time.UnixMilli(r.Upstream.ReadySince),
	}
}

func (g *gates) send(ctx context.Context, to selection.Candidate, c call.Call) (call.Answer, error) {
	started := g.options.Selector.Start(c.Service, to.ID, c.Class)

	var reply gate.Reply

	err := g.options.Peers.Do(ctx, to.Address, peer.LaneCalls, gate.MethodRun, c.WithRemaining(gateTimeout(ctx)), &reply)
	if err != nil {
		err = refusalOf(ctx, err)
	} else if reply.Refusal != nil {
		err = reply.Refusal
	}

	if err != nil {
		started.End(outcomeOf(ctx, err))

		return call.Answer{}, err
	}

	o := selection.Outcome{Load: reply.Answer.Load}
	if reply.Answer.Status >= http.StatusInternalServerError {
		o.Result = selection.Failed
	}

	started.End(o)

	if !invariant.Check(g.options.Recorder, invariant.AnswersMatch, reply.Answer.Call == c.ID,
		timeline.Entry{Call: c.ID, Peer: to.ID, Detail: "answer to " + reply.Answer.Call}) {
		return call.Answer{}, call.Refuse(ErrAnswerMismatch, call.RanUnknown, time.Second)
	}

	return *reply.Answer, nil
}

// gateTimeout returns the time that the gate gets: a little less than is left, so that its
// "not run" refusal arrives before the entry times out and has to report "unknown".
func gateTimeout(ctx context.Context) time.Duration {
	const (
		maxReserve      = 2 * time.Millisecond
		reserveFraction = 10
	)

	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}

	left := time.Until(deadline)

	return left - min(maxReserve, left/reserveFraction)
}

// refusalOf returns the refusal for an attempt that got no reply. A context canceled with
// ErrNodeStopped means that this node is stopping while the caller still waits.
func refusalOf(ctx context.Context, err error) error {
	ran := call.RanUnknown
	if errors.Is(err, peer.ErrUnreachable) || errors.Is(err, peer.ErrFrameTooLarge) || errors.Is(err, peer.ErrOverloaded) {
		ran = call.RanNo
	}

	switch {
	case errors.Is(context.Cause(ctx), ErrNodeStopped) && ran == call.RanNo:
		err = ErrDraining.Wrap(err)
	case errors.Is(context.Cause(ctx), ErrNodeStopped):
		err = ErrNodeStopped.Wrap(err)
	case errors.Is(ctx.Err(), context.Canceled):
		err = ErrCanceled.Wrap(err)
	case ctx.Err() != nil:
		err = ErrDeadline.Wrap(err)
	}

	return call.Refuse(err, ran, time.Second)
}

// outcomeOf returns what the selector records about the gate of a failed attempt.
func outcomeOf(ctx context.Context, err error) selection.Outcome {
	var r *call.Refusal
	if !errors.As(err, &r) {
		return selection.Outcome{Result: selection.Failed}
	}

	o := selection.Outcome{Result: selection.Failed, Load: r.Load}

	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		o.Result = selection.Abandoned
	case ctx.Err() != nil:
		o.Result = selection.TimedOut
	case r.Ran == call.RanNo && r.Load.Slots > 0 && !errors.Is(err, upstream.ErrUnreached):
		o.Result = selection.Refused
	}

	return o
}
