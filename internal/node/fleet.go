package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pollencart/pollencart/internal/bootstrap"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Peer methods that return a node's status and events.
const (
	methodStatus   = "Node.Status"
	methodTimeline = "Node.Timeline"
)

// queryTimeout bounds how long an operator's request waits for one node, and
// maxConcurrentQueries how many nodes it contacts at the same time.
const (
	queryTimeout         = 2 * time.Second
	maxConcurrentQueries = 32
)

// initFleet creates the member table, peer discovery and gossip.
func (n *Node) initFleet() {
	c := n.config
	n.table = membership.NewTable(membership.Record{
		ID: c.ID, Incarnation: uint64(time.Now().UnixMicro()), Region: c.Region, FailureDomain: c.FailureDomain,
		PeerAddress: c.PeerAddress, CallerAddress: c.CallerAddress, ControlAddress: c.ControlAddress,
	}, n.recorder)
	n.bootstrap = bootstrap.New(n.store, n.table, c.FailureDomain)
	n.gossip = membership.NewGossip(n.table, n.client,
		membership.Seeds(c.Peers...), membership.FindPeers(n.bootstrap.FindPeers), membership.Version(n.holder.Number),
		membership.ObserveVersion(n.propagator.ObserveVersion))
}

type empty struct{}

func (n *Node) localStatus(context.Context, empty) (operator.NodeStatus, error) {
	active := n.holder.Active()

	return operator.NodeStatus{
		ID: n.config.ID, FailureDomain: n.config.FailureDomain, MemberState: membership.StateAlive.String(),
		Version: n.holder.Number(), AcceptedAt: n.acceptedAt(), ActiveSince: active.Since, Source: active.Source,
		Heard: n.propagator.Heard(), Trouble: n.propagator.Trouble(),
		Upstream: n.table.Self().Upstream, InFlight: n.inFlight.Load() + n.gate.Running(), ReadyBackends: n.table.CountReady(),
	}, nil
}

func (n *Node) localTimeline(_ context.Context, f timeline.Filter) ([]timeline.Entry, error) {
	return n.recorder.Entries(f), nil
}

// Status collects the status of every known node.
func (n *Node) Status(ctx context.Context) operator.Status {
	records := n.table.Records()
	nodes := make([]operator.NodeStatus, len(records))

	n.queryAll(ctx, records, func(ctx context.Context, i int, r membership.Record) {
		nodes[i] = n.statusOf(ctx, r)
	})

	return operator.NewStatus(n.Floor(), nodes)
}

func (n *Node) statusOf(ctx context.Context, r membership.Record) operator.NodeStatus {
	s := operator.NodeStatus{}

	if r.State == membership.StateLeft {
		return operator.NodeStatus{ID: r.ID, FailureDomain: r.FailureDomain, MemberState: r.State.String(), Error: "left"}
	}

	if err := n.client.Do(ctx, r.PeerAddress, peer.LaneControl, methodStatus, empty{}, &s); err != nil {
		s = operator.NodeStatus{ID: r.ID, FailureDomain: r.FailureDomain, Upstream: r.Upstream, Error: err.Error()}
	}

	s.MemberState = r.State.String()

	return s
}

// Timeline merges the events of all live nodes that answer.
func (n *Node) Timeline(ctx context.Context, f timeline.Filter) []timeline.Entry {
	var (
		mu    sync.Mutex
		lists [][]timeline.Entry
	)

	n.queryAll(ctx, n.table.Live(), func(ctx context.Context, _ int, r membership.Record) {
		var entries []timeline.Entry
		if n.client.Do(ctx, r.PeerAddress, peer.LaneControl, methodTimeline, f, &entries) != nil {
			return
		}

		mu.Lock()
		defer mu.Unlock()

		lists = append(lists, entries)
	})

	return timeline.Merge(lists...)
}

func (n *Node) queryAll(
	ctx context.Context, records []membership.Record, query func(context.Context, int, membership.Record),
) {
	var g errgroup.Group

	g.SetLimit(maxConcurrentQueries)

	for i, r := range records {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()

			query(ctx, i, r)

			return nil
		})
	}

	_ = g.Wait()
}

// Floor returns the newest settings version that this node knows of.
func (n *Node) Floor() uint64 { return n.propagator.Heard() }

func (n *Node) acceptedAt() time.Time {
	if s := n.holder.Load(); s != nil {
		return s.Version().AcceptedAt
	}

	return time.Time{}
}
