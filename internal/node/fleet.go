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

// Peer methods that tell what a node holds.
const (
	methodStatus   = "Node.Status"
	methodTimeline = "Node.Timeline"
)

// askTimeout bounds how long an operator waits on a node that does not answer,
// askAtOnce how many are asked at the same time.
const (
	askTimeout = 2 * time.Second
	askAtOnce  = 32
)

// fleet makes what knows the other nodes.
func (n *Node) fleet() {
	c := n.config
	n.table = membership.NewTable(membership.Record{
		ID: c.ID, Incarnation: uint64(time.Now().UnixMicro()), Region: c.Region, FailureDomain: c.FailureDomain,
		PeerAddress: c.PeerAddress, CallerAddress: c.CallerAddress, ControlAddress: c.ControlAddress,
	}, n.recorder)
	n.bootstrap = bootstrap.New(n.store, n.table, c.FailureDomain)
	n.gossip = membership.NewGossip(n.table, n.client,
		membership.Seeds(c.Peers...), membership.FindPeers(n.bootstrap.FindPeers), membership.Version(n.holder.Number),
		membership.ObserveVersion(n.spreader.ObserveVersion))
}

type nothing struct{}

func (n *Node) ownStatus(context.Context, nothing) (operator.NodeStatus, error) {
	held := n.holder.Held()

	return operator.NodeStatus{
		ID: n.config.ID, FailureDomain: n.config.FailureDomain, Belief: membership.StateAlive.String(),
		Version: n.holder.Number(), AcceptedAt: n.acceptedAt(), InForceSince: held.Since, Source: held.Source,
		Heard: n.spreader.Heard(), Trouble: n.spreader.Trouble(),
		Upstream: n.table.Self().Upstream, InFlight: n.inFlight.Load() + n.gate.Running(), Known: n.table.CountReady(),
	}, nil
}

func (n *Node) ownTimeline(_ context.Context, f timeline.Filter) ([]timeline.Entry, error) {
	return n.recorder.Entries(f), nil
}

// Status asks every node that is known.
func (n *Node) Status(ctx context.Context) operator.Status {
	records := n.table.Records()
	nodes := make([]operator.NodeStatus, len(records))

	n.askAll(ctx, records, func(ctx context.Context, i int, r membership.Record) {
		nodes[i] = n.statusOf(ctx, r)
	})

	return operator.NewStatus(n.Floor(), nodes)
}

func (n *Node) statusOf(ctx context.Context, r membership.Record) operator.NodeStatus {
	s := operator.NodeStatus{}

	if r.State == membership.StateLeft {
		return operator.NodeStatus{ID: r.ID, FailureDomain: r.FailureDomain, Belief: r.State.String(), Error: "left"}
	}

	if err := n.client.Do(ctx, r.PeerAddress, peer.LaneControl, methodStatus, nothing{}, &s); err != nil {
		s = operator.NodeStatus{ID: r.ID, FailureDomain: r.FailureDomain, Upstream: r.Upstream, Error: err.Error()}
	}

	s.Belief = r.State.String()

	return s
}

// Timeline merges the events of every node that answers.
func (n *Node) Timeline(ctx context.Context, f timeline.Filter) []timeline.Entry {
	var (
		mu    sync.Mutex
		lists [][]timeline.Entry
	)

	n.askAll(ctx, n.table.Live(), func(ctx context.Context, _ int, r membership.Record) {
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

func (n *Node) askAll(
	ctx context.Context, records []membership.Record, ask func(context.Context, int, membership.Record),
) {
	var g errgroup.Group

	g.SetLimit(askAtOnce)

	for i, r := range records {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()

			ask(ctx, i, r)

			return nil
		})
	}

	_ = g.Wait()
}

// Floor returns the newest version known here.
func (n *Node) Floor() uint64 { return n.spreader.Heard() }

func (n *Node) acceptedAt() time.Time {
	if s := n.holder.Load(); s != nil {
		return s.Version().AcceptedAt
	}

	return time.Time{}
}
