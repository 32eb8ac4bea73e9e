package configsync

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pollencart/pollencart/internal/epoch"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/timeline"
)

const storeKey = "configuration"

// simulation is a store and nodes in one or more failure domains.
type simulation struct {
	domains       int
	mu            sync.Mutex
	version       int64
	written       int64 // the revision at which the version was written
	revision      int64
	epochNumber   uint64 // epoch of the store
	changed       chan struct{}
	watchesSilent bool            // watches return no changes
	rejected      map[string]bool // nodes that the store rejects
	silent        map[string]bool // nodes that the store no longer answers
	calls         int
	watchers      int // open watches
	nodes         map[string]*node
	records       []membership.Record
	isolated      map[string]bool // nodes that can't communicate with other nodes
	hung          map[string]bool // nodes that accept connections and never answer
	faults        faults
}

type node struct {
	id           string
	record       membership.Record
	simulation   *simulation
	holder       *route.Holder
	epoch        *epoch.Current
	reported     *timeline.Recorder
	syncer       *Syncer
	stop         context.CancelFunc
	calls        int // to the store
	checkedAt    time.Time
	failingReads int // number of next reads that fail
}

func newSimulation(t *testing.T, count int) *simulation {
	t.Helper()

	return newSimulationIn(t, 1, count)
}

func newSimulationIn(t *testing.T, domains, count int, opts ...func(*Options)) *simulation {
	t.Helper()

	sim := &simulation{
		domains: domains, epochNumber: 1, changed: make(chan struct{}), rejected: map[string]bool{}, silent: map[string]bool{},
		isolated: map[string]bool{}, hung: map[string]bool{}, nodes: map[string]*node{}, faults: newFaults(),
	}
	ctx, cancel := context.WithCancel(context.Background())

	var wg sync.WaitGroup

	for i := range count {
		sim.records = append(sim.records, sim.record(i))
	}

	for i := range count {
		n := sim.newNode("n"+strconv.Itoa(i), opts...)
		sim.nodes[n.id] = n
	}

	for _, n := range sim.nodes {
		nodeCtx, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		n.stop = func() {
			stop()
			<-ended
		}

		wg.Go(func() {
			defer close(ended)

			n.syncer.Run(nodeCtx)
		})
	}

	t.Cleanup(func() {
		cancel()
		wg.Wait()
		time.Sleep(time.Second) // messages in flight end
	})

	return sim
}

// newNode returns a new process of a node, which is not running yet.
func (sim *simulation) newNode(id string, opts ...func(*Options)) *node {
	i, _ := strconv.Atoi(strings.TrimPrefix(id, "n"))
	n := &node{id: id, record: sim.record(i), simulation: sim, holder: &route.Holder{}, epoch: epoch.New(), reported: timeline.New()}

	o := Options{Key: storeKey, Decode: n.decode, Store: n, Holder: n.holder, Peers: n, Members: n, Recorder: n.reported, Epoch: n.epoch}
	for _, opt := range opts {
		opt(&o)
	}

	n.syncer = New(o)

	return n
}

// restart runs a new process of a node. The function stop ends it and waits for its end.
func (sim *simulation) restart(id string) (n *node, stop func()) {
	n = sim.newNode(id)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})

	go func() {
		defer close(ended)

		n.syncer.Run(ctx)
	}()

	return n, func() {
		cancel()
		<-ended
	}
}

func (n *node) decode(data []byte) (*route.Table, error) {
	n.pause(context.Background())

	const step = 20 * time.Millisecond

	for start := time.Now(); ; time.Sleep(step) {
		var takes time.Duration

		n.simulation.locked(func() { takes = n.simulation.faults.decodes[n.id] })

		if time.Since(start) >= takes {
			return decode(data)
		}
	}
}

func decode(data []byte) (*route.Table, error) {
	var version uint64
	if err := json.Unmarshal(data, &version); err != nil {
		return nil, err
	}

	return route.New(version, route.Limits{}, nil, nil)
}

// write stores the operator's next version.
func (sim *simulation) write(version int64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()

	sim.revision++
	sim.version, sim.written = version, sim.revision

	if !sim.watchesSilent {
		close(sim.changed)
		sim.changed = make(chan struct{})
	}
}

