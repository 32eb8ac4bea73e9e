package node

import (
	"context"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/once"
	"github.com/pollencart/pollencart/internal/once/attempt"
	"github.com/pollencart/pollencart/internal/once/key"
	"github.com/pollencart/pollencart/internal/once/shard"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/poison"
)

// once creates the parts that keep a call from running more than once.
func (n *Node) once() {
	bootID := key.NewBootID(n.table.Self().Incarnation)
	self := shard.Self{Node: n.config.ID, BootID: bootID, FailureDomain: n.config.FailureDomain}

	n.shards = shard.New(self, n.store, n.table, n.client,
		shard.Recorder(n.recorder), shard.Watching(n.isWatcher), shard.Domains(n.failureDomains))
	n.home = once.New(n.config.ID, bootID, once.Recorder(n.recorder), once.WithShards(n.shards))
	n.register = attempt.NewRegister(bootID, attempt.DefaultBound)
	gate := poison.Self{Node: n.config.ID, Incarnation: n.table.Self().Incarnation, BootID: bootID, Address: n.config.PeerAddress}
	n.suspects = poison.NewWatch(gate,
		n.table, n.client, n.recorder).WithStallDetector(n.stall)
}

// failureDomains returns all failure domains of the active settings.
func (n *Node) failureDomains() []string {
	snapshot := n.holder.Load()
	if snapshot == nil {
		return nil
	}

	var out []string

	for _, b := range snapshot.Tree().Branches {
		if b.Region != nil {
			out = append(out, b.Region.FailureDomains...)
		}
	}

	return out
}

// registerOnceMethods registers the requests of owner nodes to gates, of entry nodes to
// owner nodes, and between the watches of suspects.
func (n *Node) registerOnceMethods() {
	for method, h := range n.suspects.Handlers() {
		n.server.Handle(method, h)
	}

	n.server.Handle(frontend.MethodOnce, peer.Typed(withWork(n.work, n.entry.ServeOnce)))
	n.server.Handle(once.MethodAdopt, peer.Typed(n.home.ServeAdopt(n.shards)))
	n.server.Handle(shard.MethodPull, peer.Typed(n.shards.Serve))
	n.server.Handle(shard.MethodPush, peer.Typed(n.shards.ServePush))
	n.server.Handle(once.MethodEpoch, peer.Typed(func(context.Context, empty) (once.Epoch, error) {
		return once.Epoch{Epoch: n.register.Epoch()}, nil
	}))
	n.server.Handle(once.MethodClose, peer.Typed(func(_ context.Context, t call.Ticket) (once.Closed, error) {
		return once.Closed{Closed: n.register.Close(t)}, nil
	}))
}

// runKeyTasks runs the background tasks of keys, shards, suspects and the stall watchdog until
// ctx ends.
func (n *Node) runKeyTasks(ctx context.Context) {
	var running sync.WaitGroup

	for _, f := range []func(context.Context){n.home.Rotate, n.shards.Run, n.stall.Run, n.suspects.Run} {
		running.Go(func() { f(ctx) })
	}

	running.Wait()
}

// handOver transfers the opaque keys of a draining node to other nodes. If the platform is
// unavailable, it stops after limit, so that the drain continues; the next process of the
// node, or an operator, then releases the keys.
func (n *Node) handOver(ctx context.Context) {
	const limit = 3 * time.Second

	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	n.home.Close()
	n.home.HandOver(ctx, n.shards, n.client)
}
