package feed

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/store"
	"github.com/pollencart/pollencart/internal/timeline"
)

// storeKey is where the configuration lies.
const storeKey = "configuration"

// world is a store and nodes, in one failure domain or in several.
type world struct {
	domains  int
	mu       sync.Mutex
	version  int64
	changed  chan struct{}
	deaf     bool            // watches hear nothing
	turned   map[string]bool // nodes that the store turns away
	silent   map[string]bool // nodes that the store does not answer any more
	calls    int
	watchers int // open watches
	nodes    map[string]*node
	cut      map[string]bool // nodes that others can't reach
}

type node struct {
	id     string
	world  *world
	holder *route.Holder
	feed   *Feed
}

func newWorld(t *testing.T, count int) *world {
	t.Helper()

	return newWorldIn(t, 1, count)
}

func newWorldIn(t *testing.T, domains, count int) *world {
	t.Helper()

	w := &world{
		domains: domains, changed: make(chan struct{}), turned: map[string]bool{}, silent: map[string]bool{}, cut: map[string]bool{},
		nodes: map[string]*node{},
	}
	ctx, cancel := context.WithCancel(context.Background())

	var wg sync.WaitGroup

	for i := range count {
		n := &node{id: "n" + strconv.Itoa(i), world: w, holder: &route.Holder{}}
		n.feed = New(Options{
			Key: storeKey, Decode: decode, Store: n, Holder: n.holder, Peers: n, Members: n, Recorder: timeline.New(),
		})
		w.nodes[n.id] = n
	}

	for _, n := range w.nodes {
		wg.Go(func() { n.feed.Run(ctx) })
	}

	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})

	return w
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

	w.version = version
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

// lowest returns the lowest version in force.
func (w *world) lowest() uint64 {
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

func (n *node) isSilent() bool {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()

	return n.world.silent[n.id]
}

func (n *node) call(ctx context.Context) (int64, error) {
	n.world.set(func() { n.world.calls++ })

	if n.isSilent() {
		<-ctx.Done()

		return 0, ctx.Err()
	}

	n.world.mu.Lock()
	defer n.world.mu.Unlock()

	if n.world.turned[n.id] {
		return 0, platform.ErrUnavailable
	}

	return n.world.version, nil
}

func (n *node) Get(ctx context.Context, _ string) (platform.Entry, int64, error) {
	v, err := n.call(ctx)
	time.Sleep(4 * time.Millisecond)

	if err == nil && v == 0 {
		err = platform.ErrNotFound
	}

	return platform.Entry{Value: []byte(strconv.FormatInt(v, 10))}, v, err
}

func (n *node) Revision(ctx context.Context) (int64, error) { return n.call(ctx) }

func (n *node) Watch(ctx context.Context, _ string, after int64, patience time.Duration) (store.Changes, error) {
	v, err := n.call(ctx)
	if err != nil {
		return store.Changes{}, err
	}

	n.world.mu.Lock()
	changed := n.world.changed
	deaf := n.world.deaf
	n.world.watchers++
	n.world.mu.Unlock()

	defer n.world.set(func() { n.world.watchers-- })

	if v > after && !deaf {
		return n.changes(v), nil
	}

	select {
	case <-changed:
		if n.isSilent() {
			<-ctx.Done()

			return store.Changes{}, ctx.Err()
		}

		n.world.mu.Lock()
		defer n.world.mu.Unlock()

		return n.changes(n.world.version), nil
	case <-time.After(patience):
		return store.Changes{Revision: after}, nil
	case <-ctx.Done():
		return store.Changes{}, ctx.Err()
	}
}

func (n *node) changes(v int64) store.Changes {
	return store.Changes{
		Revision: v, Entries: []store.Change{{Entry: platform.Entry{Value: []byte(strconv.FormatInt(v, 10))}}},
	}
}

func (n *node) Live() []membership.Record {
	var out []membership.Record
	for i := range len(n.world.nodes) {
		out = append(out, n.world.record(i))
	}

	return out
}

func (w *world) record(i int) membership.Record {
	id := "n" + strconv.Itoa(i)

	return membership.Record{ID: id, PeerAddress: id, FailureDomain: "d" + strconv.Itoa(i%w.domains)}
}

func (n *node) Self() membership.Record {
	for i := range len(n.world.nodes) {
		if r := n.world.record(i); r.ID == n.id {
			return r
		}
	}

	return membership.Record{}
}

func (n *node) FirstOf(domain string, count int) []membership.Record {
	var out []membership.Record

	for _, r := range n.Live() {
		if r.FailureDomain == domain && len(out) < count {
			out = append(out, r)
		}
	}

	return out
}

func (n *node) Do(ctx context.Context, address string, _ peer.Lane, method string, in, out any) error {
	time.Sleep(time.Millisecond)

	n.world.mu.Lock()
	cut := n.world.cut[address] || n.world.cut[n.id]
	n.world.mu.Unlock()

	if cut {
		return peer.ErrUnreachable
	}

	f := n.world.nodes[address].feed

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

// Only the watchers call the store while all is well, however many nodes there are.
func TestAVersionIsInForceSoonAndTheStoreIsCalledByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 20)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(30 * time.Second)
		w.set(func() { w.calls = 0 })

		for v := int64(2); v <= 6; v++ {
			w.write(v)
			w.within(t, uint64(v), 100*time.Millisecond)
			time.Sleep(2 * time.Second)
		}

		w.set(func() {
			t.Logf("%d calls in 10 s with 5 versions, %d open watches", w.calls, w.watchers)
			assert.Assert(t, w.calls < 50)
			assert.Equal(t, w.watchers, Watchers)
		})
	})
}

