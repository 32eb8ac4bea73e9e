package dispatch

import (
	"math/rand/v2"
	"sync"

	"github.com/pollencart/pollencart/internal/route"
)

// splitter distributes the calls of a route over its destinations in exact proportion: at any
// time each destination is less than one call off its share. Random choice would be off by
// about 10% after 100 calls.
//
// Only the weights count. Calls that a destination rejects for lack of capacity don't move to
// another one, since that would override the operator's weights.
type splitter struct {
	mu     sync.Mutex
	routes map[string]*roundRobin
}

// maxStartSteps bounds the calls that a new round robin skips. Weights may be large, and a cycle has
// as many calls as their sum.
const maxStartSteps = 1000

// roundRobin is a smooth weighted round robin over the destinations of one route.
type roundRobin struct {
	destinations []route.Destination
	credit       []int
}

func newSplitter() *splitter { return &splitter{routes: map[string]*roundRobin{}} }

// pick returns the destination of a call. The retry of a caller keeps its previous destination:
// if one of two equally weighted destinations had no capacity and retries were distributed
// anew, the other would get up to three quarters of the callers.
func (s *splitter) pick(r *route.Route, previous string) string {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}

	for _, d := range r.Destinations {
		if d.Service == previous && d.Weight > 0 {
			return previous
		}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	d := s.routes[r.Name]
	if d == nil || !d.matches(r) {
		d = newRoundRobin(r)
		s.routes[r.Name] = d
	}

	return d.next()
}

func newRoundRobin(r *route.Route) *roundRobin {
	d := &roundRobin{destinations: r.Destinations, credit: make([]int, len(r.Destinations))}

	// A random start keeps nodes that start together from choosing the same destination first.
	for range rand.IntN(min(d.total(), maxStartSteps)) {
		d.next()
	}

	return d
}

func (d *roundRobin) total() int {
	total := 0
	for _, x := range d.destinations {
		total += x.Weight
	}

	return total
}

func (d *roundRobin) matches(r *route.Route) bool {
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

func (d *roundRobin) next() string {
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
