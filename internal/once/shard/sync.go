package shard

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/platform"
)

// mustRead keeps the load on the platform to the watchers of each failure domain
// and to those that have something to claim.
func (k *Keeper) mustRead() bool {
	held := k.List()
	_, claims := held.Claim(k.self, k.claimants())

	k.mu.Lock()
	due := time.Since(k.read) >= k.options.Refresh
	k.mu.Unlock()

	return claims || (k.options.Watching() && (held.Number == 0 || due))
}

// claimants are the nodes among which vacant shards are spread. Before this
// process has listened for a while it leaves them to others. One that has peers
// and could ask none of them might act on a platform that came back from an
// older copy, in which shards are vacant that others own.
func (k *Keeper) claimants() []string {
	k.mu.Lock()
	settled := !k.began.IsZero() && time.Since(k.began) >= k.options.Settle
	asked := k.asked
	k.mu.Unlock()

	var out []string

	alone := true

	for _, r := range k.nodes.Live() {
		alone = alone && r.ID == k.self.Node

		if r.FailureDomain == k.self.FailureDomain && r.State == membership.StateAlive {
			out = append(out, r.ID)
		}
	}

	if !settled || (!asked && !alone) {
		return nil
	}

	return out
}

// sync reads the list, claims and swaps. After a conflict or a lost answer the
// next round reads what is there.
func (k *Keeper) sync(ctx context.Context) {
	const limit = 2 * time.Second

	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	l, revision, err := k.get(ctx)
	if err != nil {
		return
	}

	k.mu.Lock()
	k.read = time.Now()
	released := k.released
	k.mu.Unlock()

	next, changed := l, false
	if !released {
		next, changed = l.Claim(k.self, k.claimants())
	}

	// The platform may have come back from an older copy; what is held wins.
	if held := k.List(); l.Number < held.Number {
		next, changed = List{Number: held.Number + 1, Shards: held.Shards}, true
	}

	if !changed && revision == 0 {
		next, changed = List{Number: 1, Shards: l.Shards}, true
	}

	if !changed {
		k.take(l)

		return
	}

	k.swap(ctx, revision, next)
}

// get reads the list; before there is one, a watcher makes it.
func (k *Keeper) get(ctx context.Context) (List, int64, error) {
	e, err := k.store.Get(ctx, Key)
	if err == nil {
		l, err := Parse(e.Value)

		return l, e.Revision, err
	}

	if !errors.Is(err, platform.ErrNotFound) || !k.options.Watching() {
		return List{}, 0, err
	}

	l := NewList(k.options.Domains())
	if len(l.Shards) == 0 {
		return List{}, 0, ErrList.With("the settings name no failure domains")
	}

	return l, 0, nil
}

func (k *Keeper) swap(ctx context.Context, revision int64, next List) {
	data, err := json.Marshal(next)
	if err != nil {
		return
	}

	if _, err := k.store.Swap(ctx, Key, revision, data); err == nil {
		k.take(next)
	}
}
