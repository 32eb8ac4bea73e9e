package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pollencart/pollencart/internal/balancer"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/ingress"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/retrybudget"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/timeline"
)

// wayBack is kept of the time that a node gets, so that its word on a call that it
// turns away arrives before this node gives up not knowing.
const wayBack = 3 * time.Millisecond

// try is one call on its way through nodes.
type try struct {
	dispatcher *Dispatcher
	ctx        context.Context //nolint:containedctx // lives as long as the call
	route      *route.Route
	request    forward.Request
	outcome    *Outcome
	target     time.Time

	tried []string
	busy  []string // turned the call away for others to take
	last  forward.Reply
	// failed is the answer of a backend server that failed an idempotent call. It
	// is given to the caller if no other one does better.
	failed *forward.Reply
	// others is how many nodes are left that could take the call.
	others int
	// lost is set once nobody knows whether an attempt ran.
	lost bool
}

func (t *try) run() ingress.Response {
	for t.outcome.Asked < maxAsked {
		candidates := t.candidates()

		chosen, ok := t.pick(candidates)
		if !ok {
			break
		}

		t.others = len(candidates) - 1
		reply := t.ask(chosen)

		if t.settled(reply) {
			return t.answer(reply)
		}

		if !t.goOn(reply) {
			break
		}
	}

	return t.giveUp()
}

// ask hands the call to a node and notes what came of it.
func (t *try) ask(c balancer.Candidate) forward.Reply {
	d := t.dispatcher
	t.outcome.Asked++
	t.outcome.Node = c.ID

	if deadline, ok := t.ctx.Deadline(); ok {
		t.request.RemainingMs = (time.Until(deadline) - wayBack).Milliseconds()
	}

	t.request.TargetMs = time.Until(t.target).Milliseconds()

	attempt := d.options.Balancer.Start(c.ID, t.route.Name)
	reply, err := t.send(c)
	result := t.resultOf(reply, err)

	if attempt.End(result, reply) {
		d.options.Recorder.Record(event.GateAvoided, timeline.Entry{Call: t.request.ID, Peer: c.ID, Detail: reply.Reason})
	}

	t.note(c, reply)

	return reply
}

// note keeps what the choice of the next node depends on.
func (t *try) note(c balancer.Candidate, reply forward.Reply) {
	t.last = reply

	if reply.Elsewhere() {
		t.busy = append(t.busy, c.ID)

		return
	}

	t.tried = append(t.tried, c.ID)

	if reply.Result != forward.Refused && reply.Result != forward.Suspected {
		t.outcome.Sent++
	}

	if len(reply.Crashes) > 0 {
		t.request.Crashes = reply.Crashes
	}

	if reply.Result == forward.Lost {
		t.lost = true
	}
}

func (t *try) send(c balancer.Candidate) (forward.Reply, error) {
	if c.Own {
		return t.dispatcher.options.Own.Serve(t.ctx, t.request)
	}

	do := t.dispatcher.options.Peers.Do
	if t.mayLeave() {
		do = t.dispatcher.options.Peers.DoElsewhere
	}

	var reply forward.Reply

	err := do(t.ctx, c.Address, peer.LaneCalls, forward.MethodRun, t.request, &reply)

	switch {
	case err == nil:
		return reply, nil
	case errors.Is(err, peer.ErrUnreachable), errors.Is(err, peer.ErrFrameTooLarge):
		// No byte of the call left this process.
		return forward.Reply{Result: forward.Refused, Reason: err.Error()}, err
	}

	return forward.Reply{Result: forward.Lost, Reason: err.Error()}, err
}

// mayLeave reports whether the call is given up where it is once the link to its node
// is in doubt. That takes another node to go to. And a node that is being stopped does
// not: its own host is busy with the stop, so that links look silent that are not, and
// a call that its backend server works at would end with an answer of this node's.
func (t *try) mayLeave() bool {
	d := t.dispatcher

	return t.request.Idempotent && t.others > 0 && t.outcome.Sent+1 < t.route.Attempts && !d.options.Intake.Leaving()
}

// resultOf says what the reply tells of the node.
func (t *try) resultOf(reply forward.Reply, err error) balancer.Result {
	switch {
	case errors.Is(t.ctx.Err(), context.Canceled):
		return balancer.Abandoned
	case t.ctx.Err() != nil:
		return balancer.Failed // no word of the node in all the time
	case err != nil:
		return balancer.Unreached
	case reply.Result == forward.Refused && reply.Reason == forward.ReasonNone:
		return balancer.Unreached
	case reply.Result == forward.Refused, reply.Result == forward.Suspected:
		return balancer.Busy
	case reply.Result == forward.Answered && reply.Status < http.StatusInternalServerError:
		return balancer.Answered
	}

	return balancer.Failed
}

// settled reports whether the reply is what the caller gets.
func (t *try) settled(reply forward.Reply) bool {
	if reply.Result != forward.Answered {
		return false
	}

	if reply.Status < http.StatusInternalServerError || !t.request.Idempotent {
		return true
	}

	t.failed = &reply

	return false
}

// goOn decides whether another node is asked after a reply that is not the answer.
func (t *try) goOn(reply forward.Reply) bool {
	if t.ctx.Err() != nil || t.left() < leastTime {
		return false
	}

	switch reply.Result {
	case forward.Refused:
		return true // it has not been passed on
	case forward.Suspected:
		return false // the next one may not have heard of the crashes
	case forward.Lost, forward.Answered:
		if !t.request.Idempotent {
			return false // it may have run
		}
	case forward.Shed:
	}

	if t.outcome.Sent >= t.route.Attempts {
		return false
	}

	margin := retrybudget.Margin
	if reply.Result == forward.Answered {
		margin = retrybudget.FailedMargin
	}

	d := t.dispatcher

	again := d.options.Budget.Allow(t.request.Service, margin, d.options.Members.CountLive())
	if d.options.Meter != nil {
		d.options.Meter.Repeated(t.request.Service, again)
	}

	if !again {
		return false
	}

	d.options.Recorder.Record(event.CallRetried, timeline.Entry{
		Call: t.request.ID, Peer: t.outcome.Node, Detail: reply.Result.String() + " " + reply.Reason,
	})

	return true
}

func (t *try) left() time.Duration {
	deadline, ok := t.ctx.Deadline()
	if !ok {
		return t.route.Timeout
	}

	return time.Until(deadline)
}

func (t *try) answer(reply forward.Reply) ingress.Response {
	return ingress.Response{Status: reply.Status, Header: reply.Header, Body: reply.Body}
}

// giveUp makes the final answer of a call that no backend server answered.
func (t *try) giveUp() ingress.Response {
	if t.failed != nil {
		return t.answer(*t.failed)
	}

	d := t.dispatcher

	switch {
	case t.lost:
		t.outcome.Reason = "no answer, it may have run: " + t.last.Reason

		if errors.Is(t.ctx.Err(), context.DeadlineExceeded) {
			return d.own(t.outcome, http.StatusGatewayTimeout)
		}

		return d.own(t.outcome, http.StatusBadGateway)
	case t.last.Result == 0:
		return d.refuse(t.outcome, "no backend server of "+t.request.Service+" can be reached that takes calls", noNodeRetry)
	}

	after := t.last.RetryAfter()
	if after <= 0 {
		after = noNodeRetry
	}

	return d.refuse(t.outcome, "not run: "+t.last.Reason, after)
}
