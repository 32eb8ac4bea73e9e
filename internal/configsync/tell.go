package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
)

// Methods by which nodes tell each other that there is a newer version.
const (
	methodTell = "Feed.Tell"
	methodHint = "Feed.Hint"
)

const (
	// usualDelay is within what a version comes to a node that nothing is wrong with.
	usualDelay = 600 * time.Millisecond
	// tellPatience is within what a version comes from the store to a watcher that
	// nothing is wrong with: all watchers are answered in the same moment, and the
	// slowest hosts take a tenth of a second to decode the largest configuration.
	tellPatience = 200 * time.Millisecond
)

// told is a version that a node has from the store.
type told struct {
	Version uint64 `msgpack:"Version"`
	Address string `msgpack:"Address"`
}

// Check reports whether a decoded message can be used.
func (t *told) Check() error {
	if t.Version == 0 || t.Address == "" {
		return errMessage.With("Version or Address is missing")
	}

	return nil
}

// tell lets one watcher of each other failure domain know of a version that came from
// the store.
//
// The store may answer no node of a failure domain, without an error that anyone
// there would see: their watches wait on. The version that is in force elsewhere is
// then missing in the whole failure domain until the watches are found out, later
// than a version has to be in force. Word of the others brings it within half a second.
func (f *Feed) tell(ctx context.Context, version uint64) {
	self := f.options.Members.Self()
	message := told{Version: version, Address: self.PeerAddress}
	own := f.options.Members.FirstOf(self.FailureDomain, Watchers)
	place := slices.IndexFunc(own, func(r membership.Record) bool { return r.ID == self.ID })

	if place < 0 {
		// The watchers of this failure domain are turned away by the store.
		for _, r := range own {
			go f.tellTo(ctx, r.PeerAddress, message)
		}
	}

	for _, domain := range f.options.Members.Domains() {
		watchers := f.options.Members.FirstOf(domain, Watchers)
		if domain != self.FailureDomain && len(watchers) > 0 {
			go f.tellTo(ctx, watchers[max(place, 0)%len(watchers)].PeerAddress, message)
		}
	}
}

func (f *Feed) tellTo(ctx context.Context, address string, message told) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()

	var held have

	// A watcher that does not hear it is told by those of other failure domains.
	_ = f.options.Peers.Do(ctx, address, peer.LaneControl, methodTell, message, &held)
}

// serveTell takes word of a version. Mostly the own watch brings it in the same
// moment; if it does not, it is fetched from the node that has it.
func (f *Feed) serveTell(_ context.Context, in told) (have, error) {
	f.informed.Store(steady())

	f.mu.Lock()
	defer f.mu.Unlock()

	if in.Version > max(f.newest.Version, f.options.Holder.Number()) {
		f.newest = in
		signal(f.toldOf)
	}

	return have{Version: f.options.Holder.Number()}, nil
}

// fetchTold fetches versions that were told of and do not come.
func (f *Feed) fetchTold(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.toldOf:
		}

		idle.For(ctx, tellPatience)

		f.mu.Lock()
		newest := f.newest
		f.mu.Unlock()

		if newest.Version > f.options.Holder.Number() {
			f.overtaken(ctx, newest.Address)
		}
	}
}

// serveHint takes word of a version that this node's watch may have missed.
func (f *Feed) serveHint(_ context.Context, in have) (have, error) {
	if in.Version > f.options.Holder.Number() {
		signal(f.hurry)
	}

	return have{Version: f.options.Holder.Number()}, nil
}

// Hear takes word by gossip that a node holds a version. Mostly it is on its way
// here already, from the store or a watcher; only if it does not come is it fetched,
// across failure domains if need be.
func (f *Feed) Hear(ctx context.Context, address string, version uint64) {
	if version <= f.options.Holder.Number() || f.late.Swap(true) {
		return
	}
	defer f.late.Store(false)

	idle.For(ctx, usualDelay)

	switch {
	case version <= f.options.Holder.Number():
	case f.current.Load():
		f.overtaken(ctx, address)
	case steady()-f.informed.Load() > int64(uninformed):
		f.pull(ctx, address)
	}
}

// overtaken fetches a version that another node has and this node's watch did not
// bring, and has the watch made anew.
func (f *Feed) overtaken(ctx context.Context, address string) {
	signal(f.hurry)
	f.pull(ctx, address)
}

// hint tells the watchers of all failure domains that their watch may have missed a
// version.
func (f *Feed) hint(ctx context.Context) {
	for _, r := range without(f.watchersOfAll(), f.options.Members.Self().ID) {
		go f.hintTo(ctx, r.PeerAddress)
	}
}

func (f *Feed) hintTo(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()

	var held have

	// A watcher that does not hear finds out by its own look at the store.
	_ = f.options.Peers.Do(ctx, address, peer.LaneControl, methodHint, have{Version: f.options.Holder.Number()}, &held)
}
