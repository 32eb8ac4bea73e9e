// Package balancer selects the node that runs a call.
//
// # Load
//
// Backend servers differ in speed by up to three times and can be busy, slow, cold or
// failing in part. Traffic between failure domains is expensive per byte.
//
//   - Cross-domain cost: calls stay in the own failure domain unless a node in another
//     one reduces the expected loss of the call by more than its bytes cost. A call with
//     a small answer crosses for a slightly better chance to meet its target, one with a
//     large answer only if it would hardly meet it in the own domain. Comparing mean
//     service times regardless of size keeps small calls at a slow backend server,
//     where one in five is late or abandoned.
//   - Power of two choices: two nodes of each tier are sampled, weighted by the capacity
//     of their backend servers, and the cheaper one is used. If every node chose among
//     all candidates, all would pick the one that looked best most recently and load it
//     with several times the mean.
//   - Expected completion time: it is computed from the service times that this node has
//     observed per route, the wait reported with the node's last reply, less the time
//     since that reply, and the calls that this node has in flight there.
//   - Failures: failed calls add a penalty to a node's cost, and an unreachable node
//     is avoided with exponential backoff. Otherwise calls would repeatedly wait on a
//     dead route.
//   - Limits: a node whose backend server names a limit is sampled by that limit, as by its slots.
//   - Exploration: a node that this one has never used gets an occasional call.
//     Otherwise a new backend server in another failure domain would stay idle.
//
// # Usage
//
//	p := balancer.New()
//	c, ok := p.Pick(candidates, balancer.Need{Route: "search", Target: 150 * time.Millisecond})
//	a := p.Start(c.ID, "search")
//	a.End(balancer.Answered, reply)
package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/reservoir"
)

const (
	// queueWaitFactor counts the wait twice: queueing delays the call and the one
	// queued after it, as the queue of a busy backend server is rarely empty. Counting
	// only the call's own wait overloads the fastest backend servers until they are as
	// slow as the slowest (TestCallsFindFreeSlots).
	queueWaitFactor = 2
	// crossingCostPerByte is the cost of a byte between failure domains as a fraction
	// of a call's value: 0.04 per kilobyte. A call that loses half its value when late
	// crosses with an answer of 1.5 kB if that raises its chance to be on time by one in six.
	crossingCostPerByte = 0.04 / 1024
	// callOverheadBytes is sent for a call and its reply in addition to their bodies: 190 bytes
	// each, and 40 for packet headers.
	callOverheadBytes = 460
	// lateLoss is the fraction of a call's value that is lost past its target.
	lateLoss = 0.5
	// stdPerMeanDeviation is the ratio of standard to mean absolute deviation of a
	// normal distribution, 1.25.
	stdPerMeanDeviation = 1.25
	// crossDomainRTT is the round-trip time to another failure domain.
	crossDomainRTT = 2 * time.Millisecond
	// defaultServiceTime is assumed for a route without samples.
	defaultServiceTime = 50 * time.Millisecond
	// smoothing is the window of the moving averages, in calls.
	smoothing = 8
	// maxSampleRatio clips a sample to a multiple of the current average.
	maxSampleRatio = 4
	// failurePenalty is added to the cost of a node that fails all of its calls, as a
	// multiple of the time until the target.
	failurePenalty = 2.0
	// initialBackoff and maxBackoff bound how long an unreachable node is avoided; each
	// consecutive failure doubles the time. A restarting node is back within about a second.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// unusedProbeOdds sends one of this many calls to a node that was never used.
	unusedProbeOdds = 8
	// failingProbeOdds sends one of this many calls to a failing node, to detect its recovery.
	failingProbeOdds = 30
	// failing is the failure rate from which a node counts as failing. A lower rate has
	// no penalty: a node with a penalty but without probes would not be seen to recover.
	failing = 0.05
	// failureDecay is the time constant with which a failure rate decays without new failures.
	failureDecay = 4 * time.Second
	// slowdownDecay is the time constant with which a slowdown returns to 1 without observations. A
	// node that is thought slow gets few calls and would otherwise never look faster.
	slowdownDecay = 5 * time.Second
	// limitTTL is how long a reported limit reduces the calls that are sent to a node. After it, a
	// call finds out whether the limit still holds.
	limitTTL = 3 * time.Second
	// reportTTL is how long a reported wait is used.
	reportTTL = 500 * time.Millisecond
)

