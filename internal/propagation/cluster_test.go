package propagation_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/peer"
	keyvalue "github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/propagation"
	"github.com/pollencart/pollencart/internal/standin/platform"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

const domains = 4

// cluster runs many propagators on one synctest clock. Messages are encoded and
// counted, membership changes are visible at once, and gossip is a random exchange of
// version numbers.
type cluster struct {
	*testing.T

	platform  *platform.Platform
	acceptor  *acceptance.Acceptor
	options   []propagation.Option
	gossipOff bool

	mu       sync.Mutex
	nodes    map[string]*node
	sorted   []string
	domains  map[string][]propagation.Member
	random   *rand.Rand
	messages int
	bytes    int
	pulls    int
	tree     settings.Tree
	number   uint64
}

type node struct {
	id, domain string
	holder     *propagation.Holder
	propagator *propagation.Propagator
	recorder   *timeline.Recorder
	stop       context.CancelFunc
	// stalled suspends the node: it neither runs nor answers, and stays in the
	// membership views.
	stalled atomic.Bool
}

func startCluster(t *testing.T, size, branches int, opts ...propagation.Option) *cluster {
	t.Helper()

	c := &cluster{
		T: t, platform: platform.New(), options: opts,
		nodes: map[string]*node{}, random: rand.New(rand.NewPCG(1, 2)), tree: tree(branches),
	}
	c.acceptor = acceptance.New(c.platform.Direct("operator"))

	for i := range size {
		c.start(nodeID(i), fmt.Sprintf("d%d", i%domains))
	}

	return c
}

func nodeID(i int) string { return fmt.Sprintf("node-%03d", i) }

func tree(n int) settings.Tree {
	t := settings.Tree{}
	t.Branches = map[string]settings.Branch{}

	for i := range n {
		t.Branches[fmt.Sprintf("s%03d", i)] = settings.Branch{
			Service: &settings.Service{Slots: 10, Connections: 100},
			Routes: map[string]settings.Route{
				"open": {Match: settings.Match{Method: "GET", PathPrefix: fmt.Sprintf("/s%03d/", i)}},
			},
		}
	}

	return t
}

// start starts a new process of a node.
func (c *cluster) start(id, domain string) *node {
	n := &node{id: id, domain: domain, recorder: timeline.New(timeline.Node(id))}
	n.holder = propagation.NewHolder(n.recorder)
	store := bufferedStore{c.platform.Direct(domain)}

	opts := append([]propagation.Option{
		propagation.Self(id, id, domain),
		propagation.Members(func() []propagation.Member { return c.members(domain) }),
		propagation.Others(func() []string { return c.others(id) }),
		propagation.Watching(func() bool { return propagation.Watches(domain, id, c.members(domain), 2) }),
	}, c.options...)
	n.propagator = propagation.New(n.holder, acceptance.New(store), store, &transport{c, id}, n.recorder, opts...)

	ctx, stop := context.WithCancel(c.Context())
	n.stop = stop

	c.mu.Lock()
	c.nodes[id] = n
	c.updateLists()
	c.mu.Unlock()

	go n.propagator.Run(ctx)
	go c.gossip(ctx, n)

	return n
}

// kill ends a process and removes it from all membership views.
func (c *cluster) kill(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.nodes[id].stop()
	delete(c.nodes, id)
	c.updateLists()
}

func (c *cluster) stopAll() {
	for _, id := range c.ids() {
		c.kill(id)
	}

	time.Sleep(time.Minute)
}

func (c *cluster) ids() []string {
	c.mu.Lock()
	defer c.mu.Unlock()

	return slices.Clone(c.sorted)
}

// updateLists caches the node lists, which are read far more often than changed.
func (c *cluster) updateLists() {
	c.sorted = slices.Sorted(maps.Keys(c.nodes))
	c.domains = map[string][]propagation.Member{}

	for _, id := range c.sorted {
		domain := c.nodes[id].domain
		c.domains[domain] = append(c.domains[domain], propagation.Member{ID: id, Address: id})
	}
}

