package shard

import (
	"context"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
)

// adoption describes the records of a shard that a draining owner has handed over.
type adoption struct {
	fromBootID string
	// until is the time before which keys that the draining owner had no record of end as unknown.
	until time.Time
}

// Stop prevents this process from starting opaque keys. It returns the owned shards with the
// remaining time in which keys without a record end as unknown. A handover calls it before it
// changes the list on the platform, so that no other process owns the shards while this one still
// starts keys.
func (k *Keeper) Stop() map[int]time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()

	out := map[int]time.Duration{}
	for i := range k.owned {
		out[i] = k.unknownFor(i)
	}

	k.stopped = true

	return out
}

// unknownFor returns the remaining time in which keys of an owned shard end as unknown if they have
// no record.
func (k *Keeper) unknownFor(i int) time.Duration {
	s := k.list.Shards[i]

	if a := k.adopted[i]; s.FromBootID != "" && a.fromBootID == s.FromBootID {
		return max(0, time.Until(a.until))
	}

	if !s.RecordsLost && s.FromBootID == "" {
		return 0
	}

	return max(0, k.options.Repeat-time.Since(k.owned[i]))
}

// Successor returns the node that receives a shard when this node drains.
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

	r, ok := byID[preferredNode(i, ids)]

	return r, ok
}

// Renew fetches the list from the node that would succeed the owner of a key, and reports whether
// the list is newer than the current one.
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

// Adopt notes that this process stores the records of a shard. They take effect once the list names
// this process as the successor of the process that sent them.
func (k *Keeper) Adopt(i int, fromBootID string, wait time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.adopted[i] = adoption{fromBootID: fromBootID, until: time.Now().Add(wait)}
}

// Transfer assigns the shards to their successors and makes the remaining ones vacant. If the
// platform is unavailable, the next boot of this node claims them.
func (k *Keeper) Transfer(ctx context.Context, successors map[int]Self) {
	k.change(ctx, func(l List) (List, bool) { return l.Transfer(k.self, successors) })
	k.Vacate(ctx, k.self.Node)
	k.push(ctx)
}

// push sends the list to the other owners in this failure domain. They include the successors,
// which nodes contact after they find this node unreachable.
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

// ServePush handles MethodPush.
func (k *Keeper) ServePush(_ context.Context, l List) (List, error) {
	k.apply(l)

	return List{}, nil
}

// Vacate makes the shards of a node vacant: this node's own when it drains, or those of a host that
// an operator declares permanently lost.
func (k *Keeper) Vacate(ctx context.Context, node string) {
	k.change(ctx, func(l List) (List, bool) { return l.Vacate(node) })
}

// change applies next to the list on the platform, and retries until nothing is left to change.
func (k *Keeper) change(ctx context.Context, next func(List) (List, bool)) {
	const tries = 5

	for range tries {
		l, revision, err := k.load(ctx)
		if err != nil || revision == 0 {
			return
		}

		changed, ok := next(l)
		if !ok {
			k.apply(l)

			return
		}

		k.swap(ctx, revision, changed)
	}
}
