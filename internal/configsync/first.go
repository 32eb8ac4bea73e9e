package configsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membership"
)

const (
	// joinDelay is how long a node waits for the membership view to fill when the deployment
	// starts for the first time. No node can have a version yet, and a node that knows no
	// others would watch the store itself.
	joinDelay = time.Second
	// firstPullTimeout is how long a restarted node tries to pull the first version from other
	// nodes, contacting one every firstPullInterval. It knows other nodes after about 30 ms, and
	// after a restart of all nodes those with fast links have a version after 80 ms.
	firstPullTimeout  = 300 * time.Millisecond
	firstPullInterval = 10 * time.Millisecond
)

// pullFirst pulls the first version of this process from a watcher, if one is known soon
// enough.
//
// A restarted process can't serve calls before it has a version. Read from the store, the
// configuration is uncompressed text, a third of a megabyte for 1,600 routes, which takes half
// a second on a link of 5 Mbit/s; another node sends it compressed, 19 times smaller. Only a
// node that vouches for its version is accepted as source, so that this node does not start with an
// outdated one.
func (s *Syncer) pullFirst(ctx context.Context) {
	if s.options.FirstStart {
		idle.For(ctx, joinDelay)

		return
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	firstPull := &firstPull{}

	for start, turn := time.Now(), 0; ctx.Err() == nil && time.Since(start) < firstPullTimeout && s.options.Holder.Number() == 0; turn++ {
		watchers := membership.Without(s.watchersNearestFirst(), s.options.Members.Self().ID)

		// After a restart of all nodes no node has a version, so the watchers read the store.
		if len(watchers) > 0 && s.isWatcher() {
			return
		}

		if firstPull.succeeded.Load() {
			s.awaitFirstVersion(ctx)

			return
		}

		if len(watchers) > 0 {
			go s.pullFirstFrom(ctx, watchers[turn%len(watchers)].PeerAddress, firstPull)
		}

		idle.For(ctx, firstPullInterval)
	}
}

// firstPull is the state of the concurrent pulls of the first version.
type firstPull struct {
	succeeded atomic.Bool
	inFlight  sync.Map // addresses
}

// pullFirstFrom pulls the first version from one node while other pulls are in flight: a single
// pull from a host without power, which never answers, would use up firstPullTimeout.
func (s *Syncer) pullFirstFrom(ctx context.Context, address string, state *firstPull) {
	if _, busy := state.inFlight.LoadOrStore(address, true); busy || state.succeeded.Load() {
		return
	}
	defer state.inFlight.Delete(address)

	if s.pull(ctx, address) {
		state.succeeded.Store(true)
	}
}

// watchersNearestFirst returns the watchers of all failure domains, those of this node's
// failure domain first.
func (s *Syncer) watchersNearestFirst() []membership.Record {
	self := s.options.Members.Self()

	return append(s.options.Members.FirstOf(self.FailureDomain, Watchers), s.allWatchers()...)
}

// awaitFirstVersion waits until the pulled version is decoded.
func (s *Syncer) awaitFirstVersion(ctx context.Context) {
	for start := time.Now(); ctx.Err() == nil && s.options.Holder.Number() == 0 && time.Since(start) < firstPullTimeout; {
		idle.For(ctx, firstPullInterval)
	}
}
