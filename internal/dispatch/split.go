package dispatch

import (
	"math/rand/v2"
	"sync"

	"github.com/pollencart/pollencart/internal/route"
)

// splitter deals the calls of a route to its destinations in exact proportion:
// after any number of calls each destination is less than one call off its share.
// Dealing at random would be off by a tenth in a hundred calls.
//
// It looks at nothing but the weights. A destination that is short of room turns
// calls away; moving them to another would undo what the operator weighed.
type splitter struct {
	mu     sync.Mutex
	routes map[string]*deal
}

// deal is the state of one route's smooth weighted round robin.
type deal struct {
	destinations []route.Destination
	credit       []int
}

func newSplitter() *splitter { return &splitter{routes: map[string]*deal{}} }

// A caller who comes back goes where it was dealt before. Dealt anew, half of those that
// one of two destinations had no room for would end at the other, and that one would get
// up to three quarters of the callers.
func (s *splitter) pick(r *route.Route, before string) string {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}

	for _, d := range r.Destinations {
		if d.Service == before && d.Weight > 0 {
			return before
		}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	d := s.routes[r.Name]
	if d == nil || !d.fits(r) {
		d = newDeal(r)
		s.routes[r.Name] = d
	}

	return d.next()
}

func newDeal(r *route.Route) *deal {
	d := &deal{destinations: r.Destinations, credit: make([]int, len(r.Destinations))}

	// Nodes that start together must not all begin with the same destination.
	for range rand.IntN(d.total()) {
		d.next()
	}

	return d
}

func (d *deal) total() int {
	total := 0
	for _, x := range d.destinations {
		total += x.Weight
	}

	return total
}

func (d *deal) fits(r *route.Route) bool {
	if len(d.destinations) != len(r.Destinations) {
		return false
	}

	for i, x := range r.Destinations {
		if d.destinations[i] != x {
			return false
		}
	}

	return true
}

func (d *deal) next() string {
	best := 0

	for i, x := range d.destinations {
		d.credit[i] += x.Weight

		if d.credit[i] > d.credit[best] {
			best = i
		}
	}

	d.credit[best] -= d.total()

	return d.destinations[best].Service
}
