// Package configsync distributes the operator's configuration from the platform's store to
// all nodes.
//
// Two nodes of each failure domain, the watchers, watch one key of the store and push each
// new version to the other nodes of their failure domain. The number of store calls thus
// grows with the number of failure domains, not with the number of nodes.
//
// # Failures
//
//   - A watch may miss a change without an error, because its connection is dead or the
//     store lost history. The watchers therefore also check the store's revision by turns.
//     The first one that finds a missed change notifies the watchers of all failure domains.
//   - A watcher may be rejected by the store, isolated, terminated or slow. Every other node
//     pulls from a watcher of its failure domain several times a second, and unless that one vouches
//     for its version, from a watcher of any failure domain. While no watcher does, a growing
//     number of nodes of the failure domain read the store themselves.
//   - A connection that works proves nothing about versions. A node vouches for its version
//     only for as long as the version is known to be the newest, and tells how old that
//     knowledge is. A node that has heard of a newer version trusts no source that lacks it,
//     and gets the version from a node that has it.
//   - The store may stop answering a whole failure domain without an error. A node that
//     gets a version from the store notifies one watcher of each other failure domain.
//   - Versions may arrive faster than a small host can decode them. Only the newest
//     pending version is decoded.
//
// The holder activates a version only if it is newer than the active one, whatever its
// source.
//
// # Usage
//
//	f := configsync.New(configsync.Options{...})
//	f.Register(server)
//	go f.Run(ctx)
package configsync

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/bounded"
	"github.com/pollencart/pollencart/internal/epoch"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/freshness"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/store"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Watchers is the number of nodes per failure domain that watch the store. A single watcher
// would leave a gap when it terminates; each further one costs store calls.
const Watchers = 2

// Store is the part of the platform's store that configsync uses.
type Store interface {
	// Get returns an entry and the revision of the store. It fails soon if nothing arrives.
	Get(ctx context.Context, key string) (platform.Entry, int64, error)
	// Revision returns the revision of the store, which grows with each change.
	Revision(ctx context.Context) (int64, error)
	Watch(ctx context.Context, prefix string, after int64, timeout time.Duration) (store.Changes, error)
}

// Peers sends requests to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Members is the membership view of this node.
type Members interface {
	Self() membership.Record
	// Neighbours returns the other live nodes of this node's failure domain.
	Neighbours() []membership.Record
	// Domains returns the failure domains that have live nodes.
	Domains() []string
	// FirstOf returns the first count live nodes of a failure domain, in an order that is
	// the same on all nodes.
	FirstOf(domain string, count int) []membership.Record
	// Chosen reports whether the node is among the nodes that FirstOf returns.
	Chosen(id, domain string, count int) bool
}

// Options configures New.
type Options struct {
	Key      string
	Decode   func([]byte) (*route.Table, error)
	Store    Store
	Holder   *route.Holder
	Peers    Peers
	Members  Members
	Recorder *timeline.Recorder
	// FirstStart is true if the deployment starts for the first time, so that no other
	// node can have a version yet.
	FirstStart bool
	// Epoch is the current epoch of the store. Revisions of different epochs can't be
	// compared.
	Epoch *epoch.Current
}

// Syncer keeps the configuration of this node up to date.
type Syncer struct {
	options Options

	storeReachable atomic.Bool   // the store answers this node
	watchOpen      atomic.Bool   // a watch waits for changes
	restartWatch   chan struct{} // signals that the running watch has to be restarted
	pullNow        chan struct{} // signals that a push could not be applied
	activated      chan struct{} // signals that a newer version is active and has to be pushed

	epochChanged bool // the epoch changed since the last read of the configuration

	pushing sync.Map      // addresses with a push in flight
	queued  chan struct{} // signals that pending is not empty
	fresh   *freshness.Tracker

	mu         sync.Mutex
	pending    map[source]document
	decoding   uint64    // version of another node that is being decoded
	informedAt time.Time // when the active version was the newest, as another node vouched
	answeredAt time.Time // last answer of another node
	sourceName string    // what this node gets versions from
	sourceAt   time.Time // when sourceName changed
	refused    *bounded.Map[struct{}]
}

// source is the origin of a document.
type source string

const (
	fromStore source = "store"
	fromPeer  source = "node"
)

