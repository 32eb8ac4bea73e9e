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

// Durations of the drain steps for a grace time of referenceGrace or more. A shorter grace time
// scales them down.
const (
	referenceGrace = 6 * time.Second
	// readinessDelay is how long callers keep connecting after the node reports that it is not
	// ready: the platform checks once per second and removes a node after two failed checks.
	// Callers would reopen connections that are closed earlier.
	readinessDelay = 2500 * time.Millisecond
	// peerCallExtension is how much longer the node accepts calls from other nodes while its
	// callers wait for their last responses. The backend server still runs, and the process has
	// to wait for these responses in any case.
	peerCallExtension = 400 * time.Millisecond
	// withdrawalDelay is one to two gossip rounds, after which most nodes have stopped sending
	// calls. Calls from the others are rejected within one round trip.
	withdrawalDelay = 150 * time.Millisecond
	// graceReserve is how long before the end of the grace time the node abandons the remaining
	// calls, so that it can answer them and close connections before the platform kills it.
	graceReserve = 400 * time.Millisecond
	pollInterval = 20 * time.Millisecond
	// finalResponseTimeout bounds the delivery of refusals and of responses to abandoned
	// calls: several round trips to a caller.
	finalResponseTimeout = 150 * time.Millisecond
	// leaveTimeout bounds the notification of the other nodes and the store that this node leaves.
	leaveTimeout = 200 * time.Millisecond
	// confirmTimeout bounds the response to the last announcement of the backend server.
	confirmTimeout = time.Second
)

// drainSequence runs the steps of a drain in order. Its functions act on the node.
type drainSequence struct {
	grace time.Duration
	// callers counts caller connections that wait for responses, running counts calls at the
	// local backend server, and inFlight counts all calls that this node handles.
	callers, running, inFlight func() int
	// retire closes each caller connection after its pending responses; withdraw notifies other
	// nodes to stop sending calls.
	retire, withdraw func()
	// limitIntake rejects calls from callers that may run past end; closeGate rejects all calls
	// from other nodes, closeIntake all calls from callers.
	limitIntake            func(end time.Time)
	closeGate, closeIntake func()
	// report is called with the name of the next step.
	report func(step string)
}

// scale shortens a duration in proportion if the grace time is shorter than referenceGrace.
func (s drainSequence) scale(duration time.Duration) time.Duration {
	return min(duration, time.Duration(float64(duration)*float64(s.grace)/float64(referenceGrace)))
}

// maxTime returns the time after which the calls that are left are abandoned.
func (s drainSequence) maxTime() time.Duration { return s.grace - s.scale(graceReserve) }

// remainder counts the connections and calls that are unfinished at the end of a drain.
type remainder struct{ callers, inFlight int }

// run returns once nothing is in flight or the grace time is nearly over, with the unfinished
// rest. The node serves callers as before until the platform has removed it, and other nodes
// meanwhile. Then it rejects calls, so that the end of the drain depends only on accepted ones.
func (s drainSequence) run() remainder {
	began := time.Now()
	deadline := began.Add(s.maxTime())

	time.Sleep(s.scale(readinessDelay))
	s.report("callers' connections are retired")
	s.retire()
	waitUntil(time.Now().Add(s.scale(peerCallExtension)), func() bool { return s.callers() == 0 })
	s.report("other nodes are told to send no calls")
	s.limitIntake(deadline)
	s.withdraw()
	time.Sleep(s.scale(withdrawalDelay))
	s.report("calls of other nodes are turned away")
	s.closeGate()
	waitUntil(deadline, func() bool { return s.running() == 0 })
	s.report("calls of callers are refused")
	s.closeIntake()
	waitUntil(deadline, func() bool { return s.callers() == 0 && s.inFlight() == 0 })
	s.report("no call is waited for")

	return remainder{s.callers(), s.inFlight()}
}

// waitUntil polls a condition until it holds or the deadline passes.
func waitUntil(deadline time.Time, holds func() bool) {
	for time.Now().Before(deadline) && !holds() {
		time.Sleep(pollInterval)
	}
}

// drain stops the service and lets calls in flight finish within the grace time.
func (n *Sidecar) drain() {
	n.draining.Leave()
	n.recorder.Record(event.NodeDraining, timeline.Entry{})

	began := time.Now()
	s := drainSequence{
		grace:    config.Seconds(n.settings.Load().Bounds.GraceSeconds),
		callers:  n.ingress.Busy,
		running:  func() int { return int(n.runner.Busy()) },
		inFlight: func() int { return int(n.runner.Busy() + n.server.Running()) },
		retire:   n.ingress.Retire, withdraw: n.withdraw, limitIntake: n.draining.LimitTo, closeGate: n.runner.Close, closeIntake: n.closeIntake,
		report: func(step string) {
			n.recorder.Record(event.NodeDrainStep, timeline.Entry{Detail: step + ": " + n.unfinished()})
		},
	}

	n.runner.EndAt(began.Add(s.maxTime()))

	if unfinished := s.run(); unfinished != (remainder{}) {
		n.recorder.Record(event.NodeCutsOff, timeline.Entry{
			Detail: fmt.Sprintf("%d connections of callers, %d calls: %s", unfinished.callers, unfinished.inFlight, n.unfinished()),
		})
	}

	var ending sync.WaitGroup

	ending.Go(func() { n.leave(s.scale(leaveTimeout)) })
	ending.Go(func() { n.abandon(s.scale(finalResponseTimeout)) })
	ending.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), min(confirmTimeout, time.Until(began.Add(s.grace-s.scale(leaveTimeout)))))
		defer cancel()

		n.shutdownHTTP(ctx)
	})
	ending.Wait()
}

// maxDescribedConnections limits the connections that one log line of a drain describes.
const maxDescribedConnections = 4

// unfinished describes the connections and calls that the drain waits for.
func (n *Sidecar) unfinished() string {
	pending := n.ingress.Pending()

	var b strings.Builder

	fmt.Fprintf(&b, "%d connections, %d with calls, %d calls at the gate, %d messages of other nodes",
		n.ingress.Connections(), len(pending), n.runner.Busy(), n.server.Running())

	for _, p := range pending[:min(maxDescribedConnections, len(pending))] {
		b.WriteString("; ")
		b.WriteString(p.String())
	}

	return b.String()
}

// closeIntake rejects calls from callers. The drain does not wait for new connections.
func (n *Sidecar) closeIntake() {
	n.draining.Close()
	n.ingress.StopCounting()
}

// abandon stops accepting connections, cancels the calls of callers that are still in flight, and
// waits up to timeout for their responses to be sent.
func (n *Sidecar) abandon(timeout time.Duration) {
	_ = n.callerListener.Close() // still open until here

	n.ingress.Abandon()
	waitUntil(time.Now().Add(timeout), func() bool { return len(n.ingress.Pending()) == 0 })
}

// withdraw announces the backend server as draining, so that other nodes send no more calls. It
// finishes the calls that it has.
func (n *Sidecar) withdraw() {
	n.withdrawn.Store(true)
	n.table.Update(func(r membership.Record) membership.Record {
		if r.Upstream.State == membership.UpstreamReady || r.Upstream.State == membership.UpstreamCanary {
			r.Upstream.State = membership.UpstreamDraining
		}

		return r
	})

	n.gossip.SendChanges(context.Background())
}

// leave notifies the other nodes and the store that this node leaves.
func (n *Sidecar) leave(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()

	n.gossip.Leave(ctx)
	n.discovery.Leave(ctx)
}
