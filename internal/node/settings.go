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

// initSettings creates the parts that accept settings and propagate accepted versions.
func (n *Node) initSettings() {
	n.store = etcd.New(etcd.Endpoints(n.config.Platform...))
	n.acceptor = acceptance.New(n.store)
	n.holder = propagation.NewHolder(n.recorder)
	n.started = time.Now()

	opts := []propagation.Option{
		propagation.Self(n.config.ID, n.config.PeerAddress, n.config.FailureDomain),
		propagation.Members(n.domainMembers), propagation.Others(n.otherAddresses), propagation.Watching(n.isWatcher),
	}

	n.propagator = propagation.New(n.holder, n.acceptor, n.store, n.client, n.recorder, append(opts, propagationModes[n.config.Mode]...)...)
	n.propagator.Register(n.server)
}

var propagationModes = map[config.Mode][]propagation.Option{
	config.ModeFrugal:   {propagation.Frugal()},
	config.ModePoll:     {propagation.With(propagation.StrategyPoll)},
	config.ModeFullPush: {propagation.With(propagation.StrategyFullPush)},
}

// watchersPerDomain is how many nodes of a failure domain watch the platform. With one, the
// domain has no watcher for a while when its host fails; each further one costs a watch.
const watchersPerDomain = 2

// isolationDelay is how long a new process that knows no other node waits before it may watch
// the platform. When many nodes start together, each knows only itself at first and would
// elect itself as a watcher.
const isolationDelay = 3 * time.Second

// isWatcher reports whether this node is one of the watchers of its failure domain.
func (n *Node) isWatcher() bool {
	live := n.table.Live()
	if len(live) < 2 && len(n.config.Peers) > 0 && time.Since(n.started) < isolationDelay {
		return false
	}

	return propagation.Watches(n.config.FailureDomain, n.config.ID, n.membersInDomain(live), watchersPerDomain)
}

func (n *Node) domainMembers() []propagation.Member { return n.membersInDomain(n.table.Live()) }

func (n *Node) membersInDomain(live []membership.Record) []propagation.Member {
	var out []propagation.Member

	for _, r := range live {
		if r.FailureDomain == n.config.FailureDomain {
			out = append(out, propagation.Member{ID: r.ID, Address: r.PeerAddress})
		}
	}

	return out
}

// otherAddresses returns the peer addresses of the other live nodes, or of the seeds if it
// knows no other node.
func (n *Node) otherAddresses() []string {
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

func (n *Node) recordReady(ctx context.Context) {
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

func (n *Node) expireAnnouncements(ctx context.Context) {
	// Expired announcements receive no calls in any case, so the interval matters little.
	const pause = 500 * time.Millisecond

	for ctx.Err() == nil {
		n.host.Expire()

		idle.For(ctx, pause)
	}
}
