package dispatch

import (
	"slices"
	"time"

	"github.com/pollencart/pollencart/internal/balancer"
	"github.com/pollencart/pollencart/internal/peer"
)

// candidates are the nodes that the call was not at.
func (t *try) candidates() []balancer.Candidate {
	reached := t.dispatcher.reach.of(t.request.Service)
	out := make([]balancer.Candidate, 0, len(reached))

	for _, c := range reached {
		if !slices.Contains(t.tried, c.ID) {
			out = append(out, c)
		}
	}

	return t.connected(out)
}

// connected leaves out nodes to which there is no connection, and begins to make
// one. A node that was not called yet is better than none; one whose link is down is
// not: a call must not be what finds out that a route is dead, again and again.
func (t *try) connected(all []balancer.Candidate) []balancer.Candidate {
	peers := t.dispatcher.options.Peers
	ready := make([]balancer.Candidate, 0, len(all))

	var fresh []balancer.Candidate

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

func (t *try) pick(candidates []balancer.Candidate) (balancer.Candidate, bool) {
	need := balancer.Need{
		Route: t.route.Name, Rank: t.request.Rank, Target: t.worthIn(), Deadline: t.left(), Bytes: len(t.request.Body),
		Idempotent: t.request.Idempotent, Tried: t.busy,
	}
	placer := t.dispatcher.options.Balancer

	c, ok := placer.Pick(candidates, need)
	if !ok && len(t.busy) > 0 {
		// All have been asked whether they would be in time. The cheapest of them
		// takes the call all the same, if it can end before the deadline.
		need.Tried = nil
		t.busy = nil
		c, ok = placer.Pick(candidates, need)
		t.request.Elsewhere, t.request.Nearby = false, false

		return c, ok && t.outcome.Asked < maxAsked
	}

	t.request.Elsewhere = len(candidates)-len(t.busy) > 1 && t.outcome.Asked+2 < maxAsked
	t.request.Nearby = t.outcome.Asked == 0 && t.nearby(candidates, c)

	return c, ok
}

// cheapBody is the longest body, in bytes, that is sent once more to find a free slot.
const cheapBody = 4 << 10

// nearby reports whether a call that was at no node yet may look for a free slot at another
// node of the failure domain, which costs no more than its body there.
func (t *try) nearby(candidates []balancer.Candidate, chosen balancer.Candidate) bool {
	if !chosen.Near || len(t.request.Body) > cheapBody {
		return false
	}

	return slices.ContainsFunc(candidates, func(c balancer.Candidate) bool {
		return c.Near && c.ID != chosen.ID
	})
}

// worthIn is the time in which the answer is worth something to the caller: until the
// target, or until the deadline once that is missed.
func (t *try) worthIn() time.Duration {
	if left := time.Until(t.target); left > 0 {
		return left
	}

	return t.left()
}
