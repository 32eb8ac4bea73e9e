package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/peer"
)

// PeerClient sends a request to a peer.
type PeerClient interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Gossip distributes member records and detects failed nodes.
type Gossip struct {
	table   *Table
	peers   PeerClient
	options Options

	// comparing limits the comparisons served concurrently, which bounds memory when many
	// nodes start at once.
	comparing      chan struct{}
	compareAddress atomic.Pointer[string] // peer address of the latest node whose digest differed
	compareNow     chan struct{}
	probeQueue     probeQueue // addresses that calls could not reach
	// disputed holds IDs of nodes that are dead in this table and live on another node.
	disputed     probeQueue
	health       health
	joinAttempts int // failed attempts to join; used by join only
}

// maxComparisons is the maximum number of comparisons that a node serves concurrently.
const maxComparisons = 8

// NewGossip returns a Gossip over the table.
func NewGossip(t *Table, c PeerClient, opts ...Option) *Gossip {
	return &Gossip{
		table: t, peers: c, options: newOptions(opts...),
		comparing:  make(chan struct{}, maxComparisons),
		compareNow: make(chan struct{}, 1),
		probeQueue: newProbeQueue(), disputed: newProbeQueue(),
	}
}

// Run runs the gossip protocol until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	var wg sync.WaitGroup

	wg.Go(func() { g.runRounds(ctx) })
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

// every runs a step repeatedly until ctx ends. Jitter prevents nodes that started together
// from sending in lockstep.
func every(ctx context.Context, pause time.Duration, step func(context.Context)) {
	for ctx.Err() == nil {
		step(ctx)

		idle.For(ctx, jitter(pause))
	}
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// idlePause is the maximum wait for changes between rounds.
const idlePause = 500 * time.Millisecond

// runRounds runs several rounds a second while there are changes to send, and few otherwise,
// so that an idle fleet causes little load.
func (g *Gossip) runRounds(ctx context.Context) {
	for ctx.Err() == nil {
		g.round(ctx)

		if !g.table.Pending() {
			select {
			case <-ctx.Done():
			case <-g.table.changed:
			case <-time.After(idlePause):
			}
		}

		idle.For(ctx, jitter(g.options.Interval))
	}
}

// round applies timeouts, starts queued probes and sends pending changes.
func (g *Gossip) round(ctx context.Context) {
	if gap := g.health.recordRound(); gap > 0 {
		g.table.RestartTimeouts(gap)
	}

	g.table.Expire(g.options.Suspicion)
	g.runQueuedProbes(ctx)

	if g.table.Pending() {
		g.SendChanges(ctx)
	}
}

// SendChanges sends pending changes to a few nodes of the local failure domain. A change of the
// local record also goes to one node of each other failure domain; other changes go to one
// of these nodes now and then.
//
// If changes went to nodes of the whole fleet, most would cross failure domains, many times
// each. Instead, the node that a change is about sends it across, and random relays make up
// for nodes that it could not reach. Relays are sampled anew in each round, so that no
// single node is required.
func (g *Gossip) SendChanges(ctx context.Context) {
	otherDomains := g.table.RandomPerOtherDomain()
	if len(otherDomains) > 0 && !g.table.TakeSelfChanged() {
		otherDomains = g.relayTarget(otherDomains)
	}

	for _, target := range append(g.table.RandomNear(g.options.Fanout), otherDomains...) {
		go func() { _ = g.exchange(ctx, target) }()
	}
}

// relayTarget returns one random node of the given ones, or none if this node is not a relay
// in this round.
func (g *Gossip) relayTarget(otherDomains []Record) []Record {
	if !g.isRelay() {
		return nil
	}

	return randomOne(otherDomains)
}

// relaysPerRound is the expected number of nodes per failure domain that relay changes to
// other failure domains in a round.
const relaysPerRound = 2

// isRelay randomly decides whether this node acts as a relay.
func (g *Gossip) isRelay() bool { return rand.IntN(max(g.table.CountNear(), 1)) < relaysPerRound }

// randomOne returns a slice with one random record, or nil if there are none.
func randomOne(records []Record) []Record {
	if len(records) == 0 {
		return nil
	}

	i := rand.IntN(len(records))

	return records[i : i+1]
}

// Leave marks this node as left, sends this to some live nodes and waits for their replies. It
// is synchronous because the process exits afterwards.
func (g *Gossip) Leave(ctx context.Context) {
	g.table.Update(func(r Record) Record { return r.WithState(StateLeft) })

	var wg sync.WaitGroup

	for _, target := range append(g.table.RandomNear(g.options.Fanout), g.table.RandomPerOtherDomain()...) {
		wg.Go(func() { _ = g.exchange(ctx, target) })
	}

	wg.Wait()
}

// exchange probes a node and exchanges changes with it.
func (g *Gossip) exchange(ctx context.Context, target Record) error {
	ctx, cancel := context.WithTimeout(ctx, g.health.scaleTimeout(g.options.Timeout))
	defer cancel()

	reply, err := g.sendExchange(ctx, target.ID, target.PeerAddress)
	if err != nil {
		return err
	}

	if reply.From != target.ID {
		return ErrRecord.With("%s answers at the address of %s", reply.From, target.ID)
	}

	return nil
}

func (g *Gossip) sendExchange(ctx context.Context, id, address string) (Exchange, error) {
	var reply Exchange
	if err := g.peers.Do(ctx, address, peer.LaneControl, MethodExchange, g.newExchange(id, nil), &reply); err != nil {
		return reply, err
	}

	g.receive(reply)
	g.options.ObserveVersion(membudget.Detach(ctx), reply.Address, reply.Version)

	return reply, nil
}

// newExchange returns the next message to a node, without the records that were just received
// from that node.
func (g *Gossip) newExchange(to string, received []Record) Exchange {
	self := g.table.Self()
	records, beliefs := g.table.TakeChanges(maxChanges, to, received...)

	return Exchange{
		From: self.ID, Address: self.PeerAddress, Hash: g.table.Hash(), Version: g.options.Version(),
		Records: records, Beliefs: beliefs, StoreEpoch: g.options.Epochs.Number(),
	}
}

func (g *Gossip) receive(e Exchange) {
	g.table.MergeFrom(e.From, e.Records)
	g.table.MergeBeliefs(e.Beliefs)

	if e.StoreEpoch != 0 {
		g.options.Epochs.Observe(e.StoreEpoch)
	}

	if e.Hash != g.table.Hash() && g.shouldCompare(e.From) {
		g.scheduleCompare(e.Address)
	}
}

// scheduleCompare requests a digest comparison with the node at an address.
func (g *Gossip) scheduleCompare(address string) {
	g.compareAddress.Store(&address)

	select {
	case g.compareNow <- struct{}{}:
	default:
	}
}

// shouldCompare reports whether a digest difference with a node triggers a comparison. Only
// relays compare with nodes of other failure domains; the results then spread by comparisons
// within the local failure domain.
func (g *Gossip) shouldCompare(id string) bool {
	r, known := g.table.Find(id)

	return !known || r.FailureDomain == g.table.Self().FailureDomain || g.isRelay()
}

// Serve answers an exchange.
func (g *Gossip) Serve(ctx context.Context, in Exchange) (Exchange, error) {
	g.receive(in)

	// The handler may block, and the reply must not wait for it. Most messages carry no newer
	// version.
	if in.Version > g.options.Version() {
		go g.options.ObserveVersion(membudget.Detach(ctx), in.Address, in.Version)
	}

	return g.newExchange(in.From, in.Records), nil
}