// Candidate is a node on the host of a backend server of the requested service.
type Candidate struct {
	ID      string
	Address string
	// Incarnation is that of the node's process.
	Incarnation uint64
	// Near is set for a node in the own failure domain.
	Near bool
	// Own is set for this node.
	Own   bool
	Slots int
}

// Need describes the call to place.
type Need struct {
	Route string
	Rank  int
	// Target is the time left until the answer is late, Deadline until it is worthless.
	Target, Deadline time.Duration
	// Bytes is the size of the call's body.
	Bytes int
	// Idempotent calls may probe a failing node.
	Idempotent bool
	// Tried holds the IDs of nodes that were already attempted for this call.
	Tried []string
}

// Result is the result of an attempt at a node.
type Result uint8

// The results.
const (
	// Answered means that the backend server answered.
	Answered Result = iota
	// Busy means that the node rejected the call.
	Busy
	// Failed means that the backend server failed the call or lost it.
	Failed
	// Unreached means that the node or its backend server could not be reached.
	Unreached
	// Abandoned means that the caller canceled the call or its deadline passed; the
	// attempt says nothing about the node.
	Abandoned
)

// Balancer selects nodes by what this node has observed of them.
type Balancer struct {
	mu     sync.Mutex
	nodes  map[string]*node
	routes map[string]*routeStats
}

// New returns a balancer without observations.
func New() *Balancer {
	return &Balancer{nodes: map[string]*node{}, routes: map[string]*routeStats{}}
}

// Pick returns the node to send the call to, or false if there is none.
func (p *Balancer) Pick(candidates []Candidate, n Need) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	now := time.Now()
	mean := p.routeStats(n.Route).mean
	var near, far reservoir.Two[sampled]

	spare := cheapest{}

	// Nodes that probe in the order of one list would all probe the same node at a time.
	first := rand.IntN(max(len(candidates), 1))

	for i := range candidates {
		c := &candidates[(first+i)%len(candidates)]
		if slices.Contains(n.Tried, c.ID) {
			continue
		}

		m := p.node(c.ID)
		if now.Before(m.avoidUntil) {
			spare.consider(c, m.backoff, m.backoff <= initialBackoff)

			continue
		}

		if p.shouldProbe(m, n, now) {
			return *c, true
		}

		tier := &far
		if c.Near {
			tier = &near
		}

		tier.Add(sampled{c, m}, rand.ExpFloat64()*m.sampleWeight(c.Slots, mean, now))
	}

	if c, ok := p.chooseDomain(p.cheaper(near, n, now), p.cheaper(far, n, now), n); ok {
		return c, true
	}

	// A single failure may be a broken connection, so such a node is the last resort;
	// after several failures the route is considered dead.
	return spare.get()
}

// sampled is a sampled candidate with its observed state.
type sampled struct {
	candidate *Candidate
	node      *node
}

// cheaper returns the candidate with the lower cost of the two that were sampled.
func (p *Balancer) cheaper(d reservoir.Two[sampled], n Need, now time.Time) cheapest {
	var out cheapest

	both, count := d.Both()

	for _, x := range both[:count] {
		cost := p.expected(x.node, x.candidate, n, now) + time.Duration(x.node.failing(now)*failurePenalty*float64(n.Target))
		if !x.candidate.Near {
			cost += crossDomainRTT
		}

		out.consider(x.candidate, cost, true)
	}

	return out
}

// chooseDomain returns the candidate of another failure domain if it reduces the
// expected loss by more than the crossing costs.
func (p *Balancer) chooseDomain(near, far cheapest, n Need) (Candidate, bool) {
	switch {
	case near.candidate == nil:
		return far.get()
	case far.candidate == nil, near.cost <= far.cost:
		return near.get()
	}

	s := p.routeStats(n.Route)
	if s.expectedLoss(near.cost, n)-s.expectedLoss(far.cost, n) <= s.crossingCost(n) {
		return near.get()
	}

	return far.get()
}

// cheapest is the candidate with the lowest cost so far.
type cheapest struct {
	candidate *Candidate
	cost      time.Duration
}

func (c *cheapest) consider(o *Candidate, cost time.Duration, eligible bool) {
	if eligible && (c.candidate == nil || cost < c.cost) {
		c.candidate, c.cost = o, cost
	}
}

func (c *cheapest) get() (Candidate, bool) {
	if c.candidate == nil {
		return Candidate{}, false
	}

	return *c.candidate, true
}

// Start records that a call is sent to a node.
func (p *Balancer) Start(id, route string) Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()

	m := p.node(id)
	m.used = true
	m.inFlight++

	return Attempt{balancer: p, node: m, route: route}
}
