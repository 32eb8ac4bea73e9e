// Package retrybudget bounds how often this node sends a call to a second backend
// server.
//
// # The load it answers
//
// Backend servers that fail or shed, when each failure would otherwise double the
// load on those that are left. The bound holds over all nodes together without
// their talking: each counts its own calls and repeats of a service, and takes its
// part of the fixed slack. Arrivals that a backend server turns away count too.
//
// Calls that a repeated run makes are repeats at the services below, which the
// nodes there can't tell from others. Margin leaves room for them.
//
// # Usage
//
//	b := retrybudget.New(retrybudget.Bound{Ratio: 0.2, Slack: 58, Window: 10 * time.Second})
//	b.First("browse")
//	if b.Again("browse", retrybudget.Margin, nodes) { ... }
package retrybudget

import (
	"sync"
	"time"
)

const (
	// Margin is the part of the bound that is used. A repeated run makes its calls
	// again, up to two at the service below, whose own repeats come on top: with a
	// service and the one that it calls failing half of their calls together, the
	// one below had 1.24 times its bound at 0.8, and 1.10 times at 0.5.
	Margin = 0.4
	// FailedMargin is the part up to which calls are repeated that a backend server
	// has run and failed. They cost a whole run each, and mostly fail because of a
	// call that they made themselves, which was repeated already.
	FailedMargin = 0.15
	// buckets of a window; a call counts until its bucket is a window old.
	buckets = 20
)

// Bound is what all nodes together may not exceed.
type Bound struct {
	// Ratio of the repeats of a service to its calls, beyond Slack repeats, in any
	// Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget counts the calls and repeats of this node.
type Budget struct {
	start time.Time // where the steady clock is read from

	mu       sync.Mutex
	bound    Bound
	services map[string]*counts
}

// counts are the calls and repeats of one service in the last window.
type counts struct {
	calls   [buckets]float64
	repeats [buckets]float64
	now     int64
}

// New returns a budget that has counted nothing.
func New(b Bound) *Budget {
	return &Budget{start: time.Now(), bound: b, services: map[string]*counts{}}
}

// Bind sets another bound; what was counted stays.
func (b *Budget) Bind(next Bound) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.bound = next
}

// First counts a call that a caller sent.
func (b *Budget) First(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	c := b.at(service)
	c.calls[c.now%buckets]++
}

// Again reports whether a call may be sent once more, and counts it if so. Margin is
// the part of the bound that it may use, nodes is how many share the slack.
func (b *Budget) Again(service string, margin float64, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	c := b.at(service)

	allowed := margin * (b.bound.Ratio*sum(c.calls) + b.bound.Slack/float64(max(nodes, 1)))
	if sum(c.repeats)+1 > allowed {
		return false
	}

	c.repeats[c.now%buckets]++

	return true
}

// at returns the counts of a service with what is too old cleared.
func (b *Budget) at(service string) *counts {
	c := b.services[service]
	if c == nil {
		c = &counts{now: b.bucket()}
		b.services[service] = c
	}

	now := b.bucket()
	for ; c.now < now && now-c.now <= buckets; c.now++ {
		next := (c.now + 1) % buckets
		c.calls[next], c.repeats[next] = 0, 0
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