// The store loses history and no watch hears of a change. A look at its revision
// finds it, and the others are told.
func TestAChangeThatNoWatchHears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		w.set(func() { w.deaf = true })
		w.write(2)
		w.within(t, 2, 4*time.Second)
	})
}

// The watcher that finds a missed change tells those of the other failure domains, which
// would find it only by looks of their own.
func TestWhoFindsAMissedChangeTellsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldIn(t, 4, 12)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		w.set(func() { w.deaf = true })
		w.write(2)

		first := func() bool {
			for _, n := range w.nodes {
				if n.holder.Number() == 2 {
					return true
				}
			}

			return false
		}
		for !first() {
			time.Sleep(time.Millisecond)
		}

		w.within(t, 2, 100*time.Millisecond)
	})
}

// The store turns both watchers away and serves the others. These notice that nobody
// tells them what is current, and ask by themselves.
func TestWatchersThatAreTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		w.set(func() { w.turned["n0"], w.turned["n1"], w.deaf = true, true, true })
		time.Sleep(25 * time.Second) // the watches end
		w.set(func() { w.deaf = false })
		w.write(2)
		w.within(t, 2, 3*time.Second)
	})
}

// The store stops answering all nodes of a failure domain, whose connections stay
// open: their watches wait on and tell nothing. Callers there would be sent by old
// settings until the connections are found out.
func TestAFailureDomainThatTheStoreDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldIn(t, 3, 12)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		w.set(func() {
			for i := range 4 {
				w.silent[w.record(3*i).ID] = true
			}
		})

		for v := int64(2); v < 6; v++ {
			w.write(v)
			w.within(t, uint64(v), time.Second)
			time.Sleep(time.Second)
		}
	})
}

// The store is away for a while. Each call that it turns away is paid for and tells
// nobody anything, so not every node may ask again and again.
func TestAStoreThatIsAwayIsNotAskedByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldIn(t, 4, 84)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)

		away := func(is bool) {
			w.set(func() {
				w.deaf, w.calls = is, 0
				close(w.changed)
				w.changed = make(chan struct{})

				for id := range w.nodes {
					w.turned[id] = is
				}
			})
		}

		away(true)
		time.Sleep(4500 * time.Millisecond)
		w.set(func() {
			t.Logf("%d calls in 4.5 s", w.calls)
			assert.Assert(t, w.calls < 200)
		})
		away(false)
		w.write(2)
		w.within(t, 2, 3*time.Second)
	})
}

// A node is cut off from all others and still reaches the store.
func TestANodeThatIsCutOffFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		w.set(func() { w.cut["n5"] = true })
		w.write(2)
		w.within(t, 2, 2*time.Second)
	})
}

// A node is turned away by the store and has the version from another node.
func TestANodeThatTheStoreTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6)
		w.set(func() { w.turned["n0"], w.turned["n5"] = true, true })
		w.write(1)
		w.within(t, 1, 3*time.Second)
		time.Sleep(5 * time.Second)
		w.write(2)
		w.within(t, 2, 2*time.Second)
	})
}

// A process starts again. The store gives it the settings as text, which is slow on a
// small link; a watcher gives them packed. It must not begin behind the others, so only
// a watcher that the store answers will do.
func TestAProcessThatStartsAgainHasTheVersionFromAnotherNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)

		restart := func(fromStore bool) {
			t.Helper()

			n := &node{id: "n5", world: w, holder: &route.Holder{}}
			n.feed = New(Options{Key: storeKey, Decode: decode, Store: n, Holder: n.holder, Peers: n, Members: n, Recorder: timeline.New()})

			w.set(func() { w.calls = 0 })

			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})

			go func() {
				defer close(ended)

				n.feed.Run(ctx)
			}()

			time.Sleep(peersFirst + 50*time.Millisecond)
			cancel()
			<-ended
			assert.Equal(t, n.holder.Number(), uint64(1))
			w.set(func() { assert.Equal(t, w.calls > 0, fromStore) })
		}

		restart(false)
		w.set(func() { w.cut["n0"], w.cut["n1"] = true, true })
		restart(true)
	})
}

// All processes start again at the same time and none holds a version. Those that will
// watch the store must not wait for each other, or all callers are turned away meanwhile.
func TestAfterARestartOfAllTheWatchersGoToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 12)
		w.write(1)
		w.within(t, 1, 100*time.Millisecond)
		w.set(func() { assert.Assert(t, w.calls < 4*Watchers, "%d", w.calls) })
	})
}

// Versions come twenty times a second. All nodes are at the last one soon after, and
// none was ever taken back.
func TestAStormOfVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 10)
		w.write(1)
		w.within(t, 1, 2*time.Second)

		before := w.lowest()

		for v := int64(2); v <= 60; v++ {
			w.write(v)
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, w.lowest() >= before)
			before = w.lowest()
		}

		w.within(t, 60, 700*time.Millisecond)
	})
}
