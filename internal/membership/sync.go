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

// compare repairs what gossip missed. It compares digests with a node whose digest differed,
// after a pause for changes in transit; the full table is never sent when little differs.
func (g *Gossip) compare(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-g.compareNow:
	}

	// Changes in transit may resolve the difference.
	idle.For(ctx, jitter(idlePause))

	address := g.compareAddress.Swap(nil)
	if address == nil {
		return
	}

	err := g.repair(ctx, *address)

	if err == nil && g.table.CountLive() > 1 {
		idle.For(ctx, jitter(g.options.Sync))
	}
}

// repair compares with a node until neither side has records to transfer.
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
	// A comparison can carry hundreds of records, so its timeout is longer than that of a
	// probe.
	const probes = 4

	ctx, cancel := context.WithTimeout(ctx, probes*g.options.Timeout)
	defer cancel()

	var digest DigestAnswer
	if err := g.peers.Do(ctx, address, peer.LaneControl, MethodDigest, DigestRequest{Sums: g.table.Sums()}, &digest); err != nil {
		return 0, err
	}

	d := g.table.Compare(digest.Buckets, digest.Entries)
	for _, id := range d.Disputed {
		g.disputed.add(id)
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

	return len(in.Records) + g.table.MergeCompared(out.From, out.Records), nil
}

// ServeDigest answers a digest comparison.
func (g *Gossip) ServeDigest(_ context.Context, in DigestRequest) (DigestAnswer, error) {
	select {
	case g.comparing <- struct{}{}:
		defer func() { <-g.comparing }()
	default:
		return DigestAnswer{}, ErrBusy
	}

	differ, entries := g.table.Differing(in.Sums, maxEntries)

	return DigestAnswer{Buckets: differ, Entries: entries}, nil
}

// ServeRecords merges the pushed records and returns the wanted ones.
func (g *Gossip) ServeRecords(_ context.Context, in RecordsRequest) (RecordsAnswer, error) {
	g.table.MergeCompared(in.From, in.Records)

	return RecordsAnswer{From: g.table.Self().ID, Records: g.table.RecordsByKey(in.Want)}, nil
}

// join looks for peers while this node knows no other live node: first the seeds, then the
// addresses from the fallback source.
func (g *Gossip) join(ctx context.Context) {
	if g.table.CountLive() > 1 {
		g.joinAttempts = 0

		// A node becomes isolated again only after minutes, such as when all other nodes died.
		idle.For(ctx, g.options.Reconnect)

		return
	}

	if g.joinAny(ctx, g.options.Seeds) || g.joinAny(ctx, g.options.FindPeers(ctx)) {
		return
	}

	// Many nodes that start at once contact the same few seeds, so each node retries after a
	// random delay with exponential backoff.
	g.joinAttempts = min(g.joinAttempts+1, maxJoinBackoff)
	idle.For(ctx, rand.N(g.options.Interval<<g.joinAttempts))
}

// maxJoinBackoff bounds the backoff exponent: at most some six seconds between join attempts.
const maxJoinBackoff = 5

func (g *Gossip) joinAny(ctx context.Context, addresses []string) bool {
	addresses = slices.Clone(addresses)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })

	for _, address := range addresses {
		if g.joinAddress(ctx, address) {
			return true
		}
	}

	return false
}

func (g *Gossip) joinAddress(ctx context.Context, address string) bool {
	if address == g.table.Self().PeerAddress {
		return false
	}

	timeout, cancel := context.WithTimeout(ctx, g.options.Timeout)
	defer cancel()

	if _, err := g.sendExchange(timeout, "", address); err != nil {
		return false
	}

	return g.repair(ctx, address) == nil
}

// Join joins through the node at an address and reports whether this succeeded.
func (g *Gossip) Join(ctx context.Context, address string) bool { return g.joinAddress(ctx, address) }

// reconnect tries a dead node and a seed that is not live. After a network partition heals
// this is required, because each side considers the other dead and no longer probes it.
func (g *Gossip) reconnect(ctx context.Context) {
	g.table.Forget(g.options.Forget)

	if r, ok := g.table.RandomDead(); ok {
		go g.reconnectTo(ctx, r)
	}

	lost := slices.DeleteFunc(slices.Clone(g.options.Seeds), g.table.LiveAt)
	if len(lost) > 0 {
		address := lost[rand.IntN(len(lost))]

		go g.joinAddress(ctx, address)
	}
}

// reconnectTo contacts a dead node. If the node answers, it was partitioned, usually with its
// whole failure domain, and a comparison fetches the changes of the other side.
func (g *Gossip) reconnectTo(ctx context.Context, r Record) {
	if g.exchange(ctx, r) == nil {
		g.scheduleCompare(r.PeerAddress)
	}
}

func shuffled(in []byte) []byte {
	out := slices.Clone(in)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })

	return out
}
