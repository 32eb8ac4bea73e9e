package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/timeline"
)

// joinMissing joins recorded nodes that are unknown, on a few nodes of the fleet at a time.
// Gossip reaches only known nodes, so a fleet that is partitioned at its start, or whose
// first joins fail, would otherwise stay split: in a failure domain with one backend server
// of a service, a third of the calls were rejected while other failure domains had free
// slots. A few nodes are enough because gossip spreads what they learn.
func (r *Agent) joinMissing(ctx context.Context) error {
	if rand.IntN(max(r.table.CountLive(), 1)) >= rescanNodes {
		return nil
	}

	_, err := r.joinOthers(ctx, r.Searched())

	return err
}

// joinEarlier joins nodes that started before this process. It precedes the calls that
// write the record, because without peers this node has neither a version nor nodes to
// forward calls to. A stale list costs a tenth of a call and is sufficient, since joined
// nodes have the newest member records. At the first start of a fleet, nodes list the
// records at random times, and a node that finds too few in a stale list reads a current
// one; otherwise the first nodes would miss each other.
func (r *Agent) joinEarlier(ctx context.Context) {
	if r.firstStart {
		idle.For(ctx, rand.N(firstStartSpread))
	}

	result, err := r.joinOthers(ctx, true)
	if r.firstStart && err == nil && result.sameDomain < recordsPerDomain {
		result, err = r.joinOthers(ctx, false)
	}

	r.joined = result.joined >= joinCount
	r.skipRecord = result.joined > 0 && result.sameDomain >= recordsPerDomain
	r.reportStore(err)
}

// joinResult is the result of one pass over the records.
type joinResult struct {
	joined     int // nodes that replied
	sameDomain int // records of other nodes of this failure domain
}

// joinOthers joins some of the recorded nodes that are unknown. It begins with the same
// failure domain, whose nodes are nearest and send all member records that they have. It
// then joins one node of each failure domain without a known node: nodes that start at the
// same moment and join only their own failure domain never learn of the others.
func (r *Agent) joinOthers(ctx context.Context, stale bool) (joinResult, error) {
	var entries []platform.Entry

	err := r.call(ctx, func(ctx context.Context) (err error) {
		entries, err = r.store.List(ctx, Prefix, stale)

		return err
	})
	if err != nil {
		return joinResult{}, err
	}

	byDomain := r.addresses(entries)
	own := r.table.Self().FailureDomain
	out := joinResult{sameDomain: len(byDomain[own])}
	others := len(byDomain) > 0
	out.joined = r.joinSome(ctx, byDomain[own], joinCount)
	delete(byDomain, own)

	if out.joined > 0 {
		for _, member := range r.table.RandomPerOtherDomain() {
			delete(byDomain, member.FailureDomain)
		}
	}

	for _, addresses := range byDomain {
		out.joined += r.joinSome(ctx, addresses, 1)
	}

	r.recorded.set(entries)

	switch {
	case out.joined > 0, others && r.CountUnjoined() == 0, !others && !stale && r.lease != 0:
		r.searched.Store(true)
	}

	return out, nil
}

// CountNodes returns the number of nodes that run, as far as this node knows, or 0 while it knows of no other one and
// has not finished its search.
func (r *Agent) CountNodes() int {
	nodes := r.table.CountLive() + r.CountUnjoined()
	if nodes <= 1 && !r.Searched() {
		return 0
	}

	return nodes
}

// CountUnjoined returns the number of nodes whose records were read lately and that are not known to run or to have
// ended: this node has not joined the others yet, or can't reach them.
func (r *Agent) CountUnjoined() int {
	unjoined := 0

	for _, n := range r.recorded.recent() {
		if _, known := r.table.Find(n.id); !known && !r.table.LiveAt(n.address) {
			unjoined++
		}
	}

	return unjoined
}

// joinSome joins nodes in batches until enough of them replied.
func (r *Agent) joinSome(ctx context.Context, addresses []string, enough int) int {
	joined := 0

	for batch := range slices.Chunk(addresses, enough) {
		if joined += r.joinAll(ctx, batch); joined >= enough {
			break
		}
	}

	return joined
}

// joinAll joins nodes concurrently, so that an unreachable node does not delay the others.
func (r *Agent) joinAll(ctx context.Context, addresses []string) int {
	var (
		wg     sync.WaitGroup
		joined atomic.Int64
	)

	for _, address := range addresses {
		if r.table.LiveAt(address) {
			continue
		}

		wg.Go(func() {
			if r.join(ctx, address) {
				joined.Add(1)
			}
		})
	}

	wg.Wait()

	return int(joined.Load())
}

// addresses returns the recorded addresses of other nodes by failure domain, in random order.
func (r *Agent) addresses(entries []platform.Entry) map[string][]string {
	out := map[string][]string{}

	self := r.table.Self()

	for _, i := range rand.Perm(len(entries)) {
		rec, err := DecodeRecord(entries[i].Value)
		if err != nil {
			r.recorder.Once(event.EntryDoubted, timeline.Entry{Detail: entries[i].Key + ": " + err.Error()})

			continue
		}

		if rec.Address != self.PeerAddress {
			out[rec.FailureDomain] = append(out[rec.FailureDomain], rec.Address)
		}
	}

	return out
}
