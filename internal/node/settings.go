package node

import (
	"context"
	"time"

	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/platform/etcd"
	"github.com/pollencart/pollencart/internal/propagation"
	"github.com/pollencart/pollencart/internal/timeline"
)

// settings makes what brings accepted versions here.
func (n *Node) settings() {
	n.store = etcd.New(etcd.Endpoints(n.config.Platform...))
	n.acceptor = acceptance.New(n.store)
	n.holder = propagation.NewHolder(n.recorder)
	n.started = time.Now()

	opts := []propagation.Option{
		propagation.Self(n.config.ID, n.config.PeerAddress, n.config.FailureDomain),
		propagation.Members(n.domain), propagation.Others(n.others), propagation.Watching(n.watching),
	}

	n.spreader = propagation.New(n.holder, n.acceptor, n.store, n.client, n.recorder, append(opts, modes[n.config.Mode]...)...)
	n.spreader.Register(n.server)
}

var modes = map[config.Mode][]propagation.Option{
	config.ModeFrugal:   {propagation.Frugal()},
	config.ModePoll:     {propagation.With(propagation.StrategyPoll)},
	config.ModeFullPush: {propagation.With(propagation.StrategyFullPush)},
}

// watchersPerDomain is how many nodes of a failure domain watch the platform:
// one would leave a gap when its host dies, and each more costs a watch.
const watchersPerDomain = 2

// lonely is how long a fresh process that has met nobody holds back from
// watching the platform. All of a herd know only themselves at first, and each
// would take itself for a watcher.
const lonely = 3 * time.Second

// watching reports whether this node is among the watchers of its domain.
func (n *Node) watching() bool {
	live := n.table.Live()
	if len(live) < 2 && len(n.config.Peers) > 0 && time.Since(n.started) < lonely {
		return false
	}

	return propagation.Watches(n.config.FailureDomain, n.config.ID, n.inDomain(live), watchersPerDomain)
}

func (n *Node) domain() []propagation.Member { return n.inDomain(n.table.Live()) }

func (n *Node) inDomain(live []membership.Record) []propagation.Member {
	var out []propagation.Member

	for _, r := range live {
		if r.FailureDomain == n.config.FailureDomain {
			out = append(out, propagation.Member{ID: r.ID, Address: r.PeerAddress})
		}
	}

	return out
}

// others are the nodes that this one can ask, and the seeds while it knows none.
func (n *Node) others() []string {
	var out []string

	for _, r := range n.table.Live() {
		if r.ID != n.config.ID {
			out = append(out, r.PeerAddress)
		}
	}

	if len(out) > 0 {
		return out
	}

	for _, seed := range n.config.Peers {
		if seed != n.config.PeerAddress {
			out = append(out, seed)
		}
	}

	return out
}

func (n *Node) announceReady(ctx context.Context) {
	for n.holder.Number() == 0 {
		changed := n.holder.Changed()
		if n.holder.Number() > 0 {
			break
		}

		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}

	n.recorder.Record(event.NodeReady, timeline.Entry{Version: n.holder.Number()})
}

func (n *Node) expire(ctx context.Context) {
	// An announcement that ran out takes no call whenever this looks at it.
	const pause = 500 * time.Millisecond

	for ctx.Err() == nil {
		n.host.Expire()

		idle.For(ctx, pause)
	}
}
