package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/peer"
)

// Caller sends a message to a peer.
type Caller interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Gossip spreads records and notices nodes that do not answer.
type Gossip struct {
	table   *Table
	peers   Caller
	options Options

	// serving bounds how many comparisons are answered at the same time, so that
	// a herd that starts together does not take the node's memory.
	serving    chan struct{}
	differs    atomic.Pointer[string] // address of the last node whose digest differed
	compareNow chan struct{}
	doubts     doubts // addresses that calls could not reach
	// disputes are IDs of nodes that are dead here and live elsewhere.
	disputes doubts
	health   health
	alone    int // tries to join so far; only join uses it
}

// maxServing is how many comparisons a node answers at the same time.
const maxServing = 8

// NewGossip returns a gossip over the table.
func NewGossip(t *Table, c Caller, opts ...Option) *Gossip {
	return &Gossip{
		table: t, peers: c, options: newOptions(opts...),
		serving:    make(chan struct{}, maxServing),
		compareNow: make(chan struct{}, 1),
		doubts:     newDoubts(), disputes: newDoubts(),
	}
}

// Run gossips until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	var wg sync.WaitGroup

	wg.Go(func() { g.rounds(ctx) })
	wg.Go(func() {
		for ctx.Err() == nil {
			g.compare(ctx)
		}
	})

	for _, loop := range []struct {
		pause time.Duration
		step  func(context.Context)
	}{
		{g.options.Probe, g.probeRandom},
		{g.options.Reconnect, g.reconnect},
		{idlePause, g.join},
	} {
		wg.Go(func() { every(ctx, loop.pause, loop.step) })
	}

	wg.Wait()
}

// every runs a step until ctx ends. Jitter keeps nodes that started together
// from talking in step.
func every(ctx context.Context, pause time.Duration, step func(context.Context)) {
	for ctx.Err() == nil {
		step(ctx)

		idle.For(ctx, jitter(pause))
	}
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// idlePause is the pause between rounds without news.
const idlePause = 500 * time.Millisecond

// rounds does a round a few times a second while there is news, and seldom
// otherwise, so that a quiet fleet costs its hosts next to nothing.
func (g *Gossip) rounds(ctx context.Context) {
	for ctx.Err() == nil {
		g.round(ctx)

		if !g.table.Pending() {
			select {
			case <-ctx.Done():
			case <-g.table.news:
			case <-time.After(idlePause):
			}
		}

		idle.For(ctx, jitter(g.options.Interval))
	}
}

// round spreads news, and does what time demands.
func (g *Gossip) round(ctx context.Context) {
	if gap := g.health.pulse(); gap > 0 {
		g.table.Restart(gap)
	}

	g.table.Expire(g.options.Suspicion)
	g.examine(ctx)

	if g.table.Pending() {
		g.Tell(ctx)
	}
}

// Tell sends news to some nodes of the own failure domain at once. A change of the own
// record goes to one node of each other failure domain, and now and then other news to one
// of them.
//
// Sent to nodes of the whole fleet, most news would cross failure domains, again and
// again, by as many nodes as there are. A change is brought across by the node that it
// is about; what others pass on makes up for what that one could not reach. Who does is
// drawn anew in each round, so that no node is needed for it.
func (g *Gossip) Tell(ctx context.Context) {
	far := g.table.Elsewhere()
	if len(far) > 0 && !g.table.TakeUntold() {
		far = g.relayed(far)
	}

	for _, target := range append(g.table.Near(g.options.Fanout), far...) {
		go func() { _ = g.exchange(ctx, target) }()
	}
}

// relayed returns one of the nodes, or none if it is not this node's turn to talk to
// other failure domains.
func (g *Gossip) relayed(far []Record) []Record {
	if !g.drawn() {
		return nil
	}

	return anyOf(far)
}

// relays is how many nodes of a failure domain talk to others in a round.
const relays = 2

// drawn reports by lot whether this node is one of the relays now.
func (g *Gossip) drawn() bool { return rand.IntN(max(g.table.CountNear(), 1)) < relays }

// anyOf returns one of the records, if there is one.
func anyOf(records []Record) []Record {
	if len(records) == 0 {
		return nil
	}

	i := rand.IntN(len(records))

	return records[i : i+1]
}

// Leave tells some live nodes that this one leaves, and returns when they know.
// The process ends after it, so nobody would pass the news on later.
func (g *Gossip) Leave(ctx context.Context) {
	g.table.Update(func(r Record) Record { return r.WithState(StateLeft) })

	var wg sync.WaitGroup

	for _, target := range append(g.table.Near(g.options.Fanout), g.table.Elsewhere()...) {
		wg.Go(func() { _ = g.exchange(ctx, target) })
	}

	wg.Wait()
}

// exchange probes a node and trades news with it.
func (g *Gossip) exchange(ctx context.Context, target Record) error {
	ctx, cancel := context.WithTimeout(ctx, g.health.stretch(g.options.Timeout))
	defer cancel()

	reply, err := g.talk(ctx, target.ID, target.PeerAddress)
	if err != nil {
		return err
	}

	if reply.From != target.ID {
		return ErrRecord.With("%s answers at the address of %s", reply.From, target.ID)
	}

	return nil
}

func (g *Gossip) talk(ctx context.Context, id, address string) (Exchange, error) {
	var reply Exchange
	if err := g.peers.Do(ctx, address, peer.LaneControl, MethodExchange, g.message(id, nil), &reply); err != nil {
		return reply, err
	}

	g.hear(reply)
	g.options.Hear(context.WithoutCancel(ctx), reply.Address, reply.Version)

	return reply, nil
}

// message is what a node is sent, which has just sent these records itself.
func (g *Gossip) message(to string, had []Record) Exchange {
	self := g.table.Self()
	records, beliefs := g.table.News(maxNews, to, had...)

	return Exchange{
		From: self.ID, Address: self.PeerAddress, Hash: g.table.Hash(), Version: g.options.Version(),
		Records: records, Beliefs: beliefs, StoreEpoch: g.options.Epochs.Number(),
	}
}

func (g *Gossip) hear(e Exchange) {
	g.table.MergeFrom(e.From, e.Records)
	g.table.Believe(e.Beliefs)

	if e.StoreEpoch != 0 {
		g.options.Epochs.Observe(e.StoreEpoch)
	}

	if e.Hash != g.table.Hash() && g.repairsWith(e.From) {
		g.compareWith(e.Address)
	}
}

// compareWith has the digests compared with those of the node at an address soon.
func (g *Gossip) compareWith(address string) {
	g.differs.Store(&address)

	select {
	case g.compareNow <- struct{}{}:
	default:
	}
}

// repairsWith reports whether a difference with a node is worth a comparison now. Those
// with nodes of other failure domains are made by a few at a time: what they bring is
// then compared at home.
func (g *Gossip) repairsWith(id string) bool {
	r, known := g.table.Find(id)

	return !known || r.FailureDomain == g.table.Self().FailureDomain || g.drawn()
}

// Serve answers a probe.
func (g *Gossip) Serve(ctx context.Context, in Exchange) (Exchange, error) {
	g.hear(in)

	// Hear may wait, and the answer must not; most messages bring no newer version.
	if in.Version > g.options.Version() {
		go g.options.Hear(context.WithoutCancel(ctx), in.Address, in.Version)
	}

	return g.message(in.From, in.Records), nil
}
