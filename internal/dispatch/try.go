package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pollencart/pollencart/internal/balancer"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/forward/upload"
	"github.com/pollencart/pollencart/internal/ingress"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/retrybudget"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/timeline"
)

// replyMargin is subtracted from the time given to a node, so that its rejection arrives
// before this node times out and has to treat the call as possibly run.
const replyMargin = 3 * time.Millisecond

// callState is the state of one call across all nodes contacted for it.
type callState struct {
	dispatcher *Dispatcher
	ctx        context.Context //nolint:containedctx // lives as long as the call
	route      *route.Route
	request    forward.Request
	outcome    *Outcome
	target     time.Time

	attempted []string
	declined  []string // rejected the call in favor of other nodes
	ending    int      // number of nodes that did so because their processes end
	lastReply forward.Reply
	// failedReply is the error response of a backend server to an idempotent call. The
	// caller gets it if no other attempt succeeds.
	failedReply *forward.Reply
	// otherCandidates is the number of further nodes that could take the call.
	otherCandidates int
	// mayHaveRun is set once it is unknown whether an attempt ran.
	mayHaveRun bool
	// reached is set once a backend server ran the call or may have.
	reached bool
}

func (s *callState) run() ingress.Response {
	if reply, ok := s.tryCanary(); ok {
		if s.isFinal(reply) {
			return s.response(reply)
		}

		if !s.shouldRetry(reply) {
			return s.failureResponse()
		}
	}

	for s.asked() < maxContacted {
		candidates := s.candidates()

		chosen, ok := s.pick(candidates)
		if !ok {
			break
		}

		s.otherCandidates = len(candidates) - 1
		reply := s.contact(chosen)

		if s.isFinal(reply) {
			return s.response(reply)
		}

		if !s.shouldRetry(reply) {
			break
		}
	}

	return s.failureResponse()
}

// asked returns the number of nodes that were contacted, without those that declined because their processes end: each does so
// once, and without work.
func (s *callState) asked() int { return s.outcome.Asked - s.ending }

// contact sends the call to a node and records the result.
func (s *callState) contact(c balancer.Candidate) forward.Reply {
	d := s.dispatcher
	s.outcome.Asked++
	s.outcome.Node = c.ID

	if deadline, ok := s.ctx.Deadline(); ok {
		s.request.RemainingMs = (time.Until(deadline) - replyMargin).Milliseconds()
	}

	s.request.TargetMs = time.Until(s.target).Milliseconds()

	sent := time.Now()
	if s.request.Notice = nil; !c.Own {
		s.request.Notice = d.notices.About(c.ID, sent)
	}

	attempt := d.options.Balancer.Start(c.ID, s.route.Name)
	reply, err := s.send(c)
	d.notices.Replied(c.ID, sent, time.Now(), reply)
	d.endings.observe(c, reply)
	result := s.classify(reply, err)

	if attempt.End(result, reply) {
		d.options.Recorder.Record(event.GateAvoided, timeline.Entry{Call: s.request.ID, Peer: c.ID, Detail: reply.Reason})
	}

	s.recordReply(c, reply)

	return reply
}

// recordReply updates the state that the choice of the next node depends on.
func (s *callState) recordReply(c balancer.Candidate, reply forward.Reply) {
	s.lastReply = reply

	if reply.Reason == forward.ReasonEnding {
		s.ending++
		s.lastReply.RetryMs = 0 // the end of that process is no time for the caller
	}

	if reply.Elsewhere() {
		s.declined = append(s.declined, c.ID)

		return
	}

	s.attempted = append(s.attempted, c.ID)
	s.outcome.Held += time.Duration(max(reply.HeldMs, 0)) * time.Millisecond

	if reply.Result != forward.Refused && reply.Result != forward.Suspected {
		s.outcome.Sent++
	}

	if len(reply.Crashes) > 0 {
		s.request.Crashes = reply.Crashes
	}

	if reply.Result == forward.Lost {
		s.mayHaveRun = true
	}

	switch reply.Result {
	case forward.Refused, forward.Shed, forward.Suspected:
	case forward.Answered, forward.Lost:
		s.reached = true
	default:
		s.reached = true // an invalid reply proves nothing
	}
}

func (s *callState) send(c balancer.Candidate) (forward.Reply, error) {
	if c.Own {
		return s.dispatcher.options.Own.Serve(s.ctx, s.request)
	}

	do := s.dispatcher.options.Peers.Do
	if s.mayAbandon() {
		do = s.dispatcher.options.Peers.DoElsewhere
	}

	if len(s.request.Body) >= upload.MinBytes {
		return s.sendUploaded(c.Address)
	}

	var reply forward.Reply

	err := do(s.ctx, c.Address, peer.LaneCalls, forward.MethodRun, s.request, &reply)

	return outcome(reply, err)
}

