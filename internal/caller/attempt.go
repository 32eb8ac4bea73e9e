package caller

import (
	"context"
	"errors"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/gate"
	"github.com/pollencart/pollencart/internal/invariant"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/selection"
	"github.com/pollencart/pollencart/internal/timeline"
)

// gates sends attempts of a call to the gates of its service.
type gates struct {
	options Options
}

// attempt sends the call until it has an answer, a refusal that must not be
// tried again, or no attempts left.
func (g *gates) attempt(ctx context.Context, c call.Call) (call.Answer, error) {
	var last error

	tried := map[string]bool{}

	for n := 1; n <= c.Values.Attempts; n++ {
		candidate, ok := g.pick(c.Service, tried)
		if !ok {
			break
		}

		tried[candidate.ID] = true

		a, err := g.send(ctx, candidate, c.WithAttempt(n))
		if err == nil {
			return a, nil
		}

		last = err

		if !mayRetry(ctx, c, err) {
			break
		}

		g.options.Recorder.Record(event.CallRetried, timeline.Entry{Call: c.ID, Peer: candidate.ID, Detail: err.Error()})
	}

	if last == nil {
		last = call.Refuse(ErrNoUpstream.With("%s", c.Service), call.RanNo, time.Second)
	}

	return call.Answer{}, last
}

// mayRetry allows another attempt only if the call surely did not run or may run
// twice.
func mayRetry(ctx context.Context, c call.Call, err error) bool {
	var r *call.Refusal
	if !errors.As(err, &r) || ctx.Err() != nil {
		return false
	}

	return r.Ran == call.RanNo || c.Idempotent
}

func (g *gates) pick(service string, tried map[string]bool) (selection.Candidate, bool) {
	var candidates []selection.Candidate

	for _, r := range g.options.Members.Serving(service) {
		if !tried[r.ID] {
			candidates = append(candidates, candidateOf(r))
		}
	}

	return g.options.Selector.Pick(candidates)
}

func candidateOf(r membership.Record) selection.Candidate {
	return selection.Candidate{
		ID: r.ID, Address: r.PeerAddress, FailureDomain: r.FailureDomain, Slots: r.Upstream.Slots,
	}
}

func (g *gates) send(ctx context.Context, to selection.Candidate, c call.Call) (call.Answer, error) {
	done := g.options.Selector.Start(to.ID)

	deadline, _ := ctx.Deadline()

	var reply gate.Reply

	err := g.options.Peers.Do(ctx, to.Address, peer.LaneCalls, gate.MethodRun, c.WithRemaining(time.Until(deadline)), &reply)
	if err != nil {
		done(call.Load{})

		return call.Answer{}, lost(err)
	}

	if reply.Refusal != nil {
		done(reply.Refusal.Load)

		return call.Answer{}, reply.Refusal
	}

	done(reply.Answer.Load)

	if !invariant.Check(g.options.Recorder, invariant.AnswersMatch, reply.Answer.Call == c.ID,
		timeline.Entry{Call: c.ID, Peer: to.ID, Detail: "answer to " + reply.Answer.Call}) {
		return call.Answer{}, call.Refuse(ErrCrossed, call.RanUnknown, time.Second)
	}

	return *reply.Answer, nil
}

// lost makes a refusal of an attempt without a reply.
func lost(err error) error {
	ran := call.RanUnknown
	if errors.Is(err, peer.ErrUnreachable) || errors.Is(err, peer.ErrFrameTooLarge) {
		ran = call.RanNo
	}

	return call.Refuse(err, ran, time.Second)
}
