package membership

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/peer"
)

// maxEntries bounds the entries of one comparison.
const maxEntries = 1024

// compare repairs what gossip missed. It compares digests with a node whose
// digest differed, if the difference outlasts the news under way; a full table is
// never sent when little differs.
func (g *Gossip) compare(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-g.compareNow:
	}

	// News may be under way that settles it.
	idle.For(ctx, jitter(idlePause))

	address := g.differs.Swap(nil)
	if address == nil {
		return
	}

	err := g.repair(ctx, *address)

	if err == nil && g.table.CountLive() > 1 {
		idle.For(ctx, jitter(g.options.Sync))
	}
}

// repair compares with one node until nothing differs that either can give.
func (g *Gossip) repair(ctx context.Context, address string) error {
	const most = 64

	for range most {
		moved, err := g.repairOnce(ctx, address)
		if err != nil || moved == 0 {
			return err
		}
	}

	return nil
}

func (g *Gossip) repairOnce(ctx context.Context, address string) (int, error) {
	// A comparison may carry hundreds of records, so it has longer than a probe.
	const probes = 4

	ctx, cancel := context.WithTimeout(ctx, probes*g.options.Timeout)
	defer cancel()

	var digest DigestAnswer
	if err := g.peers.Do(ctx, address, peer.LaneControl, MethodDigest, DigestRequest{Sums: g.table.Sums()}, &digest); err != nil {
		return 0, err
	}

	d := g.table.Compare(digest.Buckets, digest.Entries)
	for _, id := range d.Doubt {
		g.disputes.add(id)
	}

	in := RecordsRequest{
		From:    g.table.Self().ID,
		Records: d.Push[:min(len(d.Push), maxRecords)],
		Want:    d.Want[:min(len(d.Want), maxRecords)],
	}
	if len(in.Records)+len(in.Want) == 0 {
		return 0, nil
	}

	var out RecordsAnswer
	if err := g.peers.Do(ctx, address, peer.LaneControl, MethodRecords, in, &out); err != nil {
		return 0, err
	}

	return len(in.Records) + g.table.Adopt(out.From, out.Records), nil
}

// ServeDigest answers a comparison.
func (g *Gossip) ServeDigest(_ context.Context, in DigestRequest) (DigestAnswer, error) {
	select {
	case g.serving <- struct{}{}:
		defer func() { <-g.serving }()
	default:
		return DigestAnswer{}, ErrBusy
	}

	differ, entries := g.table.Differing(in.Sums, maxEntries)

	return DigestAnswer{Buckets: differ, Entries: entries}, nil
}

// ServeRecords takes what this node lacks and gives what the other lacks.
func (g *Gossip) ServeRecords(_ context.Context, in RecordsRequest) (RecordsAnswer, error) {
	g.table.Adopt(in.From, in.Records)

	return RecordsAnswer{From: g.table.Self().ID, Records: g.table.Pick(in.Want)}, nil
}

// join looks for others while this node knows nobody: the seeds first, then where
// else addresses can be had.
func (g *Gossip) join(ctx context.Context) {
	if g.table.CountLive() > 1 {
		g.alone = 0

		// Alone again is a matter of minutes, such as after all others died.
		idle.For(ctx, g.options.Reconnect)

		return
	}

	if g.tryAny(ctx, g.options.Seeds) || g.tryAny(ctx, g.options.Seek(ctx)) {
		return
	}

	// A herd that starts together meets a few seeds: each node comes back after a
	// random part of a time that doubles.
	g.alone = min(g.alone+1, maxAlone)
	idle.For(ctx, rand.N(g.options.Interval<<g.alone))
}

// maxAlone bounds the pause between tries to join to some six seconds.
const maxAlone = 5

func (g *Gossip) tryAny(ctx context.Context, addresses []string) bool {
	addresses = slices.Clone(addresses)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })

	for _, address := range addresses {
		if g.tryAddress(ctx, address) {
			return true
		}
	}

	return false
}

func (g *Gossip) tryAddress(ctx context.Context, address string) bool {
	if address == g.table.Self().PeerAddress {
		return false
	}

	timeout, cancel := context.WithTimeout(ctx, g.options.Timeout)
	defer cancel()

	if _, err := g.talk(timeout, "", address); err != nil {
		return false
	}

	return g.repair(ctx, address) == nil
}

// Meet gets to know the node at an address, and reports whether it answered.
func (g *Gossip) Meet(ctx context.Context, address string) bool { return g.tryAddress(ctx, address) }

// reconnect tries a node that is held for dead, or a seed that is not among the
// live. After a cut has healed nobody else would: each side has taken the other
// for dead and probes it no more.
func (g *Gossip) reconnect(ctx context.Context) {
	g.table.Forget(g.options.Forget)

	if r, ok := g.table.Lost(); ok {
		go g.regain(ctx, r)
	}

	lost := slices.DeleteFunc(slices.Clone(g.options.Seeds), g.table.LiveAt)
	if len(lost) > 0 {
		address := lost[rand.IntN(len(lost))]

		go g.tryAddress(ctx, address)
	}
}

// regain tries a node that is held for dead. One that answers was cut off, mostly with
// its whole failure domain: what happened on the other side is had from it.
func (g *Gossip) regain(ctx context.Context, r Record) {
	if g.exchange(ctx, r) == nil {
		g.compareWith(r.PeerAddress)
	}
}

func shuffled(in []byte) []byte {
	out := slices.Clone(in)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })

	return out
}
