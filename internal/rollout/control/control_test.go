package control_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/rollout"
	"github.com/pollencart/pollencart/internal/rollout/control"
	"github.com/pollencart/pollencart/internal/rollout/evidence"
	"github.com/pollencart/pollencart/internal/rollout/exposure"
	"github.com/pollencart/pollencart/internal/timeline"
)

const service = "browse"

// world is a fleet of nodes of one failure domain, all with a backend server of the service, and the
// store.
type world struct {
	t      *testing.T
	agents map[string]*control.Agent

	mu        sync.Mutex
	orders    map[string]rollout.Order
	documents map[string]control.Document
	written   []rollout.State // of the service, in order
	epoch     uint64
	revision  int64
	changed   chan struct{}
	down      bool
	loseReply bool // writes happen and are not answered
	versions  map[string]string
}

func newWorld(t *testing.T, versions ...string) *world {
	t.Helper()

	w := &world{
		t: t, agents: map[string]*control.Agent{}, orders: map[string]rollout.Order{}, documents: map[string]control.Document{},
		epoch: 1, revision: 1, changed: make(chan struct{}), versions: map[string]string{},
	}

	for i, version := range versions {
		id := string(rune('a' + i))
		w.versions[id] = version
	}

	for id := range w.versions {
		n := &node{world: w, id: id}
		a := control.New(control.Options{
			Service: service, Boot: id, Store: n, Peers: n, Members: n, Recorder: timeline.New(), Budget: exposure.New(0.1),
			Changed: func() {}, InFlight: func() int { return 0 }, Counted: func(string, bool) {},
		})
		w.agents[id] = a
	}

	for _, a := range w.agents {
		go a.Run(t.Context())
	}

	time.Sleep(2 * time.Second) // the versions are unknown until the first heartbeats

	// The first version is in use when backend servers of others come up.
	for _, first := range []bool{true, false} {
		for id, version := range w.versions {
			if (version == versions[0]) == first {
				w.agents[id].SetVersion(version)
			}
		}

		time.Sleep(time.Second)
	}

	return w
}

// order writes an order.
func (w *world) order(target string, limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.revision++
	w.orders[service] = rollout.Order{Service: service, Target: target, Duration: limit, Epoch: w.epoch, Revision: w.revision}
	w.notify()
}

func (w *world) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// restore replaces the store's contents by an older copy, and has the operator repeat its order.
func (w *world) restore(documents map[string]control.Document) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.epoch++
	w.documents = documents

	for key, o := range w.orders {
		w.revision++
		o.Epoch, o.Revision = w.epoch, w.revision
		w.orders[key] = o
	}

	w.notify()
}

func (w *world) copy() map[string]control.Document {
	w.mu.Lock()
	defer w.mu.Unlock()

	return maps.Clone(w.documents)
}

// stored returns the stored roll-out of the service.
func (w *world) stored() rollout.Rollout {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.documents[service].Rollout
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()

	change()
}

// roles returns the roles of all nodes' backend servers of a version.
func (w *world) roles(version string) []rollout.Role {
	var out []rollout.Role

	for id, v := range w.versions {
		if v == version {
			out = append(out, w.agents[id].Role())
		}
	}

	slices.Sort(out)

	return slices.Compact(out)
}

// fail reports failing calls of the canaries and good ones of the baseline.
func (w *world) fail(target string) {
	for id, version := range w.versions {
		for range 40 {
			w.agents[id].Add(evidence.Outcome{Route: "open", Failed: version == target, Took: 100 * time.Millisecond})
		}
	}
}

// node is the view of one node.
type node struct {
	world *world
	id    string
}

func (n *node) record(id string) membership.Record {
	state := map[rollout.Role]membership.UpstreamState{
		rollout.Regular: membership.UpstreamReady, rollout.Canary: membership.UpstreamCanary, rollout.Excluded: membership.UpstreamDraining,
	}[n.world.agents[id].Role()]

	return membership.Record{
		ID: id, FailureDomain: "here", PeerAddress: id, State: membership.StateAlive,
		Upstream: membership.Upstream{Service: service, Slots: 4, Version: n.world.versions[id], State: state},
	}
}

