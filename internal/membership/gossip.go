package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pollencart/pollencart/internal/peer"
)

// MethodExchange is the peer method of gossip.
const MethodExchange = "Membership.Exchange"

// Exchange is one gossip message, in both directions.
type Exchange struct {
	From    Record   `msgpack:"From"`
	Hash    uint64   `msgpack:"Hash"`
	Version uint64   `msgpack:"Version"`
	Records []Record `msgpack:"Records"`
}

// Check reports whether a decoded message can be used.
func (e *Exchange) Check() error {
	for i := range e.Records {
		if err := e.Records[i].Check(); err != nil {
			return err
		}
	}

	return e.From.Check()
}

// Caller sends a message to a peer.
type Caller interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Gossip spreads records and notices nodes that do not answer.
type Gossip struct {
	table   *Table
	peers   Caller
	options Options
}

// NewGossip returns a gossip over the table.
func NewGossip(t *Table, c Caller, opts ...Option) *Gossip {
	return &Gossip{table: t, peers: c, options: newOptions(opts...)}
}

// Run gossips until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	for ctx.Err() == nil {
		g.round(ctx)
		g.table.Expire(g.options.Suspicion)

		// Jitter keeps nodes that started together from talking in step.
		pause := g.options.Interval/2 + rand.N(g.options.Interval)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (g *Gossip) round(ctx context.Context) {
	if target, ok := g.target(); ok {
		if err := g.talk(ctx, target.PeerAddress); err != nil {
			g.table.Suspect(target.ID)
		}

		return
	}

	for _, address := range g.options.Seeds {
		if address != g.table.Self().PeerAddress && g.talk(ctx, address) == nil {
			return
		}
	}
}

func (g *Gossip) target() (Record, bool) {
	self := g.table.Self().ID

	var others []Record

	for _, r := range g.table.Records() {
		if r.ID != self && r.State != StateLeft {
			others = append(others, r)
		}
	}

	if len(others) == 0 {
		return Record{}, false
	}

	return others[rand.IntN(len(others))], true
}

func (g *Gossip) talk(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, g.options.Timeout)
	defer cancel()

	var reply Exchange
	if err := g.peers.Do(ctx, address, peer.LaneControl, MethodExchange, g.message(nil), &reply); err != nil {
		return err
	}

	g.hear(ctx, reply)

	if reply.Hash != g.table.Hash() {
		return g.peers.Do(ctx, address, peer.LaneControl, MethodExchange, g.message(g.table.Records()), &reply)
	}

	return nil
}

// Tell sends the own table to some live nodes at once, for news that can't wait
// for the next rounds.
func (g *Gossip) Tell(ctx context.Context) {
	for range g.options.Fanout {
		if target, ok := g.target(); ok {
			var reply Exchange

			_ = g.peers.Do(ctx, target.PeerAddress, peer.LaneControl, MethodExchange, g.message(g.table.Records()), &reply)
		}
	}
}

func (g *Gossip) message(records []Record) Exchange {
	return Exchange{From: g.table.Self(), Hash: g.table.Hash(), Version: g.options.Version(), Records: records}
}

func (g *Gossip) hear(ctx context.Context, e Exchange) {
	g.table.Merge(append(e.Records, e.From))
	g.options.Hear(ctx, e.From.PeerAddress, e.Version)
}

// Serve answers a peer's message.
func (g *Gossip) Serve(ctx context.Context, in Exchange) (Exchange, error) {
	same := in.Hash == g.table.Hash()
	g.table.Merge(append(in.Records, in.From))

	go g.options.Hear(context.WithoutCancel(ctx), in.From.PeerAddress, in.Version)

	if same || len(in.Records) > 0 {
		return g.message(nil), nil
	}

	return g.message(g.table.Records()), nil
}
