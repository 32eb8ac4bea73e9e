package shard

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/platform"
)

// needsRead reports whether to read the platform. To limit its load, only the watchers of each
// failure domain and nodes that can claim a shard do so.
func (k *Keeper) needsRead() bool {
	held := k.List()
	_, claims := held.Claim(k.self, k.claimants())

	k.mu.Lock()
	due := time.Since(k.lastRead) >= k.options.Refresh
	k.mu.Unlock()

	return claims || (k.options.Watching() && (held.Number == 0 || due))
}

// claimants returns the nodes among which vacant shards are spread, or none while this process must
// not claim vacant shards. It must not claim them before the settle time has passed. It must also
// not claim them while it has peers but none has answered, since the store of the platform may have
// been restored from an older copy in which owned shards appear vacant.
func (k *Keeper) claimants() []string {
	k.mu.Lock()
	settled := !k.startedAt.IsZero() && time.Since(k.startedAt) >= k.options.Settle
	peerAnswered := k.peerAnswered
	k.mu.Unlock()

	var out []string

	alone := true

	for _, r := range k.nodes.Live() {
		alone = alone && r.ID == k.self.Node

		if r.FailureDomain == k.self.FailureDomain && r.State == membership.StateAlive {
			out = append(out, r.ID)
		}
	}

	if !settled || (!peerAnswered && !alone) {
		return nil
	}

	return out
}

// sync reads the list, claims shards and writes the list back. After a conflict or a lost reply,
// the next round reads the result.
func (k *Keeper) sync(ctx context.Context) {
	const limit = 2 * time.Second

	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	l, revision, err := k.load(ctx)
	if err != nil {
		return
	}

	k.mu.Lock()
	k.lastRead = time.Now()
	stopped := k.stopped
	k.mu.Unlock()

	next, changed := l, false
	if !stopped {
		next, changed = l.Claim(k.self, k.claimants())
	}

	// The store may have been restored from an older copy; the newer list of this process takes
	// precedence.
	if held := k.List(); l.Number < held.Number {
		next, changed = List{Number: held.Number + 1, Shards: held.Shards}, true
	}

	if !changed && revision == 0 {
		next, changed = List{Number: 1, Shards: l.Shards}, true
	}

	if !changed {
		k.apply(l)

		return
	}

	k.swap(ctx, revision, next)
}

// load reads the list. If there is none, a watcher creates it.
func (k *Keeper) load(ctx context.Context) (List, int64, error) {
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
		k.apply(next)
	}
}