func (n *node) all() []membership.Record {
	var out []membership.Record
	for _, id := range slices.Sorted(maps.Keys(n.world.versions)) {
		out = append(out, n.record(id))
	}

	return out
}

func (n *node) Self() membership.Record                     { return n.record(n.id) }
func (n *node) Neighbours() []membership.Record             { return membership.Without(n.all(), n.id) }
func (n *node) Domains() []string                           { return []string{"here"} }
func (n *node) OfService(string) []membership.Record        { return n.all() }
func (n *node) OnTrial(string) []membership.Record          { return nil }
func (n *node) Chosen(id, _ string, count int) bool         { return int(id[0]-'a') < count }
func (n *node) FirstOf(_ string, c int) []membership.Record { return n.all()[:min(c, len(n.all()))] }

// Do carries a message to another agent.
func (n *node) Do(ctx context.Context, address string, _ peer.Lane, method string, in, out any) error {
	body, err := msgpack.Marshal(in)
	if err != nil {
		return err
	}

	answer, err := n.world.agents[address].Handlers()[method](ctx, body)
	if err != nil {
		return err
	}

	if body, err = msgpack.Marshal(answer); err != nil {
		return err
	}

	return msgpack.Unmarshal(body, out)
}

func (n *node) Read(context.Context) (control.Snapshot, error) {
	w := n.world

	w.mu.Lock()
	defer w.mu.Unlock()

	if w.down {
		return control.Snapshot{}, platform.ErrUnavailable
	}

	return control.Snapshot{
		Orders: slices.Collect(maps.Values(w.orders)), Documents: slices.Collect(maps.Values(w.documents)), Epoch: w.epoch, Revision: w.revision,
	}, nil
}

func (n *node) ReadOld(ctx context.Context) ([]control.Document, error) {
	s, err := n.Read(ctx)

	return s.Documents, err
}

func (n *node) Wait(ctx context.Context, after int64, timeout time.Duration) (int64, bool, error) {
	w := n.world

	w.mu.Lock()
	changed, revision, down := w.changed, w.revision, w.down
	w.mu.Unlock()

	if down {
		return after, false, platform.ErrUnavailable
	}

	if revision > after {
		return revision, true, nil
	}

	select {
	case <-ctx.Done():
		return after, false, ctx.Err()
	case <-time.After(timeout):
		return after, false, nil
	case <-changed:
		return after, true, nil
	}
}

func (n *node) Write(_ context.Context, r rollout.Rollout, document int64) (int64, error) {
	w := n.world

	w.mu.Lock()
	defer w.mu.Unlock()

	switch {
	case w.down:
		return 0, platform.ErrUnavailable
	case w.orders[r.Service].Revision != r.Revision, w.documents[r.Service].Revision != document:
		return 0, platform.ErrConflict
	}

	w.revision++
	w.documents[r.Service] = control.Document{Rollout: r, Revision: w.revision}
	w.written = append(w.written, r.State)

	if w.loseReply {
		return 0, platform.ErrUnknown
	}

	return w.revision, nil
}

// The store loses the verdict on a bad version by coming back from an older copy. The nodes know it
// still: no call may reach the version, and the verdict is stored again.
func TestVerdictLostByTheStoreIsStoredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "v1", "v1", "v1", "v2", "v2", "v2")
		w.order("v2", time.Minute)
		time.Sleep(time.Second)

		older := w.copy()
		assert.Equal(t, older[service].Rollout.State, rollout.Running)

		w.fail("v2")
		time.Sleep(5 * time.Second)
		assert.Equal(t, w.stored().State, rollout.RolledBack)

		w.restore(older)

		for range 50 {
			time.Sleep(100 * time.Millisecond)
			assert.DeepEqual(t, w.roles("v2"), []rollout.Role{rollout.Excluded})
		}

		assert.Equal(t, w.stored().State, rollout.RolledBack)
	})
}

