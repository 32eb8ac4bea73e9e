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

// network simulates the connections between nodes: it encodes, counts and delivers messages,
// with configurable cuts and stalled nodes.
type network struct {
	mu          sync.Mutex
	nodes       map[string]*simNode // by address
	cut         func(from, to string) bool
	stalled     map[string]bool
	sent        map[string]traffic // by sender
	crossDomain traffic            // between failure domains, sum of all nodes
}

type traffic struct{ messages, bytes int }

type simNode struct {
	table    *membership.Table
	gossip   *membership.Gossip
	recorder *timeline.Recorder
	stop     context.CancelFunc
	methods  map[string]peer.Handler
}

// endpoint is a node's connection to the network.
type endpoint struct {
	network *network
	address string
}

const delay = time.Millisecond

func newNetwork() *network {
	return &network{
		nodes: map[string]*simNode{}, stalled: map[string]bool{}, sent: map[string]traffic{},
		cut: func(string, string) bool { return false },
	}
}

func (p endpoint) Do(ctx context.Context, address string, _ peer.Lane, method string, in, out any) error {
	data, err := msgpack.Marshal(in)
	if err != nil {
		return err
	}

	n := p.network
	to, delivered := n.transmit(p.address, address, len(data))

	if to == nil {
		wait(ctx)

		return peer.ErrUnreachable
	}

	if !delivered {
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

	if _, delivered = n.transmit(address, p.address, len(data)); !delivered {
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

// transmit counts a message, and returns the receiver and whether the message is delivered.
func (n *network) transmit(from, to string, size int) (*simNode, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	t := n.sent[from]
	t.messages++
	t.bytes += size
	n.sent[from] = t

	if n.domain(from) != n.domain(to) {
		n.crossDomain.messages++
		n.crossDomain.bytes += size
	}

	return n.nodes[to], !n.cut(from, to) && !n.stalled[from] && !n.stalled[to]
}

// domain returns the failure domain of the node at an address, or "" if no node runs there.
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

		n.crossDomain = traffic{}
	})
}

// crossDomainTraffic returns the traffic between failure domains.
func (n *network) crossDomainTraffic() traffic {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.crossDomain
}

// busiest returns the largest message and byte counts of any node.
func (n *network) busiest() traffic {
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
	s.gossip = membership.NewGossip(s.table, endpoint{n, r.PeerAddress}, opts...)
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

// kill stops a node without letting it leave.
func (n *network) kill(id string) {
	n.set(func() {
		n.nodes[address(id)].stop()
		delete(n.nodes, address(id))
	})
}

func nodeID(i int) string { return fmt.Sprintf("node-%04d", i) }

// fleet starts count nodes that use the first two as seeds.
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

// agree reports whether every node considers count nodes live.
func (n *network) agree(count int) bool {
	for _, s := range n.all() {
		if s.table.CountLive() != count {
			return false
		}
	}

	return true
}

// until waits, in the time of the synctest bubble, for a condition and returns how long it
// took.
func until(t *testing.T, limit time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()

	start := time.Now()
	for !holds() {
		if time.Since(start) > limit {
			t.Fatalf("%s: not within %s", what, limit)
		}

		time.Sleep(50 * time.Millisecond)
	}

	return time.Since(start)
}
