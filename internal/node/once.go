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

// once makes what keeps a call from running twice.
func (n *Node) once() {
	life := key.NewBootID(n.table.Self().Incarnation)
	self := shard.Self{Node: n.config.ID, BootID: life, FailureDomain: n.config.FailureDomain}

	n.shards = shard.New(self, n.store, n.table, n.client,
		shard.Recorder(n.recorder), shard.Watching(n.watching), shard.Domains(n.domains))
	n.home = once.New(n.config.ID, life, once.Recorder(n.recorder), once.WithShards(n.shards))
	n.register = attempt.NewRegister(life, attempt.DefaultBound)
	n.suspects = poison.NewWatch(poison.Self{Node: n.config.ID, BootID: life, Address: n.config.PeerAddress},
		n.table, n.client, n.recorder).WithStallDetector(n.stall)
}

// domains returns all failure domains of the settings in force.
func (n *Node) domains() []string {
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

// onceMethods adds what homes ask of gates and entries of homes.
func (n *Node) onceMethods() {
	for method, h := range n.suspects.Handlers() {
		n.server.Handle(method, h)
	}

	n.server.Handle(frontend.MethodOnce, peer.Typed(within(n.work, n.entry.ServeOnce)))
	n.server.Handle(once.MethodAdopt, peer.Typed(n.home.ServeAdopt(n.shards)))
	n.server.Handle(shard.MethodPull, peer.Typed(n.shards.Serve))
	n.server.Handle(shard.MethodPush, peer.Typed(n.shards.ServePush))
	n.server.Handle(once.MethodEpoch, peer.Typed(func(context.Context, nothing) (once.Epoch, error) {
		return once.Epoch{Epoch: n.register.Epoch()}, nil
	}))
	n.server.Handle(once.MethodClose, peer.Typed(func(_ context.Context, t call.Ticket) (once.Closed, error) {
		return once.Closed{Closed: n.register.Close(t)}, nil
	}))
}

// runOnce does the background work until ctx ends.
func (n *Node) runOnce(ctx context.Context) {
	var running sync.WaitGroup

	for _, f := range []func(context.Context){n.home.Rotate, n.shards.Run, n.stall.Run, n.suspects.Run} {
		running.Go(func() { f(ctx) })
	}

	running.Wait()
}

// handOver gives the opaque keys of a node that leaves to others. It does not
// hold up the drain when the platform is away; the next life of the node, or an
// operator, then frees them.
func (n *Node) handOver(ctx context.Context) {
	const limit = 3 * time.Second

	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	n.home.Close()
	n.home.HandOver(ctx, n.shards, n.client)
}
