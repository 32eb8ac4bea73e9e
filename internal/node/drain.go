package node

import (
	"context"
	"fmt"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/once"
	"github.com/pollencart/pollencart/internal/timeline"
)

// drainNotice is how long a draining node still serves its callers while it tells them to
// connect to another node. It covers the time that gossip needs to reach the whole fleet, and
// must be longer than the interval at which load balancers poll /readyz.
const drainNotice = time.Second

// handOverShare is the fraction (1/n) of the DrainTimeout that is reserved for handing over
// keys, and maxHandOverTime its upper limit: the calls of most routes end within it.
//
// lingerTime, some rounds of gossip, is how long the node answers other nodes after it has
// announced its departure. Nodes that have not received it yet get an explicit rejection; on a
// connection that is closed instead, a call that ran can't be distinguished from one that did not.
//
// keyResolveTime is how long owner nodes have to query gates about keys that the drain
// abandons; the answers are sent in the rest of lingerTime.
const (
	handOverShare   = 3
	maxHandOverTime = 4 * time.Second
	lingerTime      = 500 * time.Millisecond
	keyResolveTime  = once.DefaultCloseTimeout + 50*time.Millisecond
)

// drainSequence is the order of steps in which a node drains, separate from the parts that
// they act on.
//
// A single deadline for all steps is not enough: a call that hangs at the backend server uses
// up the whole time while the node remains the owner of new keys. No time is left to hand over
// keys and to finish the running ones: their callers get 503 or 504 with "unknown", and the
// keys of the shards have no owner.
type drainSequence struct {
	timeout time.Duration
	// retireConnections closes callers' connections after their pending answers, and admits
	// only calls that finish before end.
	retireConnections func(end time.Time)
	// gateCalls counts calls that run at the local backend server, inFlight all unfinished work
	// of the node.
	gateCalls, inFlight func() int64
	// close rejects all further requests of callers.
	close func()
	// handOver starts no more keys and transfers the keys of shards to other nodes;
	// pendingKeys counts the keys that have not finished.
	handOver    func(context.Context)
	pendingKeys func() int64
	// leave announces the departure to other nodes, and stopListening accepts no more
	// connections of callers.
	leave         func(context.Context)
	stopListening func()
	// abandon cancels unfinished work, and returns when it is answered or ctx ends.
	abandon func(context.Context)
}

// run returns when no work is in flight or the timeout is over. A call that does not end delays
// nothing but its own answer. Callers' requests are admitted for as long as the backend server
// runs calls, since these may depend on calls that it makes through this node. After that they
// get an explicit rejection, so that the end of the drain depends only on admitted calls.
func (s drainSequence) run(ctx context.Context) {
	end := time.Now().Add(max(s.timeout-lingerTime, s.timeout/2))

	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()

	early, stopEarly := context.WithTimeout(ctx, s.timeout-min(maxHandOverTime, s.timeout/handOverShare))
	defer stopEarly()

	idle.For(early, drainNotice)
	s.retireConnections(end)
	waitForZero(early, s.gateCalls)
	s.close()
	waitForZero(early, s.inFlight)
	s.handOver(ctx)
	waitForZero(ctx, s.pendingKeys)
	s.leave(context.WithoutCancel(ctx)) //nolint:forbidigo // not the context of a call
	waitForZero(ctx, s.inFlight)
	s.stopListening()

	last, stopLast := context.WithTimeout(context.WithoutCancel(ctx), lingerTime) //nolint:forbidigo // not the context of a call
	defer stopLast()

	s.abandon(last)
	idle.For(last, lingerTime)
}

// waitForZero polls count until it returns zero or ctx ends.
func waitForZero(ctx context.Context, count func() int64) {
	const pause = 10 * time.Millisecond

	for count() > 0 && ctx.Err() == nil {
		idle.For(ctx, pause)
	}
}

// drain shuts the node down without dropping calls. From the start, the gate rejects new calls
// as not run, so that entry nodes send them to other nodes. Callers of this node are still
// served while they and the fleet learn of the drain; then no new call is admitted, and the
// calls in flight finish.
func (n *Node) drain() {
	n.recorder.Record(event.NodeDraining, timeline.Entry{Detail: "within " + time.Duration(n.config.DrainTimeout).String()})
	n.draining.Leave()
	n.host.Leave()

	drainSequence{
		timeout:           time.Duration(n.config.DrainTimeout),
		retireConnections: n.retireConnections, gateCalls: n.gate.Running, inFlight: n.inFlightTotal, close: n.closeIntake,
		handOver: n.handOver, pendingKeys: n.home.Running, leave: n.leave, stopListening: n.stopListening,
		abandon: n.abandon,
	}.run(context.Background())
}

// retireConnections ends keep-alive connections and limits admission to calls that finish
// before end. The node still listens, so that new connections get an answer that says that it
// is draining.
func (n *Node) retireConnections(end time.Time) {
	n.draining.LimitTo(end)
	n.callerServer.SetKeepAlivesEnabled(false)
}

// closeIntake rejects callers' requests, including those whose bodies have not arrived.
func (n *Node) closeIntake() {
	n.draining.Close()
	n.stopAccepting()
}

// stopListening records the work that is still unfinished, and closes the callers' listener
// before the connections are closed: a request that arrives while net/http shuts down gets no
// answer.
func (n *Node) stopListening() {
	if left := n.inFlightTotal(); left > 0 {
		n.recorder.Record(event.NodeCutsOff, timeline.Entry{Detail: fmt.Sprintf("%d callers' requests, %d calls of other nodes, %d keys",
			n.inFlight.Load(), n.gate.Running(), n.home.Running())})
	}

	_ = n.callerListener.Close() // no other code closes it before
}

// abandon cancels unfinished calls, so that their callers get an answer. Runs of keys are
// canceled first, since only the owner node of a key can report that it did not run.
func (n *Node) abandon(ctx context.Context) {
	n.home.CancelRuns()

	keys, cancel := context.WithTimeout(ctx, keyResolveTime)
	defer cancel()

	waitForZero(keys, n.home.Running)
	n.cancelWork(frontend.ErrNodeStopped)
	waitForZero(ctx, n.inFlightTotal)
}

// leave gossips the departure of this node.
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainNotice)
	defer cancel()

	n.gossip.Leave(ctx)
}

// inFlightTotal counts callers' requests, other nodes' calls at the gate, and running keys that
// this node owns.
func (n *Node) inFlightTotal() int64 { return n.inFlight.Load() + n.gate.Running() + n.home.Running() }

// waitForReplies waits until the answers to other nodes are sent; closing the connections
// earlier would lose the answers of calls that have run.
func (n *Node) waitForReplies(ctx context.Context) {
	for n.server.Running() > 0 && ctx.Err() == nil {
		idle.For(ctx, time.Millisecond)
	}
}
