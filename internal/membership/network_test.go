package membership_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/timeline"
)

// network is a fake of the connections between nodes: it encodes, counts and
// delivers messages, with cuts and frozen nodes on demand.
type network struct {
	mu     sync.Mutex
	nodes  map[string]*simNode // by address
	cut    func(from, to string) bool
	frozen map[string]bool
	sent   map[string]traffic // by sender
	far    traffic            // between failure domains, of all nodes
}

type traffic struct{ messages, bytes int }

type simNode struct {
	table    *membership.Table
	gossip   *membership.Gossip
	recorder *timeline.Recorder
	stop     context.CancelFunc
	methods  map[string]peer.Handler
}

// port is a node's end of the network.
type port struct {
	network *network
	address string
}

const delay = time.Millisecond

func newNetwork() *network {
	return &network{
		nodes: map[string]*simNode{}, frozen: map[string]bool{}, sent: map[string]traffic{},
		cut: func(string, string) bool { return false },
	}
}

func (p port) Do(ctx context.Context, address string, _ peer.Lane, method string, in, out any) error {
	data, err := msgpack.Marshal(in)
	if err != nil {
		return err
	}

	n := p.network
	to, passes := n.carry(p.address, address, len(data))

	if to == nil {
		wait(ctx)

		return peer.ErrUnreachable
	}

	if !passes {
		<-ctx.Done()

		return peer.ErrBroken
	}

	wait(ctx)

	v, err := to.methods[method](ctx, data)
	if err != nil {
		return err
	}

	if data, err = msgpack.Marshal(v); err != nil {
		return err
	}

	if _, passes = n.carry(address, p.address, len(data)); !passes {
		<-ctx.Done()

		return peer.ErrBroken
	}

	wait(ctx)

	return peer.Decode(data, out)
}

func wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// carry counts a message and reports whether it gets through.
func (n *network) carry(from, to string, size int) (*simNode, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	t := n.sent[from]
	t.messages++
	t.bytes += size
	n.sent[from] = t

	if n.domain(from) != n.domain(to) {
		n.far.messages++
		n.far.bytes += size
	}

	return n.nodes[to], !n.cut(from, to) && !n.frozen[from] && !n.frozen[to]
}

// domain returns the failure domain of the node at an address, none if it is gone.
func (n *network) domain(address string) string {
	s := n.nodes[address]
	if s == nil {
		return ""
	}

	return s.table.Self().FailureDomain
}

func (n *network) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()

	change()
}

func (n *network) resetTraffic() {
	n.set(func() {
		clear(n.sent)

		n.far = traffic{}
	})
}

// between returns the traffic between failure domains.
func (n *network) between() traffic {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.far
}

// most returns the largest traffic of one node.
func (n *network) most() traffic {
	n.mu.Lock()
	defer n.mu.Unlock()

	var m traffic
	for _, t := range n.sent {
		m.messages = max(m.messages, t.messages)
		m.bytes = max(m.bytes, t.bytes)
	}

	return m
}

func record(id string, incarnation uint64) membership.Record {
	return membership.Record{
		ID: id, Incarnation: incarnation, Epoch: incarnation, State: membership.StateAlive, Region: "midlands", FailureDomain: "nottm-a",
		PeerAddress: id + ":7000", CallerAddress: "127.0.0.1:8000", ControlAddress: "127.0.0.1:8001",
		Upstream: membership.Upstream{Service: "browse", State: membership.UpstreamReady, Slots: 10, Connections: 100},
	}
}

func address(id string) string { return id + ":7000" }

// start starts a node and returns it.
func (n *network) start(t *testing.T, id string, incarnation uint64, opts ...membership.Option) *simNode {
	t.Helper()

	return n.startAs(t, record(id, incarnation), opts...)
}

func (n *network) startAs(t *testing.T, r membership.Record, opts ...membership.Option) *simNode {
	t.Helper()

	s := &simNode{recorder: timeline.New(timeline.Node(r.ID))}
	s.table = membership.NewTable(r, s.recorder)
	s.gossip = membership.NewGossip(s.table, port{n, r.PeerAddress}, opts...)
	s.methods = map[string]peer.Handler{
		membership.MethodExchange: peer.Typed(s.gossip.Serve),
		membership.MethodProbe:    peer.Typed(s.gossip.ServeProbe),
		membership.MethodDigest:   peer.Typed(s.gossip.ServeDigest),
		membership.MethodRecords:  peer.Typed(s.gossip.ServeRecords),
	}

	ctx, stop := context.WithCancel(t.Context())
	s.stop = stop

	n.set(func() { n.nodes[r.PeerAddress] = s })

	go s.gossip.Run(ctx)

	return s
}

// kill ends a node without its notice.
func (n *network) kill(id string) {
	n.set(func() {
		n.nodes[address(id)].stop()
		delete(n.nodes, address(id))
	})
}

func nodeID(i int) string { return fmt.Sprintf("node-%04d", i) }

// fleet starts count nodes that know the first as their seed.
func (n *network) fleet(t *testing.T, count int, opts ...membership.Option) []*simNode {
	t.Helper()

	opts = append([]membership.Option{membership.Seeds(address(nodeID(0)), address(nodeID(1)))}, opts...)

	var out []*simNode
	for i := range count {
		out = append(out, n.start(t, nodeID(i), uint64(1+i), opts...))
	}

	return out
}

func (n *network) all() []*simNode {
	n.mu.Lock()
	defer n.mu.Unlock()

	return slices.Collect(maps.Values(n.nodes))
}

// agree reports whether all nodes hold count nodes for live.
func (n *network) agree(count int) bool {
	for _, s := range n.all() {
		if s.table.CountLive() != count {
			return false
		}
	}

	return true
}

// until waits in the bubble's time, and returns how long it took.
func until(t *testing.T, limit time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()

	start := time.Now()
	for !holds() {
		if time.Since(start) > limit {
			t.Fatalf("%s: not after %s", what, limit)
		}

		time.Sleep(50 * time.Millisecond)
	}

	return time.Since(start)
}
