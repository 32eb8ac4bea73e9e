package dispatch

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/internal/balancer"
	"github.com/pollencart/pollencart/internal/membership"
)

// maxOtherDomainNodes limits the nodes of other failure domains that a node calls for a
// service. Calling all of them would connect each node to all others; a few still give a call
// that its own failure domain has no capacity for a choice between several.
const maxOtherDomainNodes = 6

// subsets caches for each service the subset of its nodes that this node calls. A subset is
// computed when the nodes of the service change, not for each call: with hundreds of backend
// servers, that took longer than the rest of the entry node's work on a call.
type subsets struct {
	node, failureDomain string
	members             Members

	mu       sync.Mutex
	services map[string]subset
}

// subset is the nodes to call and the membership records that it was computed from.
type subset struct {
	records    []membership.Record
	candidates []balancer.Candidate
}

func newSubsets(o Options) *subsets {
	return &subsets{node: o.Node, failureDomain: o.FailureDomain, members: o.Members, services: map[string]subset{}}
}

// forService returns the nodes to call for a service: all nodes of the same failure domain and
// a few others. Those differ between nodes, so that every node is called by some. The slice is
// shared and must not be modified.
func (r *subsets) forService(service string) []balancer.Candidate {
	records := r.members.Serving(service)

	r.mu.Lock()
	defer r.mu.Unlock()

	if cached, ok := r.services[service]; ok && sameSnapshot(cached.records, records) {
		return cached.candidates
	}

	candidates := r.choose(records)
	r.services[service] = subset{records: records, candidates: candidates}

	return candidates
}

// sameSnapshot reports whether a and b are the same slice. Snapshots are immutable, so
// comparing the first element's address suffices.
func sameSnapshot(a, b []membership.Record) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// candidateOf returns a node as a candidate of the node with an ID in a failure domain.
func candidateOf(m membership.Record, failureDomain, node string) balancer.Candidate {
	return balancer.Candidate{
		ID: m.ID, Address: m.PeerAddress, Incarnation: m.Incarnation, Slots: m.Upstream.Slots, Near: m.FailureDomain == failureDomain,
		Own: m.ID == node,
	}
}

func (r *subsets) choose(records []membership.Record) []balancer.Candidate {
	type ranked struct {
		balancer.Candidate
		rank uint64
	}

	var (
		chosen      []balancer.Candidate // same failure domain first
		otherDomain []ranked
	)

	for _, m := range records {
		c := candidateOf(m, r.failureDomain, r.node)
		if c.Near {
			chosen = append(chosen, c)
		} else {
			otherDomain = append(otherDomain, ranked{c, r.rank(m.ID)})
		}
	}

	slices.SortFunc(otherDomain, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })

	for _, p := range otherDomain[:min(len(otherDomain), maxOtherDomainNodes)] {
		chosen = append(chosen, p.Candidate)
	}

	return chosen
}

// rank returns a pseudo-random sort key that differs between nodes for the same ID.
func (r *subsets) rank(id string) uint64 { return xxhash.Sum64String(r.node + "/" + id) }