func (c *cluster) members(domain string) []propagation.Member {
	c.mu.Lock()
	defer c.mu.Unlock()

	return slices.Clone(c.domains[domain])
}

func (c *cluster) node(id string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.nodes[id]
}

func (c *cluster) others(id string) []string {
	return slices.DeleteFunc(c.ids(), func(other string) bool { return other == id })
}

// gossip exchanges version numbers with random nodes.
func (c *cluster) gossip(ctx context.Context, n *node) {
	for ctx.Err() == nil {
		c.mu.Lock()
		pause := time.Second/2 + time.Duration(c.random.Int64N(int64(time.Second)))
		c.mu.Unlock()

		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}

		others := c.others(n.id)
		if len(others) == 0 || c.gossipOff {
			continue
		}

		c.mu.Lock()
		other := c.nodes[others[c.random.IntN(len(others))]]
		c.mu.Unlock()

		if other != nil && !n.stalled.Load() && !other.stalled.Load() {
			other.propagator.ObserveVersion(ctx, n.id, n.holder.Number())
			n.propagator.ObserveVersion(ctx, other.id, other.holder.Number())
		}
	}
}

// transport carries the messages of one node, encoded as on a connection.
type transport struct {
	c    *cluster
	from string
}

func (w *transport) Do(ctx context.Context, address string, _ peer.Lane, method string, in, out any) error {
	data, err := msgpack.Marshal(in)
	if err != nil {
		return err
	}

	time.Sleep(500 * time.Microsecond)

	n, from := w.c.node(address), w.c.node(w.from)
	if n == nil || from == nil {
		return peer.ErrUnreachable
	}

	if n.stalled.Load() || from.stalled.Load() {
		<-ctx.Done()

		return peer.ErrBroken
	}

	reply, err := n.answer(ctx, method, data)

	w.c.mu.Lock()
	w.c.messages++
	w.c.bytes += len(data) + len(reply)

	if method == propagation.MethodPull && err == nil {
		w.c.pulls++
	}
	w.c.mu.Unlock()

	time.Sleep(500 * time.Microsecond)

	if err != nil {
		return errs.From(err)
	}

	return peer.Decode(reply, out)
}

func (n *node) answer(ctx context.Context, method string, data []byte) ([]byte, error) {
	handlers := map[string]peer.Handler{
		propagation.MethodPull:   peer.Typed(n.propagator.ServePull),
		propagation.MethodPush:   peer.Typed(n.propagator.ServePush),
		propagation.MethodNumber: peer.Typed(n.propagator.ServeNumber),
	}

	v, err := handlers[method](ctx, data)
	if err != nil {
		return nil, err
	}

	return msgpack.Marshal(v)
}

// accept accepts the current tree.
func (c *cluster) accept() uint64 {
	c.Helper()

	v, err := c.acceptor.Accept(c.Context(), acceptance.Request{
		ID: fmt.Sprintf("id-%d", c.number), Base: c.number, Tree: c.tree, Operator: "op",
	})
	assert.NilError(c, err)

	c.number = v.Number

	return v.Number
}

// change accepts a change of one leaf.
func (c *cluster) change() uint64 {
	c.Helper()

	next := settings.Tree{Branch: c.tree.Branch}
	next.Branches = map[string]settings.Branch{}

	for k, v := range c.tree.Branches {
		next.Branches[k] = v
	}

	b := next.Branches["s000"]
	d := settings.Duration(time.Second + time.Duration(c.number))
	r := b.Routes["open"]
	r.Overrides.Deadline = &d
	b.Routes = map[string]settings.Route{"open": r}
	next.Branches["s000"] = b
	c.tree = next

	return c.accept()
}

