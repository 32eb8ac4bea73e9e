package node

import (
	"context"
	"time"

	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/platform/etcd"
	"github.com/pollencart/pollencart/internal/spread"
	"github.com/pollencart/pollencart/internal/timeline"
)

// settings makes what brings accepted versions here.
func (n *Node) settings() {
	n.store = etcd.New(etcd.Endpoints(n.config.Platform...))
	n.acceptor = acceptance.New(n.store)
	n.holder = spread.NewHolder(n.recorder)
	n.spreader = spread.New(n.holder, n.acceptor, n.store, n.client, n.recorder, spread.Watching(n.watching))
}

// watchersPerDomain is how many nodes of a failure domain watch the platform:
// one would leave a gap when its host dies, and each more costs a watch.
const watchersPerDomain = 2

// watching reports whether this node is among the watchers of its domain.
func (n *Node) watching() bool {
	return n.table.Chosen(n.config.ID, n.config.FailureDomain, watchersPerDomain)
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
	const pause = 100 * time.Millisecond

	for ctx.Err() == nil {
		n.host.Expire()

		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}
