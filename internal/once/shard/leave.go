package shard

import (
	"context"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
)

// adoption is what an owner that leaves has handed over.
type adoption struct {
	from string
	// until is how long keys that even the leaving owner had not seen are unknown.
	until time.Time
}

// Stop lets this process start no opaque key from now on, and returns the shards
// that it owns, with the time for which unseen keys are still unknown. It comes
// before any change on the platform: nobody else owns the shards before this one
// has stopped.
func (k *Keeper) Stop() map[int]time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()

	out := map[int]time.Duration{}
	for i := range k.owned {
		out[i] = k.waitOf(i)
	}

	k.released = true

	return out
}

// waitOf returns how long unseen keys of an owned shard are unknown.
func (k *Keeper) waitOf(i int) time.Duration {
	s := k.list.Shards[i]

	if a := k.adopted[i]; s.From != "" && a.from == s.From {
		return max(0, time.Until(a.until))
	}

	if !s.Before && s.From == "" {
		return 0
	}

	return max(0, k.options.Repeat-time.Since(k.owned[i]))
}

// Successor returns the node that gets a shard when this one leaves.
func (k *Keeper) Successor(i int) (membership.Record, bool) {
	return k.successor(i, k.self.FailureDomain, k.self.Node)
}

func (k *Keeper) successor(i int, domain, without string) (membership.Record, bool) {
	var (
		ids  []string
		byID = map[string]membership.Record{}
	)

	for _, r := range k.nodes.Live() {
		if r.ID != without && r.State == membership.StateAlive && r.FailureDomain == domain {
			ids = append(ids, r.ID)
			byID[r.ID] = r
		}
	}

	r, ok := byID[first(i, ids)]

	return r, ok
}

// Renew asks the node that would have got the shard of a key if its owner left,
// and reports whether there is a newer list.
func (k *Keeper) Renew(ctx context.Context, text string) bool {
	held := k.List()

	s, i, ok := held.Of(text)
	if !ok {
		return false
	}

	if r, ok := k.successor(i, s.FailureDomain, s.Node); ok {
		k.Refresh(ctx, r.PeerAddress)
	}

	return k.List().Number > held.Number
}

// Adopt notes that the records of a shard are here. They count only once the list
// says that this process owns the shard from that life.
func (k *Keeper) Adopt(i int, from string, wait time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.adopted[i] = adoption{from: from, until: time.Now().Add(wait)}
}

// Transfer gives the shards to their successors and makes the rest vacant. If the
// platform does not answer, the next life of this node claims them.
func (k *Keeper) Transfer(ctx context.Context, successors map[int]Self) {
	k.change(ctx, func(l List) (List, bool) { return l.Transfer(k.self, successors) })
	k.Vacate(ctx, k.self.Node)
	k.push(ctx)
}

// push brings the list to the other owners in this failure domain: the successors,
// whom everybody asks who finds this node gone.
func (k *Keeper) push(ctx context.Context) {
	l := k.List()
	owners := map[string]bool{}

	for _, s := range l.Shards {
		owners[s.Node] = s.FailureDomain == k.self.FailureDomain
	}

	for _, r := range k.nodes.Live() {
		if owners[r.ID] && r.ID != k.self.Node {
			var out List

			_ = k.peers.Do(ctx, r.PeerAddress, peer.LaneControl, MethodPush, l, &out)
		}
	}
}

// ServePush takes a list that another node sends.
func (k *Keeper) ServePush(_ context.Context, l List) (List, error) {
	k.take(l)

	return List{}, nil
}

// Vacate makes the shards of a node vacant: its own, or on an operator's word
// those of a host that is gone for good.
func (k *Keeper) Vacate(ctx context.Context, node string) {
	k.change(ctx, func(l List) (List, bool) { return l.Vacate(node) })
}

// change swaps the list until nothing is left to change.
func (k *Keeper) change(ctx context.Context, next func(List) (List, bool)) {
	const tries = 5

	for range tries {
		l, revision, err := k.get(ctx)
		if err != nil || revision == 0 {
			return
		}

		changed, ok := next(l)
		if !ok {
			k.take(l)

			return
		}

		k.swap(ctx, revision, changed)
	}
}
