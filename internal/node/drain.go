package node

import (
	"context"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/timeline"
)

// notice is how long a leaving node goes on taking its callers' requests, and
// tells them to connect elsewhere. It is as long as gossip needs to reach the
// whole fleet, and longer than what looks at /readyz should pause.
const notice = time.Second

// drain is the planned stop. Nothing is cut off: the gate refuses new calls as
// not run from the first moment, so that entries send them elsewhere; callers of
// this entry are still answered while they and the fleet learn of it; then
// nothing new is let in, and what is inside is finished.
func (n *Node) drain() {
	n.recorder.Record(event.NodeDraining, timeline.Entry{})

	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.config.DrainTimeout))
	defer cancel()

	n.leaving.Store(true)
	n.host.Leave()
	idle.For(ctx, notice)

	// Ends when all callers have their answers.
	_ = n.callers.Shutdown(ctx)
	n.closed.Store(true)

	for n.running() > 0 && ctx.Err() == nil {
		const pause = 10 * time.Millisecond

		idle.For(ctx, pause)
	}

	n.handOver(ctx)
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