// document is a configuration that is not decoded yet.
type document struct {
	version      uint64 // 0 if unknown until decoded
	data         []byte
	from         string // address of the node that sent it, if known
	epochChanged bool   // first read after a change of the epoch
	// readAt is when the call to the store began that returned the document, or zero.
	readAt time.Time
}

// New returns a syncer that is not running yet.
func New(o Options) *Syncer {
	if o.Epoch == nil {
		o.Epoch = epoch.New()
	}

	now := time.Now()

	return &Syncer{
		options: o, restartWatch: make(chan struct{}, 1), activated: make(chan struct{}, 1), pullNow: make(chan struct{}, 1),
		refused: bounded.New[struct{}](maxRefused),
		queued:  make(chan struct{}, 1), pending: map[source]document{}, fresh: freshness.New(o.Holder.Number), informedAt: now, answeredAt: now,
	}
}

// Register adds the handlers of the methods that other nodes call.
func (s *Syncer) Register(server *peer.Server) {
	server.Handle(methodPull, peer.Typed(s.servePull))
	server.Handle(methodPush, peer.Typed(s.servePush))
	server.Handle(methodNotify, peer.Typed(s.serveNotify))
	server.Handle(methodHint, peer.Typed(s.serveHint))
}

// Run keeps the configuration up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup

	for _, loop := range []func(context.Context){s.follow, s.checkLoop, s.pullLoop, s.pushLoop, s.decodeLoop, s.closeGaps} {
		wg.Go(func() { loop(ctx) })
	}

	wg.Wait()
}

// isWatcher reports whether this node is a watcher of its failure domain.
func (s *Syncer) isWatcher() bool { return s.isAmongFirst(Watchers) }

// isAmongFirst reports whether this node is among the first count nodes of its failure
// domain.
func (s *Syncer) isAmongFirst(count int) bool {
	self := s.options.Members.Self()

	return s.options.Members.Chosen(self.ID, self.FailureDomain, count)
}

// enqueue queues a document for decoding. It replaces an older pending document from the
// same source.
func (s *Syncer) enqueue(from source, d document) {
	if d.version != 0 && d.version <= s.options.Holder.Number() {
		return
	}

	s.mu.Lock()

	if prior := s.pending[from]; d.version == 0 || d.version > prior.version {
		s.pending[from] = d
	}
	s.mu.Unlock()

	signal(s.queued)
}

// signal wakes the receiver of c. A pending signal is not duplicated.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (s *Syncer) decodeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.queued:
		}

		for from, d := range s.takePending() {
			s.apply(ctx, from, d)
		}
	}
}

func (s *Syncer) takePending() map[source]document {
	s.mu.Lock()
	defer s.mu.Unlock()

	out := s.pending
	s.pending = map[source]document{}

	return out
}

// apply decodes a document and activates it if it is newer. It returns the version of the document,
// or the active one if the document is invalid: a newer valid one does not exist then.
func (s *Syncer) apply(ctx context.Context, from source, d document) uint64 {
	held := s.options.Holder.Number()
	if d.version != 0 && d.version <= held {
		return held
	}

	s.setDecoding(d.version)
	defer s.setDecoding(0)

	table, err := s.options.Decode(d.data)
	if err != nil {
		s.reportRefused(from, d, err)
		s.confirmRead(held, d)

		return held
	}

	if held = s.options.Holder.Number(); d.epochChanged && table.Version() < held {
		s.options.Recorder.Record(event.VersionOlder, timeline.Entry{
			Version: table.Version(), Detail: "store, version " + strconv.FormatUint(held, 10) + " is active",
		})
	}

	if s.options.Holder.Offer(table, d.data) {
		s.options.Recorder.Record(event.VersionInForce, timeline.Entry{Version: table.Version(), Peer: d.from, Detail: string(from)})
		signal(s.activated)

		// The first version of a process is not announced: other nodes have it already.
		if before, _ := s.options.Holder.Before(); from == fromStore && before != 0 {
			s.notifyDomains(ctx, table.Version())
		}
	}

	s.confirmRead(table.Version(), d)

	return table.Version()
}

// confirmRead records that the store had a version when it was read.
func (s *Syncer) confirmRead(version uint64, d document) {
	if !d.readAt.IsZero() {
		s.fresh.Confirm(version, d.readAt)
	}
}

func (s *Syncer) setDecoding(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.decoding = version
}

// isQueued reports whether a version that is not older waits to be decoded, or is being decoded.
func (s *Syncer) isQueued(version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return max(s.pending[fromPeer].version, s.decoding) >= version
}
