package sidecar

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/sidecar/config"
	"github.com/pollencart/pollencart/internal/timeline"
)

// The steps of a stop, for a grace time of usualGrace or more; they are shorter in a shorter one.
const (
	usualGrace = 6 * time.Second
	// noticeTime is how long callers still come after the node says that it is not
	// ready: it is asked once a second and taken out after two misses. Connections
	// that are closed before are opened again here.
	noticeTime = 2500 * time.Millisecond
	// lendTime is how long after that calls of other nodes are taken while callers of this
	// one wait for their last answers. The backend server runs on, and the process has to
	// wait for those answers in any case.
	lendTime = 400 * time.Millisecond
	// withdrawTime is how long it takes until most nodes know that they are to send no
	// calls here: a gossip round or two. Who does not know it is turned away in one round
	// trip.
	withdrawTime = 150 * time.Millisecond
	// beforeGrace is how long before the platform kills the process it gives up what is
	// left, so that it is answered and closed in order.
	beforeGrace = 400 * time.Millisecond
	// lookEvery is how often it is looked whether anything is left in flight.
	lookEvery = 20 * time.Millisecond
	// lastAnswers is how long the answers to calls that the stop gives up, and refusals,
	// have to go out: some ways to a caller and back.
	lastAnswers = 150 * time.Millisecond
	// leaveTime bounds the word to the fleet and the store that this node leaves.
	leaveTime = 200 * time.Millisecond
	// confirmTime is how long the backend server waits for an answer to its last word.
	confirmTime = time.Second
)

// stop is a planned stop in its order, apart from what is stopped.
type stop struct {
	grace time.Duration
	// callers counts connections of callers that wait for answers, running the calls at the
	// backend server here, inFlight all that run here.
	callers, running, inFlight func() int
	// retire ends the connections of callers with the answers that they wait for,
	// withdraw tells other nodes to send nothing.
	retire, withdraw func()
	// limitIntake takes only calls of callers that are over by the end, closeGate none of
	// other nodes, closeIntake none of callers.
	limitIntake            func(end time.Time)
	closeGate, closeIntake func()
	// report tells which step comes next.
	report func(step string)
}

// lasts is how long a step takes of this stop's grace time.
func (s stop) lasts(usual time.Duration) time.Duration {
	return min(usual, time.Duration(float64(usual)*float64(s.grace)/float64(usualGrace)))
}

// left is what a stop leaves unfinished.
type left struct{ callers, inFlight int }

// run returns once nothing is in flight, or the grace time is nearly over, with what is left
// then. Callers are kept as before until they know; calls of other nodes are taken until the
// last callers are gone. Then calls are refused, so that the end depends only on those that
// were taken.
func (s stop) run() left {
	began := time.Now()
	deadline := began.Add(s.grace - s.lasts(beforeGrace))

	time.Sleep(s.lasts(noticeTime))
	s.report("callers' connections are retired")
	s.retire()
	until(time.Now().Add(s.lasts(lendTime)), func() bool { return s.callers() == 0 })
	s.report("other nodes are told to send no calls")
	s.limitIntake(deadline)
	s.withdraw()
	time.Sleep(s.lasts(withdrawTime))
	s.report("calls of other nodes are turned away")
	s.closeGate()
	until(deadline, func() bool { return s.running() == 0 })
	s.report("calls of callers are refused")
	s.closeIntake()
	until(deadline, func() bool { return s.callers() == 0 && s.inFlight() == 0 })
	s.report("no call is waited for")

	return left{s.callers(), s.inFlight()}
}

// until waits for something to hold, but no longer than a moment.
func until(deadline time.Time, holds func() bool) {
	for time.Now().Before(deadline) && !holds() {
		time.Sleep(lookEvery)
	}
}

// drain ends the service without cutting a call off.
func (n *Sidecar) drain() {
	n.draining.Leave()
	n.recorder.Record(event.NodeDraining, timeline.Entry{})

	began := time.Now()
	s := stop{
		grace:    config.Seconds(n.settings.Load().Bounds.GraceSeconds),
		callers:  n.ingress.Busy,
		running:  func() int { return int(n.runner.Busy()) },
		inFlight: func() int { return int(n.runner.Busy() + n.server.Running()) },
		retire:   n.ingress.Retire, withdraw: n.withdraw, limitIntake: n.draining.LimitTo, closeGate: n.runner.Close, closeIntake: n.closeIntake,
		report: func(step string) {
			n.recorder.Record(event.NodeDrainStep, timeline.Entry{Detail: step + ": " + n.unfinished()})
		},
	}

	if unfinished := s.run(); unfinished != (left{}) {
		n.recorder.Record(event.NodeCutsOff, timeline.Entry{
			Detail: fmt.Sprintf("%d connections of callers, %d calls: %s", unfinished.callers, unfinished.inFlight, n.unfinished()),
		})
	}

	var ending sync.WaitGroup

	ending.Go(func() { n.leave(s.lasts(leaveTime)) })
	ending.Go(func() { n.abandon(s.lasts(lastAnswers)) })
	ending.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), min(confirmTime, time.Until(began.Add(s.grace-s.lasts(leaveTime)))))
		defer cancel()

		n.shutdown(ctx)
	})
	ending.Wait()
}

// named bounds the connections that a line about a stop describes.
const named = 4

// unfinished says what a stop has to wait for.
func (n *Sidecar) unfinished() string {
	pending := n.ingress.Pending()

	var b strings.Builder

	fmt.Fprintf(&b, "%d connections, %d with calls, %d calls at the gate, %d messages of other nodes",
		n.ingress.Connections(), len(pending), n.runner.Busy(), n.server.Running())

	for _, p := range pending[:min(named, len(pending))] {
		b.WriteString("; ")
		b.WriteString(p.String())
	}

	return b.String()
}

// closeIntake refuses calls of callers. Who connects now is not waited for.
func (n *Sidecar) closeIntake() {
	n.draining.Close()
	n.ingress.StopCounting()
}

// abandon takes no more connections, ends the calls of callers that are under way, and gives
// their last answers a time to go out.
func (n *Sidecar) abandon(patience time.Duration) {
	_ = n.callers.Close() // it was open until now

	n.ingress.Abandon()
	until(time.Now().Add(patience), func() bool { return len(n.ingress.Pending()) == 0 })
}

// withdraw tells the other nodes to send no calls here, while the backend server
// goes on with those it has.
func (n *Sidecar) withdraw() {
	n.withdrawn.Store(true)
	n.table.Update(func(r membership.Record) membership.Record {
		if r.Upstream.State == membership.UpstreamReady {
			r.Upstream.State = membership.UpstreamDraining
		}

		return r
	})

	n.gossip.SendChanges(context.Background())
}

// leave tells the fleet and the store that this node leaves.
func (n *Sidecar) leave(patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()

	n.gossip.Leave(ctx)
	n.discovery.Leave(ctx)
}
