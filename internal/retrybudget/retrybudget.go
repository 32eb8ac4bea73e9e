// Package retrybudget bounds how often this node sends a call to a second backend
// server.
//
// # The load it answers
//
// Backend servers that fail or shed calls. Without a bound each failure would double
// the load on the remaining ones. The bound holds over all nodes together without
// messages between them: each node counts its own calls and retries of a service and
// uses its part of the fixed slack. Calls that a backend server sheds count too.
//
// When a run is retried, the calls that it makes again are retries at the services
// below, which the nodes there can't distinguish from other calls. Margin leaves room
// for them.
//
// # Usage
//
//	b := retrybudget.New(retrybudget.Bound{Ratio: 0.2, Slack: 58, Window: 10 * time.Second})
//	b.CountCall("browse")
//	if b.Allow("browse", retrybudget.Margin, nodes) { ... }
package retrybudget

import (
	"sync"
	"time"
)

const (
	// Margin is the part of the bound that is used. A retried run makes its calls again,
	// up to two at the service below, whose own retries add to them: with two chained
	// services that both failed half of their calls, the lower one reached 1.24 times its
	// bound at a margin of 0.8, and 1.10 times at 0.5.
	Margin = 0.4
	// FailedMargin is the part of the bound for retries of calls that a backend server
	// ran and failed. Each costs a whole run, and most fail because of a call that the
	// run made and that was already retried.
	FailedMargin = 0.15
	// buckets divide a window; a call counts until its bucket is older than the window.
	buckets = 20
)

// Bound limits the retries of all nodes together.
type Bound struct {
	// Ratio limits the retries of a service, beyond Slack retries, to a part of its calls
	// in any Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget counts the calls and retries of this node.
type Budget struct {
	start time.Time // origin of the monotonic clock

	mu       sync.Mutex
	bound    Bound
	services map[string]*counts
}

// counts are the calls and retries of one service in the last window.
type counts struct {
	calls   [buckets]float64
	retries [buckets]float64
	now     int64
}

// New returns a budget without counts.
func New(b Bound) *Budget {
	return &Budget{start: time.Now(), bound: b, services: map[string]*counts{}}
}

// Bind sets another bound and keeps the counts.
func (b *Budget) Bind(next Bound) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.bound = next
}

// CountCall counts a call that a caller sent.
func (b *Budget) CountCall(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	c := b.current(service)
	c.calls[c.now%buckets]++
}

// Allow reports whether a call may be retried, and counts the retry if so. margin is the
// part of the bound that retries may use, nodes the number of nodes that share the slack. It is
// 0 while this node does not know them: it has no part of the slack then.
func (b *Budget) Allow(service string, margin float64, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	c := b.current(service)

	allowed := b.bound.Ratio * sum(c.calls)
	if nodes > 0 {
		allowed += b.bound.Slack / float64(nodes)
	}

	allowed *= margin

	if sum(c.retries)+1 > allowed {
		return false
	}

	c.retries[c.now%buckets]++

	return true
}

// current returns the counts of a service after it has cleared expired buckets.
func (b *Budget) current(service string) *counts {
	c := b.services[service]
	if c == nil {
		c = &counts{now: b.bucket()}
		b.services[service] = c
	}

	now := b.bucket()
	for ; c.now < now && now-c.now <= buckets; c.now++ {
		next := (c.now + 1) % buckets
		c.calls[next], c.retries[next] = 0, 0
	}

	if c.now < now {
		*c = counts{now: now}
	}

	return c
}

func (b *Budget) bucket() int64 {
	return int64(time.Since(b.start) / (b.bound.Window / buckets))
}

func sum(values [buckets]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}

	return total
}
