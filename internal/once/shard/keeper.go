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
			idle.For(ctx, k.options.Retry) // however many calls find the list old
		}
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
