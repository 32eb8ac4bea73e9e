// Package exposure bounds how many calls an entry node sends to a version that is on trial.
//
// # The load it answers
//
// A bad version fails or delays the calls that it receives, and it is not known to be bad
// until some calls have shown it. The calls that it receives must stay below a share of all
// calls of the service, over all nodes together, while nodes restart, are cut off or have old
// data.
//
// Each node earns a fraction of a call for every call of a route that it dispatches, and
// spends whole ones. The sum over all nodes can't exceed the share of the calls, whatever the
// nodes know of each other. Routes earn separately, so that the traffic of one does not crowd
// out the evidence on another. Retries earn and spend nothing.
//
// What is earned is spent in turns: for a short time all nodes send to the same few backend
// servers, which thereby run under a load that an even distribution of a small share never
// reaches. Some versions fail only then.
//
// # Usage
//
//	b := exposure.New(0.1)
//	number, open := exposure.Turn(time.Since(ordered), timeLimit)
//	if b.Take(order, route, open) { ... } // once for each call
//	b.Return(order, route)          // if the call did not reach a backend server
package exposure

import (
	"sync"
	"time"
)

const (
	// usedPart is the part of the permitted share that is spent. The share is counted over
	// calls that reach backend servers, while a node counts those that it dispatches, of which
	// an overloaded service rejects some. It is also counted until the time limit, before which
	// the trial ends.
	usedPart = 0.9
	// maxCredit is how many calls a route can save up.
	maxCredit = 4.0
	// A trial has turnsPerTrial turns, at intervals between minTurn and maxTurn. The longer the
	// interval, the more calls are saved up for a turn, which small fleets need to load one
	// backend server. Nodes spend for openTime in each.
	turnsPerTrial = 6
	minTurn       = 1500 * time.Millisecond
	maxTurn       = 5 * time.Second
	openTime      = 600 * time.Millisecond
	// maxRoutes bounds the routes of which the credit is kept.
	maxRoutes = 4096
)

// Budget is the credit of one node.
type Budget struct {
	mu     sync.Mutex
	share  float64
	order  map[string]int64 // order for which a route earns
	credit map[string]float64
}

// New returns a budget without credit. share is the permitted share of calls.
func New(share float64) *Budget {
	return &Budget{share: share, order: map[string]int64{}, credit: map[string]float64{}}
}

// Turn returns the number of the turn at a time after the order, and whether nodes spend then.
// Each turn begins with another backend server.
func Turn(elapsed, timeLimit time.Duration) (number int, open bool) {
	length := min(max(timeLimit/turnsPerTrial, minTurn), maxTurn)

	return int(elapsed / length), elapsed%length < openTime
}

// Take counts a call of a route and reports whether it may go to the version on trial, which it
// never may if nodes do not spend. The credit of an earlier order is void.
func (b *Budget) Take(order int64, route string, open bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.order[route] != order {
		if len(b.credit) >= maxRoutes {
			clear(b.order)
			clear(b.credit)
		}

		b.order[route], b.credit[route] = order, 0
	}

	credit := min(b.credit[route]+usedPart*b.share, maxCredit)
	allowed := open && credit >= 1

	if allowed {
		credit--
	}

	b.credit[route] = credit

	return allowed
}

// Return gives back what Take granted for a call that did not reach a backend server.
func (b *Budget) Return(order int64, route string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.order[route] == order {
		b.credit[route] = min(b.credit[route]+1, maxCredit)
	}
}
