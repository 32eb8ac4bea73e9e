package shard

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Key is where the list is on the platform.
const Key = "/pollencart/once/shards"

// MethodPull is the peer method by which a node gets a newer list.
const MethodPull = "Once.Shards"

// MethodPush is the peer method by which a node that leaves sends the list.
const MethodPush = "Once.ShardsPush"

// Pull asks for a list newer than the number.
type Pull struct {
	Number uint64 `msgpack:"Number"`
}

// Nodes gives the nodes that are thought to run.
type Nodes interface {
	Live() []membership.Record
}

// Peers sends messages to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Store is the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	Swap(ctx context.Context, key string, revision int64, value []byte, opts ...platform.PutOption) (int64, error)
}

// Keeper holds the list and claims the shards of one process.
type Keeper struct {
	options Options
	self    Self
	store   Store
	nodes   Nodes
	peers   Peers

	mu       sync.Mutex
	list     List
	owned    map[int]time.Time // since when
	released bool
	read     time.Time // when the platform was last read
	asked    bool      // a peer answered in this life
	began    time.Time
	nudged   chan struct{}
	adopted  map[int]adoption
}

// New returns a keeper without a list.
func New(self Self, store Store, nodes Nodes, peers Peers, opts ...Option) *Keeper {
	return &Keeper{
		options: newOptions(opts...), self: self, store: store, nodes: nodes, peers: peers, owned: map[int]time.Time{}, adopted: map[int]adoption{},
		nudged: make(chan struct{}, 1),
	}
}

// Owner returns the node that owns the shard of a key, and its life.
func (k *Keeper) Owner(text string) (node, life string, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()

	s, _, ok := k.list.Of(text)

	return s.Node, s.Life, ok && s.Node != ""
}

// Own says what the process may do with a key.
type Own struct {
	// Mine is set if this process owns the key's shard.
	Mine bool
	// Wait is how long keys that it has not seen are still unknown.
	Wait time.Duration
	// Leaving is set while this process hands its shards over.
	Leaving bool
}

// Own returns what this process may do with a key.
func (k *Keeper) Own(text string) Own {
	k.mu.Lock()
	defer k.mu.Unlock()

	_, i, ok := k.list.Of(text)
	_, owned := k.owned[i]

	if !ok || !owned || k.released {
		return Own{Leaving: k.released}
	}

	return Own{Mine: true, Wait: k.waitOf(i)}
}

// List returns the list that is held.
func (k *Keeper) List() List {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.list
}

// Serve answers a peer that asks for a newer list.
func (k *Keeper) Serve(_ context.Context, in Pull) (List, error) {
	l := k.List()
	if l.Number <= in.Number {
		return List{}, nil
	}

	return l, nil
}

// Run keeps the list and the claims until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.mu.Lock()
	k.began = time.Now()
	k.mu.Unlock()

	for ctx.Err() == nil {
		pause := k.options.Refresh
		if !k.Round(ctx) {
			pause = k.options.Retry
		}

		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		case <-k.nudged:
			sleep(ctx, k.options.Retry) // however many calls find the list old
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Nudge tells that a call found the list old or a shard vacant.
func (k *Keeper) Nudge() {
	select {
	case k.nudged <- struct{}{}:
	default:
	}
}

// Round asks a peer and, where it must, the platform. It reports whether all
// shards have owners, so that there is no hurry.
func (k *Keeper) Round(ctx context.Context) (done bool) {
	k.pull(ctx)

	if k.mustRead() {
		k.sync(ctx)
	}

	held := k.List()
	_, claims := held.Claim(k.self, k.claimants())

	return held.Number > 0 && !claims && !held.vacant()
}

func (k *Keeper) pull(ctx context.Context) {
	var others []membership.Record

	for _, r := range k.nodes.Live() {
		if r.ID != k.self.Node {
			others = append(others, r)
		}
	}

	if len(others) > 0 {
		k.Refresh(ctx, others[rand.IntN(len(others))].PeerAddress)
	}
}

// Refresh asks one node for a newer list.
func (k *Keeper) Refresh(ctx context.Context, address string) {
	const limit = 500 * time.Millisecond

	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	var l List
	if k.peers.Do(ctx, address, peer.LaneControl, MethodPull, Pull{Number: k.List().Number}, &l) != nil {
		return
	}

	k.mu.Lock()
	k.asked = true
	k.mu.Unlock()

	k.take(l)
}

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

// take holds a list if it is newer, and notes which shards this process owns in
// it. A shard is owned only by what stands in a list that the platform took.
func (k *Keeper) take(l List) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if l.Number <= k.list.Number {
		return
	}

	k.list = l
	owned := map[int]time.Time{}

	for i, s := range l.Shards {
		if s.Node != k.self.Node || s.Life != k.self.Life {
			continue
		}

		since, ok := k.owned[i]
		if !ok {
			since = time.Now()
			k.options.Recorder.Record(event.ShardOwned, timeline.Entry{Detail: "shard " + strconv.Itoa(i)})
		}

		owned[i] = since
	}

	k.owned = owned
}
