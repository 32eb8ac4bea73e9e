package shard

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Key is the key of the list in the store of the platform.
const Key = "/pollencart/once/shards"

// MethodPull is the peer method by which a node fetches a newer list.
const MethodPull = "Once.Shards"

// MethodPush is the peer method by which a draining node sends the list.
const MethodPush = "Once.ShardsPush"

// Pull requests a list that is newer than Number.
type Pull struct {
	Number uint64 `msgpack:"Number"`
}

// Nodes provides the nodes that are considered alive.
type Nodes interface {
	Live() []membership.Record
}

// Peers sends messages to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Store is the key-value store of the platform.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	Swap(ctx context.Context, key string, revision int64, value []byte, opts ...platform.PutOption) (int64, error)
}

// Keeper stores the current list and claims shards for one process.
type Keeper struct {
	options Options
	self    Self
	store   Store
	nodes   Nodes
	peers   Peers

	mu           sync.Mutex
	list         List
	owned        map[int]time.Time // start of ownership by shard index
	stopped      bool
	lastRead     time.Time // last read of the platform
	peerAnswered bool      // a peer has answered since this process booted
	startedAt    time.Time
	nudges       chan struct{}
	adopted      map[int]adoption
}

// New returns a keeper that has no list yet.
func New(self Self, store Store, nodes Nodes, peers Peers, opts ...Option) *Keeper {
	return &Keeper{
		options: newOptions(opts...), self: self, store: store, nodes: nodes, peers: peers, owned: map[int]time.Time{}, adopted: map[int]adoption{},
		nudges: make(chan struct{}, 1),
	}
}

// Owner returns the node ID and boot ID of the owner of a key.
func (k *Keeper) Owner(text string) (node, bootID string, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()

	s, _, ok := k.list.Of(text)

	return s.Node, s.BootID, ok && s.Node != ""
}

// Own describes what this process may do with an opaque key.
type Own struct {
	// Owned is set if this process owns the key's shard.
	Owned bool
	// Wait is the remaining time in which keys without a record end as unknown.
	Wait time.Duration
	// Draining is set while this process hands its shards over.
	Draining bool
}

// Own returns what this process may do with a key.
func (k *Keeper) Own(text string) Own {
	k.mu.Lock()
	defer k.mu.Unlock()

	_, i, ok := k.list.Of(text)
	_, owned := k.owned[i]

	if !ok || !owned || k.stopped {
		return Own{Draining: k.stopped}
	}

	return Own{Owned: true, Wait: k.unknownFor(i)}
}

// List returns the current list.
func (k *Keeper) List() List {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.list
}

// Serve handles MethodPull. It returns an empty list if the peer is up to date.
func (k *Keeper) Serve(_ context.Context, in Pull) (List, error) {
	l := k.List()
	if l.Number <= in.Number {
		return List{}, nil
	}

	return l, nil
}

// Run keeps the list up to date and claims shards until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.mu.Lock()
	k.startedAt = time.Now()
	k.mu.Unlock()

	for ctx.Err() == nil {
		pause := k.options.Refresh
		if !k.Round(ctx) {
			pause = k.options.Retry
		}

		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		case <-k.nudges:
			idle.For(ctx, k.options.Retry) // bounds the rate of nudged rounds
		}
	}
}

// Nudge triggers a round after a call found the list outdated or a shard vacant.
func (k *Keeper) Nudge() {
	select {
	case k.nudges <- struct{}{}:
	default:
	}
}

// Round refreshes the list from a peer and, if necessary, from the platform. It reports whether
// every shard has an owner, so that the next round can wait for the regular interval.
func (k *Keeper) Round(ctx context.Context) (done bool) {
	k.pull(ctx)

	if k.needsRead() {
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
	k.peerAnswered = true
	k.mu.Unlock()

	k.apply(l)
}

// apply stores a list if it is newer than the current one, and records which shards this process
// owns. Ownership counts only once it is in a list that the platform has accepted.
func (k *Keeper) apply(l List) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if l.Number <= k.list.Number {
		return
	}

	k.list = l
	owned := map[int]time.Time{}

	for i, s := range l.Shards {
		if s.Node != k.self.Node || s.BootID != k.self.BootID {
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
