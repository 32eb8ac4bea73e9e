package sidecar

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/sidecar/config"
	"github.com/pollencart/pollencart/internal/timeline"
)

const (
	// noticeTime is how long callers still come after the node says that it is not
	// ready: it is asked once a second and taken out after two misses. Connections
	// that are closed before are opened again here.
	noticeTime = 2500 * time.Millisecond
	// noticePart bounds it to a part of a short grace time.
	noticePart = 2
	// lendTime is how long after that calls of other nodes are taken while callers of this
	// one wait for their last answers. The backend server runs on, and the process has to
	// wait for those answers in any case.
	lendTime = 400 * time.Millisecond
	// withdrawTime is how long it takes until most nodes know that they are to send no
	// calls here: a gossip round or two. Who does not know it is turned away in one round
	// trip.
	withdrawTime = 150 * time.Millisecond
	// beforeGrace is how long before the platform kills the process it ends by
	// itself, so that what is left is closed in order.
	beforeGrace = 400 * time.Millisecond
	// lookEvery is how often it is looked whether anything is left inside.
	lookEvery = 20 * time.Millisecond
	// lastAnswers is how long the answers to calls that the stop gives up, and refusals,
	// have to go out: some ways to a caller and back.
	lastAnswers = 150 * time.Millisecond
)

// stop is a planned stop in its order, apart from what is stopped.
type stop struct {
	grace time.Duration
	// callers counts connections of callers that wait for answers, runs the calls at the
	// backend server here, inside all that run here.
	callers, runs, inside func() int
	// retire ends the connections of callers with the answers that they wait for,
	// withdraw tells other nodes to send nothing.
	retire, withdraw func()
	// shut takes no calls of other nodes, and of callers only what is over by the end.
	shut func(end time.Time)
	// close takes no calls of callers any more, and abandon answers those under way.
	close, abandon func()
	// tell says which step comes next.
	tell func(step string)
}

// left is what a stop leaves unfinished.
type left struct{ callers, inside int }

// run returns once nothing is inside, or the grace time is nearly over, with what is left
// then. Callers are kept as before until they know; calls of other nodes are taken until the
// last callers are gone. Then calls are refused by word, so that the end depends only on those
// that were taken.
func (s stop) run() left {
	began := time.Now()
	deadline := began.Add(s.grace - beforeGrace)

	time.Sleep(min(noticeTime, s.grace/noticePart))
	s.tell("callers' connections are retired")
	s.retire()
	until(time.Now().Add(lendTime), func() bool { return s.callers() == 0 })
	s.tell("other nodes are told to send no calls")
	s.withdraw()
	time.Sleep(withdrawTime)
	s.tell("calls of other nodes are turned away")
	s.shut(deadline)
	until(deadline, func() bool { return s.runs() == 0 })
	s.tell("calls of callers are refused")
	s.close()
	until(deadline, func() bool { return s.callers() == 0 && s.inside() == 0 })

	unfinished := left{s.callers(), s.inside()}
	s.abandon()

	return unfinished
}

// until waits for something to hold, but no longer than a moment.
func until(deadline time.Time, holds func() bool) {
	for time.Now().Before(deadline) && !holds() {
		time.Sleep(lookEvery)
	}
}

// drain ends the service without cutting a call off.
func (n *Sidecar) drain() {
	n.intake.Leave()
	n.recorder.Record(event.NodeDraining, timeline.Entry{})

	unfinished := stop{
		grace:   config.Seconds(n.settings.Load().Bounds.GraceSeconds),
		callers: n.ingress.Busy,
		runs:    func() int { return int(n.runner.Busy()) },
		inside:  func() int { return int(n.runner.Busy() + n.server.Running()) },
		retire:  n.ingress.Retire, withdraw: n.withdraw, shut: n.shut, close: n.closeIntake, abandon: n.abandon,
		tell: func(step string) {
			n.recorder.Record(event.NodeDrainStep, timeline.Entry{Detail: step + ": " + n.unfinished()})
		},
	}.run()

	if unfinished != (left{}) {
		n.recorder.Record(event.NodeCutsOff, timeline.Entry{
			Detail: fmt.Sprintf("%d connections of callers, %d calls: %s", unfinished.callers, unfinished.inside, n.unfinished()),
		})
	}

	n.say()
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

// shut turns calls of other nodes away, and takes only calls of callers that are over by the
// end.
func (n *Sidecar) shut(end time.Time) {
	n.runner.Close()
	n.intake.Finish(end)
}

// closeIntake refuses calls of callers. Who connects now is not waited for.
func (n *Sidecar) closeIntake() {
	n.intake.Close()
	n.ingress.Settle()
}

// abandon takes no more connections, ends the calls of callers that are under way, and gives
// their last answers the time to go out.
func (n *Sidecar) abandon() {
	_ = n.callers.Close() // it was open until now

	n.ingress.Abandon()
	until(time.Now().Add(lastAnswers), func() bool { return len(n.ingress.Pending()) == 0 })
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

	n.gossip.Tell(context.Background())
}

// say leaves the fleet.
func (n *Sidecar) say() {
	const patience = 200 * time.Millisecond

	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()

	n.gossip.Leave(ctx)
	n.rendezvous.Leave(ctx)
}
