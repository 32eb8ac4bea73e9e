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
	// meetFirst is how long a node of a fleet that starts for the first time waits before
	// it looks who watches the store: nobody can hold a version yet, and alone each would.
	meetFirst = time.Second
	// peersFirst is how long a node that starts again tries to have a version from
	// another one, asking one each peersPause: it knows others after some 30 ms, and
	// those with fast links hold a version 80 ms after a restart of all.
	peersFirst = 300 * time.Millisecond
	peersPause = 10 * time.Millisecond
)

// fromPeers has the first version from a watcher, if one can be found at once.
//
// A process that starts again is of no use until it holds a version. The store gives
// it as text, a third of a megabyte for 1,600 routes, which takes half a second on a
// link of 5 megabits; a node gives it packed, 19 times smaller. Only a node that the
// store answers will do: this one must not begin behind the others.
func (f *Feed) fromPeers(ctx context.Context) {
	if f.options.FirstStart {
		idle.For(ctx, meetFirst)

		return
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	asked := &asked{}

	for began, turn := time.Now(), 0; ctx.Err() == nil && time.Since(began) < peersFirst && f.options.Holder.Number() == 0; turn++ {
		watchers := without(f.nearFirst(), f.options.Members.Self().ID)

		// After a restart of all nodes somebody has to go to the store first: those that
		// will watch it.
		if len(watchers) > 0 && f.watches() {
			return
		}

		if asked.had.Load() {
			f.informed.Store(steady())
			f.awaitFirst(ctx)

			return
		}

		if len(watchers) > 0 {
			go f.pullFirst(ctx, watchers[turn%len(watchers)].PeerAddress, asked)
		}

		idle.For(ctx, peersPause)
	}
}

// asked is who is asked for the first version of a process now, and whether one had it.
type asked struct {
	had   atomic.Bool
	nodes sync.Map // by address
}

// pullFirst asks a node for the first version, beside others: hosts without power answer
// nothing, and one of them asked alone takes all the time that there is.
func (f *Feed) pullFirst(ctx context.Context, address string, a *asked) {
	if _, busy := a.nodes.LoadOrStore(address, true); busy || a.had.Load() {
		return
	}
	defer a.nodes.Delete(address)

	if f.pull(ctx, address) {
		a.had.Store(true)
	}
}

// nearFirst returns the watchers of all failure domains, those of the own one first.
func (f *Feed) nearFirst() []membership.Record {
	self := f.options.Members.Self()

	return append(f.options.Members.FirstOf(self.FailureDomain, Watchers), f.watchersOfAll()...)
}

// awaitFirst waits until what was had is decoded.
func (f *Feed) awaitFirst(ctx context.Context) {
	for began := time.Now(); ctx.Err() == nil && f.options.Holder.Number() == 0 && time.Since(began) < peersFirst; {
		idle.For(ctx, peersPause)
	}
}
