package dispatch

import (
	"github.com/pollencart/pollencart/internal/balancer"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
)

// tryCanary sends the call to a version on trial, if it is assigned to one that is connected.
// Retries go to other nodes, so that one call meets at most one canary.
func (s *callState) tryCanary() (forward.Reply, bool) {
	d := s.dispatcher
	if d.options.Trials == nil {
		return forward.Reply{}, false
	}

	assigned := d.options.Trials.Assign(s.request.Service, s.route.Name)
	if len(assigned) == 0 {
		return forward.Reply{}, false
	}

	chosen, version, ok := s.connectedCanary(assigned)
	if !ok {
		d.options.Trials.Unassign(s.request.Service, s.route.Name)

		return forward.Reply{}, false
	}

	// The canary may decline the call if it would be late there.
	s.request.Elsewhere, s.request.Nearby = true, false
	s.otherCandidates = len(s.candidates())

	s.outcome.Canary = version

	reply := s.contact(chosen)
	if reply.Result == forward.Refused {
		d.options.Trials.Unassign(s.request.Service, s.route.Name)
	}

	return reply, true
}

// connectedCanary returns the first node with an established connection and its version, and
// starts connecting to the others.
func (s *callState) connectedCanary(assigned []membership.Record) (balancer.Candidate, string, bool) {
	d := s.dispatcher

	for _, r := range assigned {
		c := candidateOf(r, d.options.FailureDomain, d.options.Node)
		if c.Own || d.options.Peers.Link(c.Address, peer.LaneCalls) == peer.LinkReady {
			return c, r.Upstream.Version, true
		}

		d.options.Peers.Open(c.Address, peer.LaneCalls)
	}

	return balancer.Candidate{}, "", false
}
