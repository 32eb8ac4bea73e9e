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
	kept    sync.Map // candidates by service
}

// attempt sends the call until it has an answer, a refusal that must not be
// tried again, or no attempts left.
func (g *gates) attempt(ctx context.Context, c call.Call) (call.Answer, error) {
	var last error

	made := 0
	upper := max(c.Attempt, 1)
	need := selection.Need{Class: c.Class, Idempotent: c.Idempotent}

	for {
		candidate, ok := g.options.Selector.Pick(c.Service, g.candidates(c.Service), need)
		if !ok {
			break
		}

		made++

		a, err := g.send(ctx, candidate, c.WithAttempt(upper+made-1))
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

	return call.Answer{}, g.givenUp(c, last, made)
}

// crashesOf returns the crashes that the call is known to have been running in after
// another attempt. The gate that the next attempt goes to may not have heard of them:
// over a link that carries words one way only the gate that saw a crash warns nobody,
// and the call itself ended the next backend server within 4 ms.
func crashesOf(c call.Call, err error) []call.Crash {
	var r *call.Refusal
	if errors.As(err, &r) && len(r.Crashes) > 0 {
		return r.Crashes
	}

	return c.Crashes
}

// givenUp is the final refusal of a call.
func (g *gates) givenUp(c call.Call, last error, made int) error {
	var r *call.Refusal
	if !errors.As(last, &r) {
		r = call.Refuse(ErrNoUpstream.With("%s", c.Service), call.RanNo, time.Second)
	}

	return r.WithAttempts(made)
}

// candidates are the gates of a service. Members hands out the same slice until
// something changed, so the candidates made of it are kept.
func (g *gates) candidates(service string) []selection.Candidate {
	records := g.options.Members.Serving(service)
	if len(records) == 0 {
		return nil
	}

	if kept, ok := g.kept.Load(service); ok {
		k := kept.(*candidates)
		if &k.records[0] == &records[0] && len(k.records) == len(records) {
			return k.list
		}
	}

	list := make([]selection.Candidate, len(records))
	for i := range records {
		list[i] = candidateOf(&records[i])
	}

	g.kept.Store(service, &candidates{records, list})

	return list
}

// candidates of one service and the records that they were made of.
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

	err := g.options.Peers.Do(ctx, to.Address, peer.LaneCalls, gate.MethodRun, c.WithRemaining(forGate(ctx)), &reply)
	if err != nil {
		err = lost(ctx, err)
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
		return call.Answer{}, call.Refuse(ErrCrossed, call.RanUnknown, time.Second)
	}

	return *reply.Answer, nil
}

// forGate is the time that the gate has: a little less than is left, so that
// its exact refusal (not run) arrives before the entry gives up not knowing.
func forGate(ctx context.Context) time.Duration {
	const (
		wayBack = 2 * time.Millisecond
		part    = 10
	)

	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}

	left := time.Until(deadline)

	return left - min(wayBack, left/part)
}

// lost makes a refusal of an attempt without a reply. A context that ends with ErrGivenUp is
// that of a node that is being stopped, and its caller still waits.
func lost(ctx context.Context, err error) error {
	ran := call.RanUnknown
	if errors.Is(err, peer.ErrUnreachable) || errors.Is(err, peer.ErrFrameTooLarge) {
		ran = call.RanNo
	}

	switch {
	case errors.Is(context.Cause(ctx), ErrGivenUp) && ran == call.RanNo:
		err = ErrLeaving.Wrap(err)
	case errors.Is(context.Cause(ctx), ErrGivenUp):
		err = ErrGivenUp.Wrap(err)
	case errors.Is(ctx.Err(), context.Canceled):
		err = ErrCanceled.Wrap(err)
	case ctx.Err() != nil:
		err = ErrDeadline.Wrap(err)
	}

	return call.Refuse(err, ran, time.Second)
}

// outcomeOf says what a failed attempt tells of its gate.
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
