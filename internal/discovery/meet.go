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

// lookAgain meets nodes that are recorded and not known, at a few nodes at a time. A
// fleet that was cut in two while it started, or whose first meetings failed, stays in
// two halves otherwise, since gossip goes to known nodes only: callers of a failure domain
// with one backend server of a service were turned away in a third of the cases while
// others had slots to spare. A few are enough, since who is met tells the rest.
func (r *Rendezvous) lookAgain(ctx context.Context) error {
	if rand.IntN(max(r.table.CountLive(), 1)) >= lookers {
		return nil
	}

	_, err := r.meetOthers(ctx, true)

	return err
}

// meetEarlier meets nodes that were there before this process, ahead of the calls that
// make its own record: until it knows them it has neither a version nor whom to send
// calls to. The list may be old, which costs a tenth; who is met has the newest. Nodes
// that start for the first time look by turns; who finds too few in an old list looks at a
// new one, or the first of all would not find each other.
func (r *Rendezvous) meetEarlier(ctx context.Context) {
	if r.alone {
		idle.For(ctx, rand.N(firstSpread))
	}

	m, err := r.meetOthers(ctx, true)
	if r.alone && err == nil && m.near < recordsEach {
		m, err = r.meetOthers(ctx, false)
	}

	r.met = m.met >= meetAtOnce
	r.spared = m.met > 0 && m.near >= recordsEach
	r.note(err)
}

// meeting is what came of a look at the records.
type meeting struct {
	met  int // nodes that answered
	near int // records of other nodes of the own failure domain
}

// meetOthers meets some of the recorded nodes that are not known: first of the own failure
// domain, since these are nearest and give the records of all that they know; then one of
// each failure domain of which nobody is known yet. With the own one alone, nodes that
// started in the same moment never heard of the others.
func (r *Rendezvous) meetOthers(ctx context.Context, stale bool) (meeting, error) {
	var entries []platform.Entry

	err := r.call(ctx, func(ctx context.Context) (err error) {
		entries, err = r.store.List(ctx, Prefix, stale)

		return err
	})
	if err != nil {
		return meeting{}, err
	}

	byDomain := r.addresses(entries)
	own := r.table.Self().FailureDomain
	out := meeting{near: len(byDomain[own])}
	out.met = r.meetSome(ctx, byDomain[own], meetAtOnce)
	delete(byDomain, own)

	if out.met > 0 {
		for _, m := range r.table.RandomPerOtherDomain() {
			delete(byDomain, m.FailureDomain)
		}
	}

	for _, addresses := range byDomain {
		out.met += r.meetSome(ctx, addresses, 1)
	}

	return out, nil
}

// meetSome meets nodes, a few at a time, until enough of them answered.
func (r *Rendezvous) meetSome(ctx context.Context, addresses []string, enough int) int {
	met := 0

	for batch := range slices.Chunk(addresses, enough) {
		if met += r.meetAll(ctx, batch); met >= enough {
			break
		}
	}

	return met
}

// meetAll meets nodes at the same time: one that is gone must not hold up the rest.
func (r *Rendezvous) meetAll(ctx context.Context, addresses []string) int {
	var (
		wg  sync.WaitGroup
		met atomic.Int64
	)

	for _, address := range addresses {
		if r.table.LiveAt(address) {
			continue
		}

		wg.Go(func() {
			if r.meet(ctx, address) {
				met.Add(1)
			}
		})
	}

	wg.Wait()

	return int(met.Load())
}

// addresses returns the recorded addresses of other nodes by failure domain, in random
// order.
func (r *Rendezvous) addresses(entries []platform.Entry) map[string][]string {
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
