// Package configsync brings the operator's configuration from the platform's store to
// every node.
//
// Two nodes of each failure domain, the watchers, wait on the store for changes of
// one key, and pass what they get to the others of their failure domain. So the
// store is called a number of times that grows with the failure domains, not with
// the nodes.
//
// # What goes wrong, and what is done
//
//   - A watch may hear nothing without an error, because its connection went silent
//     or the store lost history. Every watcher also reads the store's revision now
//     and then; the first to find a missed change tells the watchers of all failure
//     domains.
//   - A watcher may be turned away by the store, cut off, or gone. Every other node
//     asks one of its watchers twice a second, then one of other failure domains.
//     While none of them knows what is current, more and more nodes of the failure
//     domain go to the store.
//   - The store may answer nobody in a whole failure domain, and nobody there sees an
//     error. Who has a version from the store tells a watcher of each other failure
//     domain.
//   - Versions come faster than a small host can read them. Only the newest of those
//     that wait is decoded.
//
// Whatever arrives by whichever way, the holder takes it only if it is newer.
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

	"github.com/pollencart/pollencart/internal/epoch"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/store"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Watchers is how many nodes of a failure domain wait on the store. One would leave
// a gap when it ends, and each more costs calls.
const Watchers = 2

// Store is what is needed of the platform.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, int64, error)
	// Revision returns the revision of the store, which grows with each change.
	Revision(ctx context.Context) (int64, error)
	Watch(ctx context.Context, prefix string, after int64, patience time.Duration) (store.Changes, error)
}

// Peers sends messages to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Members gives other nodes.
type Members interface {
	Self() membership.Record
	// Neighbours returns the other live nodes of the own failure domain.
	Neighbours() []membership.Record
	// Domains returns the failure domains that have live nodes.
	Domains() []string
	// FirstOf returns the first nodes of a failure domain in an order that all
	// nodes agree on.
	FirstOf(domain string, count int) []membership.Record
	// Chosen reports whether a node is one of these.
	Chosen(id, domain string, count int) bool
}

// Options of a feed.
type Options struct {
	Key      string
	Decode   func([]byte) (*route.Table, error)
	Store    Store
	Holder   *route.Holder
	Peers    Peers
	Members  Members
	Recorder *timeline.Recorder
	// FirstStart says that no other node can hold a version yet.
	FirstStart bool
	// Epoch is that of the store; revisions of one say nothing in the next.
	Epoch *epoch.Current
}

// Feed follows the configuration.
type Feed struct {
	options Options

	current  atomic.Bool  // the store answers this node
	informed atomic.Int64 // when a watcher that is current was asked, on the steady clock
	answered atomic.Int64 // when another node answered a question, on the steady clock
	late     atomic.Bool  // a version that gossip told of is waited for
	hurry    chan struct{}
	behind   chan struct{} // a push could not be used
	fresh    chan struct{} // a newer version is in force; it is to be pushed
	toldOf   chan struct{} // a version was told of that is not held

	again bool // the epoch changed since follow read the configuration

	mu      sync.Mutex
	waiting map[source]document
	arrived chan struct{}
	newest  told // the newest that was told of

	pushing sync.Map // addresses that are being pushed to
}

// source says where a document came from.
type source string

const (
	fromStore source = "store"
	fromPeer  source = "node"
)

// document is a configuration that was not decoded yet.
type document struct {
	version uint64 // 0 if only the document itself tells
	data    []byte
	again   bool // read since the epoch changed
}

// New returns a feed.
func New(o Options) *Feed {
	if o.Epoch == nil {
		o.Epoch = epoch.New()
	}

	return &Feed{
		options: o, hurry: make(chan struct{}, 1), fresh: make(chan struct{}, 1), behind: make(chan struct{}, 1), arrived: make(chan struct{}, 1),
		toldOf: make(chan struct{}, 1), waiting: map[source]document{},
	}
}

// Register adds what other nodes may ask.
func (f *Feed) Register(s *peer.Server) {
	s.Handle(methodPull, peer.Typed(f.servePull))
	s.Handle(methodPush, peer.Typed(f.servePush))
	s.Handle(methodTell, peer.Typed(f.serveTell))
	s.Handle(methodHint, peer.Typed(f.serveHint))
}

// Run follows the configuration until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var wg sync.WaitGroup

	for _, loop := range []func(context.Context){f.follow, f.check, f.ask, f.push, f.decode, f.fetchTold} {
		wg.Go(func() { loop(ctx) })
	}

	wg.Wait()
}

// watches reports whether this node is a watcher of its failure domain.
func (f *Feed) watches() bool { return f.isAmong(Watchers) }

// isAmong reports whether this node is among the first of its failure domain.
func (f *Feed) isAmong(first int) bool {
	self := f.options.Members.Self()

	return f.options.Members.Chosen(self.ID, self.FailureDomain, first)
}

// offer leaves a document to be decoded; an older one from the same source that
// still waits is dropped.
func (f *Feed) offer(from source, d document) {
	if d.version != 0 && d.version <= f.options.Holder.Number() {
		return
	}

	f.mu.Lock()

	if have := f.waiting[from]; d.version == 0 || d.version > have.version {
		f.waiting[from] = d
	}
	f.mu.Unlock()

	signal(f.arrived)
}

// signal wakes the receiver; one that is awake looks again by itself.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (f *Feed) decode(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.arrived:
		}

		for from, d := range f.take() {
			f.apply(ctx, from, d)
		}
	}
}

func (f *Feed) take() map[source]document {
	f.mu.Lock()
	defer f.mu.Unlock()

	out := f.waiting
	f.waiting = map[source]document{}

	return out
}

func (f *Feed) apply(ctx context.Context, from source, d document) {
	if d.version != 0 && d.version <= f.options.Holder.Number() {
		return
	}

	table, err := f.options.Decode(d.data)
	if err != nil {
		f.options.Recorder.Record(event.VersionRefused, timeline.Entry{Detail: string(from) + ": " + err.Error()})

		return
	}

	if held := f.options.Holder.Number(); d.again && table.Version() < held {
		f.options.Recorder.Record(event.VersionOlder, timeline.Entry{
			Version: table.Version(), Detail: "store, version " + strconv.FormatUint(held, 10) + " is held",
		})
	}

	if f.options.Holder.Offer(table, d.data) {
		f.options.Recorder.Record(event.VersionInForce, timeline.Entry{Version: table.Version(), Detail: string(from)})
		signal(f.fresh)

		// The first version of a process is news to nobody.
		if before, _ := f.options.Holder.Before(); from == fromStore && before != 0 {
			f.tell(ctx, table.Version())
		}
	}
}

// started is where the steady clock is read from.
var started = time.Now()

func steady() int64 { return int64(time.Since(started)) }
