package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/place"
)

// candidates are the nodes that the call was not at.
func (t *try) candidates() []place.Candidate {
	records := t.dispatcher.options.Members.Serving(t.request.Service)
	out := make([]place.Candidate, 0, len(records))

	for _, r := range records {
		if slices.Contains(t.tried, r.ID) {
			continue
		}

		out = append(out, place.Candidate{
			ID: r.ID, Address: r.PeerAddress, Slots: r.Upstream.Slots,
			Near: r.FailureDomain == t.dispatcher.options.FailureDomain, Own: r.ID == t.dispatcher.options.Node,
		})
	}

	return t.connected(t.dispatcher.reach(out))
}

// maxFar is how many nodes of other failure domains a node calls for a service. With
// all of them each node would hold connections to all others; with few, a call that
// its own failure domain has no room for still finds the better of several.
const maxFar = 6

// reach leaves out nodes of other failure domains beyond a few, which differ from
// node to node, so that all are called by somebody.
func (d *Dispatcher) reach(all []place.Candidate) []place.Candidate {
	slices.SortFunc(all, func(a, b place.Candidate) int {
		if a.Near != b.Near {
			return boolCompare(b.Near, a.Near)
		}

		return cmp.Compare(d.distance(a.ID), d.distance(b.ID))
	})

	near := 0
	for near < len(all) && all[near].Near {
		near++
	}

	return all[:min(len(all), near+maxFar)]
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}

	return -1
}

// distance orders nodes differently at each node.
func (d *Dispatcher) distance(id string) uint64 { return xxhash.Sum64String(d.options.Node + "/" + id) }

// connected leaves out nodes to which there is no connection, and begins to make
// one. A node that was not called yet is better than none; one whose link is down is
// not: a call must not be what finds out that a route is dead, again and again.
func (t *try) connected(all []place.Candidate) []place.Candidate {
	peers := t.dispatcher.options.Peers
	ready := make([]place.Candidate, 0, len(all))

	var fresh []place.Candidate

	for _, c := range all {
		link := peer.LinkReady
		if !c.Own {
			link = peers.Link(c.Address, peer.LaneCalls)
		}

		switch link {
		case peer.LinkReady:
			ready = append(ready, c)

			continue
		case peer.LinkNone:
			fresh = append(fresh, c)
		case peer.LinkDown:
		}

		peers.Open(c.Address, peer.LaneCalls)
	}

	if len(ready) == 0 {
		return fresh
	}

	return ready
}

func (t *try) pick(candidates []place.Candidate) (place.Candidate, bool) {
	need := place.Need{
		Route: t.route.Name, Rank: t.request.Rank, Target: t.worthIn(), Deadline: t.left(), Bytes: len(t.request.Body),
		Idempotent: t.request.Idempotent, Tried: t.busy,
	}
	placer := t.dispatcher.options.Placer

	c, ok := placer.Pick(candidates, need)
	if !ok && len(t.busy) > 0 {
		// All have been asked whether they would be in time. The cheapest of them
		// takes the call all the same, if it can end before the deadline.
		need.Tried = nil
		t.busy = nil
		c, ok = placer.Pick(candidates, need)
		t.request.Elsewhere = false

		return c, ok && t.outcome.Asked < maxAsked
	}

	t.request.Elsewhere = len(candidates)-len(t.busy) > 1 && t.outcome.Asked+2 < maxAsked

	return c, ok
}

// worthIn is the time in which the answer is worth something to the caller: until the
// target, or until the deadline once that is missed.
func (t *try) worthIn() time.Duration {
	if left := time.Until(t.target); left > 0 {
		return left
	}

	return t.left()
}
