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

// notice is how long a leaving node goes on taking its callers' requests, and
// tells them to connect elsewhere. It is as long as gossip needs to reach the
// whole fleet, and longer than what looks at /readyz should pause.
const notice = time.Second

// leavePart is the part of the DrainTimeout that is kept for handing over what others
// depend on, and leaveTime the most of it: the calls of most routes end within it.
//
// lingerTime is how long the node answers others after it has told that it leaves. Those
// who have not heard yet are refused by word; on a connection that is just being closed
// a call can't be told from one that ran. It is some rounds of gossip.
//
// keysTime is how long homes have to ask gates about keys that the stop gives up; their
// answers go out in what is left of lingerTime.
const (
	leavePart  = 3
	leaveTime  = 4 * time.Second
	lingerTime = 500 * time.Millisecond
	keysTime   = once.DefaultCloseTimeout + 50*time.Millisecond
)

// stop is the planned stop of a node in its order, apart from what is stopped.
//
// What goes wrong with one deadline for all: a call that hangs at the backend server
// keeps the stop waiting until the deadline, and the node is the home of new keys all
// the while. Then there is no time to hand them over and to end those under way: their
// callers get 503 or 504 and unknown, and the keys of the shards have no home.
type stop struct {
	timeout time.Duration
	// retire ends callers' connections with the answers that they wait for, and takes of
	// them only calls that are over by the end.
	retire func(end time.Time)
	// runs counts calls of other nodes that run here, inside all that has not ended here.
	runs, inside func() int64
	// close takes no calls of callers any more.
	close func()
	// handOver starts no more keys and gives those of others away; keys counts those
	// that have not ended.
	handOver func(context.Context)
	keys     func() int64
	// leave tells the others, and settle takes no more connections of callers.
	leave  func(context.Context)
	settle func()
	// abandon ends what has not ended, and returns when it is answered or ctx ends.
	abandon func(context.Context)
}

// run returns when nothing is inside any more, or the time is over. A call that does not
// end takes no more than its own answer with it. Callers are taken for as long as the backend
// server runs calls, which may depend on calls that it makes itself, and then refused by
// word, so that the end depends only on what was taken.
func (s stop) run(ctx context.Context) {
	end := time.Now().Add(max(s.timeout-lingerTime, s.timeout/2))

	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()

	early, stopEarly := context.WithTimeout(ctx, s.timeout-min(leaveTime, s.timeout/leavePart))
	defer stopEarly()

	idle.For(early, notice)
	s.retire(end)
	until(early, s.runs)
	s.close()
	until(early, s.inside)
	s.handOver(ctx)
	until(ctx, s.keys)
	s.leave(context.WithoutCancel(ctx))
	until(ctx, s.inside)
	s.settle()

	last, stopLast := context.WithTimeout(context.WithoutCancel(ctx), lingerTime)
	defer stopLast()

	s.abandon(last)
	idle.For(last, lingerTime)
}

// until waits until nothing is counted or ctx ends.
func until(ctx context.Context, count func() int64) {
	const pause = 10 * time.Millisecond

	for count() > 0 && ctx.Err() == nil {
		idle.For(ctx, pause)
	}
}

// drain is the planned stop. Nothing is cut off: the gate refuses new calls as
// not run from the first moment, so that entries send them elsewhere; callers of
// this entry are still answered while they and the fleet learn of it; then
// nothing new is let in, and what is inside is finished.
func (n *Node) drain() {
	n.recorder.Record(event.NodeDraining, timeline.Entry{Detail: "within " + time.Duration(n.config.DrainTimeout).String()})
	n.draining.Leave()
	n.host.Leave()

	stop{
		timeout: time.Duration(n.config.DrainTimeout),
		retire:  n.retire, runs: n.gate.Running, inside: n.running, close: n.closeIntake,
		handOver: n.handOver, keys: n.home.Running, leave: n.leave, settle: n.settle, abandon: n.abandon,
	}.run(context.Background())
}

// retire goes on listening: who connects is told that this node leaves.
func (n *Node) retire(end time.Time) {
	n.draining.LimitTo(end)
	n.callers.SetKeepAlivesEnabled(false)
}

// closeIntake refuses calls of callers, also those whose bodies have not come.
func (n *Node) closeIntake() {
	n.draining.Close()
	n.stopTaking()
}

// settle says what this node leaves unfinished, and stops listening before connections are
// closed: a request that comes in while net/http shuts down gets no answer.
func (n *Node) settle() {
	if left := n.running(); left > 0 {
		n.recorder.Record(event.NodeCutsOff, timeline.Entry{Detail: fmt.Sprintf("%d callers' requests, %d calls of other nodes, %d keys",
			n.inFlight.Load(), n.gate.Running(), n.home.Running())})
	}

	_ = n.callerListener.Close() // it was open until now
}

// abandon ends calls that have not ended: their callers still wait for an answer. The keys end
// first, since only their home can say that they did not run.
func (n *Node) abandon(ctx context.Context) {
	n.home.CancelRuns()

	keys, cancel := context.WithTimeout(ctx, keysTime)
	defer cancel()

	until(keys, n.home.Running)
	n.giveUp(frontend.ErrNodeStopped)
	until(ctx, n.running)
}

// leave tells others that this node leaves.
func (n *Node) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, notice)
	defer cancel()

	n.gossip.Leave(ctx)
}

// running counts what is inside: callers' requests, other nodes' calls at the
// gate, keys at their home.
func (n *Node) running() int64 { return n.inFlight.Load() + n.gate.Running() + n.home.Running() }

// flush waits until the answers to other nodes are on their way; closing the
// connections before would cut off calls that have run.
func (n *Node) flush(ctx context.Context) {
	for n.server.Running() > 0 && ctx.Err() == nil {
		idle.For(ctx, time.Millisecond)
	}
}
