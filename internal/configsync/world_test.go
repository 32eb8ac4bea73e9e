package configsync

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pollencart/pollencart/internal/epoch"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/timeline"
)

// storeKey is where the configuration lies.
const storeKey = "configuration"

// world is a store and nodes, in one failure domain or in several.
type world struct {
	domains  int
	mu       sync.Mutex
	version  int64
	written  int64 // the revision at which the version was written
	revision int64
	number   uint64 // of the store's epoch
	changed  chan struct{}
	deaf     bool            // watches hear nothing
	turned   map[string]bool // nodes that the store turns away
	silent   map[string]bool // nodes that the store does not answer any more
	calls    int
	watchers int // open watches
	nodes    map[string]*node
	records  []membership.Record
	cut      map[string]bool // nodes that others can't reach
	hung     map[string]bool // nodes that take connections and never answer
}

type node struct {
	id     string
	world  *world
	holder *route.Holder
	epoch  *epoch.Current
	told   *timeline.Recorder
	feed   *Feed
	stop   context.CancelFunc
	calls  int // to the store
	looked time.Time
	unread int // reads that fail from now on
}

func newWorld(t *testing.T, count int) *world {
	t.Helper()

	return newWorldIn(t, 1, count)
}

func newWorldIn(t *testing.T, domains, count int, opts ...func(*Options)) *world {
	t.Helper()

	w := &world{
		domains: domains, number: 1, changed: make(chan struct{}), turned: map[string]bool{}, silent: map[string]bool{}, cut: map[string]bool{},
		hung: map[string]bool{}, nodes: map[string]*node{},
	}
	ctx, cancel := context.WithCancel(context.Background())

	var wg sync.WaitGroup

	for i := range count {
		w.records = append(w.records, w.record(i))
	}

	for i := range count {
		n := w.again("n"+strconv.Itoa(i), opts...)
		w.nodes[n.id] = n
	}

	for _, n := range w.nodes {
		life, stop := context.WithCancel(ctx)
		n.stop = stop

		wg.Go(func() { n.feed.Run(life) })
	}

	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})

	return w
}

// again returns another life of a node, which does not run yet.
func (w *world) again(id string, opts ...func(*Options)) *node {
	n := &node{id: id, world: w, holder: &route.Holder{}, epoch: epoch.New(), told: timeline.New()}

	o := Options{Key: storeKey, Decode: decode, Store: n, Holder: n.holder, Peers: n, Members: n, Recorder: n.told, Epoch: n.epoch}
	for _, opt := range opts {
		opt(&o)
	}

	n.feed = New(o)

	return n
}

// restart runs another life of a node until stop is called, which waits for its end.
func (w *world) restart(id string) (n *node, stop func()) {
	n = w.again(id)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})

	go func() {
		defer close(ended)

		n.feed.Run(ctx)
	}()

	return n, func() {
		cancel()
		<-ended
	}
}

func decode(data []byte) (*route.Table, error) {
	var version uint64
	if err := json.Unmarshal(data, &version); err != nil {
		return nil, err
	}

	return route.New(version, route.Limits{}, nil, nil)
}

// write is the operator's change.
func (w *world) write(version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.revision++
	w.version, w.written = version, w.revision

	if !w.deaf {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()

	f()
}

func (w *world) node(id string) (n *node) {
	w.set(func() { n = w.nodes[id] })

	return n
}

// lowest returns the lowest version in force.
func (w *world) lowest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()

	out := uint64(1 << 60)
	for _, n := range w.nodes {
		out = min(out, n.holder.Number())
	}

	return out
}

// within waits until all nodes have the version, and fails after the time.
func (w *world) within(t *testing.T, version uint64, bound time.Duration) {
	t.Helper()

	start := time.Now()
	for w.lowest() < version {
		if time.Since(start) > bound {
			t.Fatalf("version %d is not in force everywhere after %s", version, bound)
		}

		time.Sleep(10 * time.Millisecond)
	}
}

func (n *node) Neighbours() []membership.Record {
	self := n.Self()

	return slices.DeleteFunc(slices.Clone(n.world.records), func(r membership.Record) bool {
		return r.ID == self.ID || r.FailureDomain != self.FailureDomain
	})
}

func (n *node) Domains() []string {
	var out []string
	for i := range n.world.domains {
		out = append(out, "d"+strconv.Itoa(i))
	}

	return out
}

func (w *world) record(i int) membership.Record {
	id := "n" + strconv.Itoa(i)

	return membership.Record{ID: id, PeerAddress: id, FailureDomain: "d" + strconv.Itoa(i%w.domains)}
}

func (n *node) Self() membership.Record {
	for _, r := range n.world.records {
		if r.ID == n.id {
			return r
		}
	}

	return membership.Record{}
}

func (n *node) FirstOf(domain string, count int) []membership.Record {
	var out []membership.Record

	for _, r := range n.world.records {
		if r.FailureDomain == domain && len(out) < count {
			out = append(out, r)
		}
	}

	return out
}

func (n *node) Chosen(id, domain string, count int) bool {
	return slices.ContainsFunc(n.FirstOf(domain, count), func(r membership.Record) bool { return r.ID == id })
}

func (n *node) Do(ctx context.Context, address string, _ peer.Lane, method string, in, out any) error {
	time.Sleep(time.Millisecond)

	n.world.mu.Lock()
	cut, hung := n.world.cut[address] || n.world.cut[n.id], n.world.hung[address]
	n.world.mu.Unlock()

	if hung {
		<-ctx.Done()

		return peer.ErrBroken
	}

	if cut {
		return peer.ErrUnreachable
	}

	f := n.world.node(address).feed

	var err error

	switch method {
	case methodPull:
		*out.(*newer), err = f.servePull(ctx, in.(have))
	case methodPush:
		*out.(*have), err = f.servePush(ctx, in.(newer))
	case methodTell:
		*out.(*have), err = f.serveTell(ctx, in.(told))
	case methodHint:
		*out.(*have), err = f.serveHint(ctx, in.(have))
	}

	return err
}