func (sim *simulation) locked(f func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()

	f()
}

func (sim *simulation) node(id string) (n *node) {
	sim.locked(func() { n = sim.nodes[id] })

	return n
}

// lowestVersion returns the lowest version that is active on a node.
func (sim *simulation) lowestVersion() uint64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()

	out := uint64(1 << 60)
	for _, n := range sim.nodes {
		out = min(out, n.holder.Number())
	}

	return out
}

// awaitVersion waits until the version is active on all nodes, and fails after the bound.
func (sim *simulation) awaitVersion(t *testing.T, version uint64, bound time.Duration) {
	t.Helper()

	start := time.Now()
	for sim.lowestVersion() < version {
		if time.Since(start) > bound {
			t.Fatalf("version %d is not active on all nodes after %s", version, bound)
		}

		time.Sleep(10 * time.Millisecond)
	}
}

func (n *node) Neighbours() []membership.Record {
	self := n.Self()

	return slices.DeleteFunc(n.simulation.listedRecords(), func(r membership.Record) bool {
		return r.ID == self.ID || r.FailureDomain != self.FailureDomain
	})
}

func (n *node) Domains() []string {
	var out []string
	for i := range n.simulation.domains {
		out = append(out, "d"+strconv.Itoa(i))
	}

	return out
}

func (sim *simulation) record(i int) membership.Record {
	id := "n" + strconv.Itoa(i)

	return membership.Record{ID: id, PeerAddress: id, FailureDomain: "d" + strconv.Itoa(i%sim.domains)}
}

func (n *node) Self() membership.Record { return n.record }

func (n *node) FirstOf(domain string, count int) []membership.Record {
	n.simulation.mu.Lock()
	defer n.simulation.mu.Unlock()

	var out []membership.Record

	for i := range n.simulation.records {
		if r := &n.simulation.records[i]; len(out) < count && r.FailureDomain == domain && n.simulation.listed(r.ID) {
			out = append(out, *r)
		}
	}

	return out
}

func (n *node) Chosen(id, domain string, count int) bool {
	return slices.ContainsFunc(n.FirstOf(domain, count), func(r membership.Record) bool { return r.ID == id })
}

func (n *node) Do(ctx context.Context, address string, _ peer.Lane, method string, in, out any) error {
	time.Sleep(time.Millisecond)
	n.pause(ctx)

	other, err := n.connect(ctx, address)
	if err != nil {
		return err
	}

	err = n.send(ctx, other, method, in, out)

	if ctx.Err() != nil {
		return peer.ErrBroken
	}

	return err
}

// connect returns the node at an address once it handles a message.
func (n *node) connect(ctx context.Context, address string) (*node, error) {
	n.simulation.mu.Lock()
	isolated := n.simulation.isolated[address] || n.simulation.isolated[n.id]
	hung := n.simulation.hung[address] || n.simulation.unreachable(n.id, address)
	_, dead := n.simulation.faults.deadAt[address]
	n.simulation.mu.Unlock()

	if hung {
		<-ctx.Done()

		return nil, peer.ErrBroken
	}

	if isolated || dead {
		return nil, peer.ErrUnreachable
	}

	other := n.simulation.node(address)
	other.pause(ctx)

	if ctx.Err() != nil {
		return nil, peer.ErrBroken
	}

	return other, nil
}

func (n *node) send(ctx context.Context, other *node, method string, in, out any) (err error) {
	s := other.syncer

	switch method {
	case methodPull:
		*out.(*versionUpdate), err = s.servePull(ctx, in.(versionMessage))
		n.simulation.transfer(ctx, n.simulation.faults.wireBytes(*out.(*versionUpdate)), other.id, n.id)
	case methodPush:
		n.simulation.transfer(ctx, n.simulation.faults.wireBytes(in.(versionUpdate)), n.id, other.id)

		if ctx.Err() == nil {
			*out.(*versionMessage), err = s.servePush(ctx, in.(versionUpdate))
		}
	case methodNotify:
		*out.(*versionMessage), err = s.serveNotify(ctx, in.(notice))
	case methodHint:
		*out.(*versionMessage), err = s.serveHint(ctx, in.(versionMessage))
	}

	return err
}
