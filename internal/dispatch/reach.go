package dispatch

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/internal/balancer"
	"github.com/pollencart/pollencart/internal/membership"
)

// maxFar is how many nodes of other failure domains a node calls for a service. With
// all of them each node would hold connections to all others; with few, a call that
// its own failure domain has no room for still finds the better of several.
const maxFar = 6

// reach is which nodes this one calls for each service. It is worked out when who serves
// a service changes, not for each call: with hundreds of backend servers that took longer
// than all else that an entry does for a call.
type reach struct {
	node, failureDomain string
	members             Members

	mu       sync.Mutex
	services map[string]reached
}

// reached are the nodes to call, and the records that they follow from.
type reached struct {
	records    []membership.Record
	candidates []balancer.Candidate
}

func newReach(o Options) *reach {
	return &reach{node: o.Node, failureDomain: o.FailureDomain, members: o.Members, services: map[string]reached{}}
}

// of returns the nodes that are called for a service: those of the own failure domain and
// a few others, which differ from node to node, so that all are called by somebody. The
// slice is shared and must not be changed.
func (r *reach) of(service string) []balancer.Candidate {
	records := r.members.Serving(service)

	r.mu.Lock()
	defer r.mu.Unlock()

	if known, ok := r.services[service]; ok && same(known.records, records) {
		return known.candidates
	}

	candidates := r.choose(records)
	r.services[service] = reached{records: records, candidates: candidates}

	return candidates
}

// same reports whether two snapshots are one. They are never changed once made.
func same(a, b []membership.Record) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (r *reach) choose(records []membership.Record) []balancer.Candidate {
	type placed struct {
		balancer.Candidate
		distance uint64
	}

	var (
		out []balancer.Candidate // near ones first
		far []placed
	)

	for _, m := range records {
		c := balancer.Candidate{
			ID: m.ID, Address: m.PeerAddress, Slots: m.Upstream.Slots, Near: m.FailureDomain == r.failureDomain, Own: m.ID == r.node,
		}
		if c.Near {
			out = append(out, c)
		} else {
			far = append(far, placed{c, r.distance(m.ID)})
		}
	}

	slices.SortFunc(far, func(a, b placed) int { return cmp.Compare(a.distance, b.distance) })

	for _, p := range far[:min(len(far), maxFar)] {
		out = append(out, p.Candidate)
	}

	return out
}

// distance orders nodes differently at each node.
func (r *reach) distance(id string) uint64 { return xxhash.Sum64String(r.node + "/" + id) }