// behind returns the nodes that do not hold the version.
func (c *cluster) behind(number uint64) []string {
	var out []string

	for _, id := range c.ids() {
		if n := c.node(id); n.holder.Number() != number {
			out = append(out, fmt.Sprintf("%s has %d %s", id, n.holder.Number(), n.propagator.Trouble()))
		}
	}

	return out
}

func (c *cluster) allActive(number uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, n := range c.nodes {
		if n.holder.Number() != number {
			return false
		}
	}

	return true
}

// waitActive waits until the version is active on all nodes and returns how long it
// took on the synctest clock.
func (c *cluster) waitActive(number uint64) time.Duration {
	c.Helper()

	start := time.Now()

	for time.Since(start) < time.Minute {
		if c.allActive(number) {
			return time.Since(start)
		}

		// Short waits are measured to the millisecond; long ones need fewer checks.
		time.Sleep(max(time.Millisecond, time.Since(start)/4))
	}

	c.Fatalf("version %d is not active on all nodes after a minute: %v", number, c.behind(number))

	return 0
}

type traffic struct{ messages, bytes, pulls, calls int }

func (c *cluster) traffic() traffic {
	n := c.platform.Counts()

	c.mu.Lock()
	defer c.mu.Unlock()

	return traffic{c.messages, c.bytes, c.pulls, int(n.Reads + n.Writes + n.Watches)}
}

func (t traffic) since(o traffic) traffic {
	return traffic{t.messages - o.messages, t.bytes - o.bytes, t.pulls - o.pulls, t.calls - o.calls}
}

func (n *node) count(e event.Event) int {
	total := 0

	for _, entry := range n.recorder.Entries(timeline.Filter{}) {
		if entry.Number == e.Number {
			total++
		}
	}

	return total
}

// acceptInvalid writes a version with a route to an unknown service to the platform,
// as a faulty validation on the operator's side would.
func (c *cluster) acceptInvalid() {
	c.Helper()

	bad := settings.Tree{Branch: c.tree.Branch}
	bad.Branches = map[string]settings.Branch{}

	for k, v := range c.tree.Branches {
		bad.Branches[k] = v
	}

	b := bad.Branches["s000"]
	service := "nowhere"
	b.Overrides.Service = &service
	bad.Branches["s000"] = b

	records, err := bad.Records()
	assert.NilError(c, err)

	store := c.platform.Direct("operator")
	head, revision, err := c.acceptor.Head(c.Context())
	assert.NilError(c, err)

	digests := records.Digests()
	next := acceptance.Head{Base: head.Version.Number, Changed: map[string]settings.Digest{"s000": digests["s000"]}}
	next.Version = settings.Version{Number: c.number + 1, Digest: settings.TreeDigest(digests), AcceptanceID: "bad"}

	manifest, err := msgpack.Marshal(digests)
	assert.NilError(c, err)

	data, err := msgpack.Marshal(next)
	assert.NilError(c, err)

	_, err = store.Swap(c.Context(), acceptance.HeadKey, revision, data,
		keyvalue.Also(
			keyvalue.Entry{Key: "/pollencart/branch/" + string(digests["s000"]), Value: records["s000"]},
			keyvalue.Entry{Key: "/pollencart/manifest/" + string(next.Version.Digest), Value: manifest},
		))
	assert.NilError(c, err)
}

// bufferedStore buffers the changes of a watch until they are read, as a connection
// does.
type bufferedStore struct{ platform.Direct }

func (s bufferedStore) Watch(ctx context.Context, key string, from int64) (<-chan keyvalue.Entry, error) {
	in, err := s.Direct.Watch(ctx, key, from)
	if err != nil {
		return nil, err
	}

	queue, out := make(chan keyvalue.Entry, 1000), make(chan keyvalue.Entry)

	go func() {
		defer close(queue)

		for e := range in {
			queue <- e
		}
	}()

	go func() {
		defer close(out)

		for e := range queue {
			select {
			case out <- e:
			case <-ctx.Done():
				return
			}
		}
	}()

	return out, nil
}