// Writes take effect and are not answered. One verdict is stored, once.
func TestUnansweredWriteStoresOneVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "v1", "v1", "v1", "v2", "v2", "v2")
		w.set(func() { w.loseReply = true })
		w.order("v2", time.Minute)
		time.Sleep(time.Second)
		w.fail("v2")
		time.Sleep(10 * time.Second)
		w.set(func() { assert.DeepEqual(t, w.written, []rollout.State{rollout.Running, rollout.RolledBack}) })
	})
}

// The store is down when a version turns out to be bad. Its backend servers get no more calls at once,
// and the verdict is stored when the store is back.
func TestBadVersionIsExcludedWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "v1", "v1", "v1", "v2", "v2", "v2")
		w.order("v2", time.Minute)
		time.Sleep(time.Second)
		w.set(func() { w.down = true })
		w.fail("v2")
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, w.roles("v2"), []rollout.Role{rollout.Excluded})
		assert.DeepEqual(t, w.roles("v1"), []rollout.Role{rollout.Regular})

		w.set(func() { w.down = false })
		time.Sleep(5 * time.Second)
		assert.Equal(t, w.stored().State, rollout.RolledBack)
	})
}

// A second order comes before the verdict on the first. The first version gets no more calls, also
// after the second order has ended.
func TestSecondOrderRejectsTheFirstVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "v1", "v1", "v1", "v2", "v2", "v2", "v2", "v3")
		w.order("v2", time.Minute)
		time.Sleep(time.Second)
		assert.DeepEqual(t, w.roles("v2"), []rollout.Role{rollout.Canary})

		w.order("v3", 10*time.Second)
		time.Sleep(time.Second)
		assert.DeepEqual(t, w.roles("v2"), []rollout.Role{rollout.Excluded})
		assert.DeepEqual(t, w.roles("v3"), []rollout.Role{rollout.Canary})

		time.Sleep(15 * time.Second)
		assert.Equal(t, w.stored().State, rollout.RolledBack)
		assert.DeepEqual(t, w.roles("v2"), []rollout.Role{rollout.Excluded})
		assert.DeepEqual(t, w.roles("v1"), []rollout.Role{rollout.Regular})
	})
}

// The version that was just rolled back is ordered again, and gets a trial of its own.
func TestVersionMayBeOrderedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "v1", "v1", "v2")
		w.order("v2", 0)
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.stored().State, rollout.RolledBack)

		w.order("v2", time.Minute)
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.stored().State, rollout.Running)
		assert.DeepEqual(t, w.roles("v2"), []rollout.Role{rollout.Canary})
	})
}

// As many backend servers of a new version as of the one in use come up while the store is down, so
// that no node knows of the order. They get no calls.
func TestNewVersionGetsNoCallsBeforeItsOrderIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "v1", "v1", "v1", "v2", "v2", "v2")
		w.set(func() { w.down = true })

		for range 20 {
			time.Sleep(100 * time.Millisecond)
			assert.DeepEqual(t, w.roles("v2"), []rollout.Role{rollout.Excluded})
			assert.DeepEqual(t, w.roles("v1"), []rollout.Role{rollout.Regular})
		}
	})
}

// The operator orders the version that is in use. Its backend servers go on receiving all calls, and the
// order is completed.
func TestOrderOfTheVersionInUseChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "v1", "v1", "v1", "v1")
		w.order("v1", time.Minute)

		for range 30 {
			time.Sleep(100 * time.Millisecond)
			assert.DeepEqual(t, w.roles("v1"), []rollout.Role{rollout.Regular})
		}

		assert.Equal(t, w.stored().State, rollout.Completed)
	})
}

// The operator deletes the order. The version gets no more calls.
func TestWithdrawnOrderEndsTheTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "v1", "v1", "v2")
		w.order("v2", time.Minute)
		time.Sleep(2 * time.Second)
		w.set(func() { delete(w.orders, service); w.revision++; w.notify() })
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, w.roles("v2"), []rollout.Role{rollout.Excluded})
	})
}
