package dispatch

import (
	"slices"
	"time"

	"github.com/pollencart/pollencart/internal/balancer"
	"github.com/pollencart/pollencart/internal/peer"
)

// candidates returns the connected nodes that the call has not been attempted at.
func (s *callState) candidates() []balancer.Candidate {
	subset := s.dispatcher.subsets.forService(s.request.Service)
	out := make([]balancer.Candidate, 0, len(subset))

	for _, c := range subset {
		if !slices.Contains(s.attempted, c.ID) {
			out = append(out, c)
		}
	}

	out = s.connected(out)

	if deadline, ok := s.ctx.Deadline(); ok && !s.request.Idempotent {
		out = s.dispatcher.endings.without(out, deadline)
	}

	return out
}

// connected returns the nodes with an established connection, or, if there are none, those
// without a connection attempt so far. It starts connecting to all others. A node whose link
// is down is left out, so that calls don't pay for finding a broken link again and again.
func (s *callState) connected(all []balancer.Candidate) []balancer.Candidate {
	peers := s.dispatcher.options.Peers
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

// pick chooses the next node. Elsewhere and Nearby in the request tell this node whether it may
// decline the call in favor of another one.
func (s *callState) pick(candidates []balancer.Candidate) (balancer.Candidate, bool) {
	need := balancer.Need{
		Route: s.route.Name, Rank: s.request.Rank, Target: s.timeToTarget(), Deadline: s.remaining(), Bytes: len(s.request.Body),
		Idempotent: s.request.Idempotent, Tried: s.declined,
	}
	placer := s.dispatcher.options.Balancer

	c, ok := placer.Pick(candidates, need)
	if !ok && len(s.declined) > 0 {
		// All candidates declined the call. The one with the lowest cost gets it without the
		// option to decline, if the call can still end before its deadline.
		need.Tried = nil
		s.declined = nil
		c, ok = placer.Pick(candidates, need)
		s.request.Elsewhere, s.request.Nearby = false, false

		return c, ok && s.asked() < maxContacted
	}

	s.request.Elsewhere = s.countUndeclined(candidates) > 1 && s.asked()+2 < maxContacted
	s.request.Nearby = s.outcome.Asked == 0 && s.hasNearbyAlternative(candidates, c)

	return c, ok
}

// countUndeclined returns the number of candidates that have not declined the call. Those whose processes end have left the
// candidates when they declined.
func (s *callState) countUndeclined(candidates []balancer.Candidate) int {
	n := 0

	for _, c := range candidates {
		if !slices.Contains(s.declined, c.ID) {
			n++
		}
	}

	return n
}

// maxNearbyBody is the longest body, in bytes, that is sent a second time to find a free slot.
const maxNearbyBody = 4 << 10

// hasNearbyAlternative reports whether the chosen node may decline the call because another
// node in the same failure domain may have a free slot. Such a move costs no cross-domain
// traffic, only the transfer of the body.
func (s *callState) hasNearbyAlternative(candidates []balancer.Candidate, chosen balancer.Candidate) bool {
	if !chosen.Near || len(s.request.Body) > maxNearbyBody {
		return false
	}

	return slices.ContainsFunc(candidates, func(c balancer.Candidate) bool {
		return c.Near && c.ID != chosen.ID
	})
}

// timeToTarget returns the time until the call's target, or until its deadline once the target
// has passed.
func (s *callState) timeToTarget() time.Duration {
	if remaining := time.Until(s.target); remaining > 0 {
		return remaining
	}

	return s.remaining()
}