// sendUploaded sends a call whose body does not fit into a message. Until its parts are there, it does not run.
func (s *callState) sendUploaded(address string) (forward.Reply, error) {
	peers := s.dispatcher.options.Peers

	id, err := upload.Send(s.ctx, peers, address, s.request.Body)
	if err != nil {
		return forward.Reply{Result: forward.Refused, Reason: err.Error()}, err
	}

	uploaded := forward.Uploaded{Upload: id, Request: s.request}
	uploaded.Request.Body = nil

	var reply forward.Reply

	err = peers.Do(s.ctx, address, peer.LaneCalls, forward.MethodRunUploaded, uploaded, &reply)

	return outcome(reply, err)
}

// outcome returns what is known of a call after an attempt to send it.
func outcome(reply forward.Reply, err error) (forward.Reply, error) {
	switch {
	case err == nil:
		return reply, nil
	case errors.Is(err, peer.ErrUnreachable), errors.Is(err, peer.ErrFrameTooLarge), errors.Is(err, peer.ErrOverloaded):
		// Nothing of the call has left this process, or the other node has not passed it on.
		return forward.Reply{Result: forward.Refused, Reason: err.Error()}, err
	}

	return forward.Reply{Result: forward.Lost, Reason: err.Error()}, err
}

// mayAbandon reports whether the call may be abandoned at its node once the link is in doubt.
// Another node must be able to take it. A draining node doesn't abandon calls: its host is
// busy with the shutdown, so healthy links look silent, and a call that a backend server is
// running would end with an error response of this node.
func (s *callState) mayAbandon() bool {
	d := s.dispatcher

	return s.request.Idempotent && s.otherCandidates > 0 && s.outcome.Sent+1 < s.route.Attempts && !d.options.Intake.Leaving()
}

// classify returns what the reply means for the balancer's view of the node.
func (s *callState) classify(reply forward.Reply, err error) balancer.Result {
	switch {
	case errors.Is(s.ctx.Err(), context.Canceled):
		return balancer.Abandoned
	case s.ctx.Err() != nil:
		return balancer.Failed // no reply before the deadline
	case errors.Is(err, peer.ErrOverloaded), errors.Is(err, peer.ErrNoMemory):
		return balancer.Busy
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

// isFinal reports whether the reply goes to the caller. It keeps an error response to an
// idempotent call as the fallback.
func (s *callState) isFinal(reply forward.Reply) bool {
	if reply.Result != forward.Answered {
		return false
	}

	if reply.Status < http.StatusInternalServerError || !s.request.Idempotent {
		return true
	}

	s.failedReply = &reply

	return false
}

// shouldRetry decides whether another node is contacted after a reply that is not final.
func (s *callState) shouldRetry(reply forward.Reply) bool {
	if s.ctx.Err() != nil || s.remaining() < minRetryTime {
		return false
	}

	switch reply.Result {
	case forward.Refused:
		return true // the call did not run
	case forward.Suspected:
		return false // the next node may not know of the crashes and run the call
	case forward.Lost, forward.Answered:
		if !s.request.Idempotent {
			return false // the call may have run
		}
	case forward.Shed:
	}

	if s.outcome.Sent >= s.route.Attempts {
		return false
	}

	margin := retrybudget.Margin
	if reply.Result == forward.Answered {
		margin = retrybudget.FailedMargin
	}

	d := s.dispatcher

	again := d.options.Budget.Allow(s.request.Service, margin, d.options.CountNodes())
	if d.options.Meter != nil {
		d.options.Meter.Repeated(s.request.Service, again)
	}

	if !again {
		return false
	}

	d.options.Recorder.Record(event.CallRetried, timeline.Entry{
		Call: s.request.ID, Peer: s.outcome.Node, Detail: reply.Result.String() + " " + reply.Reason,
	})

	return true
}

func (s *callState) remaining() time.Duration {
	deadline, ok := s.ctx.Deadline()
	if !ok {
		return s.route.Timeout
	}

	return time.Until(deadline)
}

func (s *callState) response(reply forward.Reply) ingress.Response {
	return ingress.Response{Status: reply.Status, Header: reply.Header, Body: reply.Body}
}

// failureResponse returns the response to a call without a final reply.
func (s *callState) failureResponse() ingress.Response {
	if s.failedReply != nil {
		return s.response(*s.failedReply)
	}

	d := s.dispatcher

	switch {
	case s.mayHaveRun:
		s.outcome.Reason = "no answer, it may have run: " + s.lastReply.Reason

		if errors.Is(s.ctx.Err(), context.DeadlineExceeded) {
			return d.localResponse(s.outcome, http.StatusGatewayTimeout)
		}

		return d.localResponse(s.outcome, http.StatusBadGateway)
	case s.lastReply.Result == 0:
		return d.reject(s.outcome, "no backend server of "+s.request.Service+" can be reached that takes calls", noBackendRetryAfter)
	}

	after := s.lastReply.RetryAfter()
	if after <= 0 {
		after = noBackendRetryAfter
	}

	return d.reject(s.outcome, "not run: "+s.lastReply.Reason, after)
}
