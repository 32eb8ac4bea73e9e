package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/pacing"
)

// routeStats holds a route's service times over all nodes, and the size of its answers.
type routeStats struct {
	mean        time.Duration
	deviation   time.Duration // mean absolute deviation
	answerBytes float64       // mean size of the answer
	samples     int
}

// observe adds a sample: a plain mean of the first calls, a moving average after them,
// so that neither the first call nor one slow node determines the estimate.
func (s *routeStats) observe(serviceTime time.Duration, answerBytes int) {
	if s.samples < smoothing*smoothing {
		s.samples++
	}

	if s.samples > smoothing {
		serviceTime = min(serviceTime, maxSampleRatio*s.mean)
	}

	off := serviceTime - s.mean
	s.mean += off / time.Duration(s.samples)
	s.deviation += (off.Abs() - s.deviation) / time.Duration(s.samples)
	s.answerBytes += (float64(answerBytes) - s.answerBytes) / float64(s.samples)
}

// expectedLoss returns the expected loss of a call's value at an expected completion
// time: half of the value past the target, the rest past the deadline.
func (s *routeStats) expectedLoss(expected time.Duration, n Need) float64 {
	return lateLoss*s.probabilityOver(expected, n.Target) + (1-lateLoss)*s.probabilityOver(expected, n.Deadline)
}

// probabilityOver returns the probability that a call takes longer than limit. It assumes
// that the relative deviation of a route's service times is the same at every node, as
// observed so far.
func (s *routeStats) probabilityOver(expected, limit time.Duration) float64 {
	// A logistic curve approximates a normal distribution, with a heavier tail.
	const steep = 1.7

	deviation := stdPerMeanDeviation * float64(s.deviation) / float64(max(s.mean, time.Millisecond)) * float64(expected)

	return 1 / (1 + math.Exp(steep*float64(limit-expected)/max(deviation, 1)))
}

// crossingCost returns the cost of sending a call to another failure domain and its
// answer back, as a fraction of the call's value.
func (s *routeStats) crossingCost(n Need) float64 {
	return crossingCostPerByte * (s.answerBytes + float64(n.Bytes) + callOverheadBytes)
}

// node is the observed state of one node.
type node struct {
	used     bool
	inFlight int
	// slowdown is the ratio of the node's service times to the mean of their routes, both at a
	// slowness of 1.
	slowdown float64
	// slowness is what the backend server states of its host, 1 without a statement.
	slowness    float64
	observedAt  time.Time // of the last service time
	failureRate float64
	lastFailure time.Time
	report      forward.Load
	reportedAt  time.Time
	avoidUntil  time.Time
	backoff     time.Duration
	// limit is the calls a second that the node's backend server takes from all nodes, if limitedAt
	// is not zero.
	limit     float64
	limitedAt time.Time
}

func (p *Balancer) shouldProbe(m *node, n Need, now time.Time) bool {
	switch {
	case !m.used:
		return rand.IntN(unusedProbeOdds) == 0
	case m.failing(now) > 0 && n.Idempotent:
		return rand.IntN(failingProbeOdds) == 0
	}

	return false
}

// failing returns the node's decayed failure rate above the threshold.
func (m *node) failing(now time.Time) float64 {
	if m.failureRate <= failing {
		return 0
	}

	return max(m.failureRate*math.Exp(-float64(now.Sub(m.lastFailure))/float64(failureDecay))-failing, 0)
}

// expected returns the estimated time until a call is answered.
func (p *Balancer) expected(m *node, c *Candidate, n Need, now time.Time) time.Duration {
	serviceTime := time.Duration(float64(p.routeStats(n.Route).mean) * m.aged(m.slowdown*m.slowness, now))
	wait := time.Duration(0)

	if age := now.Sub(m.reportedAt); !m.reportedAt.IsZero() && age < reportTTL {
		wait = max(m.report.Wait(n.Rank)-age, 0)
	}

	if excess := m.inFlight + 1 - max(c.Slots, 1); excess > 0 {
		wait = max(wait, serviceTime*time.Duration(excess)/time.Duration(max(c.Slots, 1)))
	}

	// Noise keeps nodes with equal observations from choosing the same node.
	const noise = 0.05

	jitter := 1 + noise*rand.Float64()

	return time.Duration(float64(serviceTime+queueWaitFactor*wait) * jitter)
}

func (p *Balancer) routeStats(route string) *routeStats {
	if s, ok := p.routes[route]; ok {
		return s
	}

	return &routeStats{mean: defaultServiceTime, deviation: defaultServiceTime / 2}
}

func (p *Balancer) node(id string) *node {
	m := p.nodes[id]
	if m == nil {
		m = &node{slowdown: 1, slowness: 1}
		p.nodes[id] = m
	}

	return m
}

// Attempt is a call in flight to a node.
type Attempt struct {
	balancer *Balancer
	node     *node
	route    string
}

// End records the result of the attempt. It reports whether the node is avoided from now on.
func (a Attempt) End(r Result, reply forward.Reply) (avoided bool) {
	p, m := a.balancer, a.node

	p.mu.Lock()
	defer p.mu.Unlock()

	m.inFlight--

	m.observeLimit(r, reply.Notice)

	if reply.Load.Slots > 0 {
		m.report, m.reportedAt = reply.Load, time.Now()
	}

	if reply.Slowness > 0 {
		m.slowness = reply.Slowness
	}

	switch r {
	case Answered:
		serviceTime := time.Duration(float64(reply.HeldMs) / m.slowness * float64(time.Millisecond))
		m.answered(p, a.route, serviceTime, len(reply.Body))
	case Failed:
		m.failureRate += (1 - m.failureRate) / smoothing
		m.lastFailure = time.Now()
	case Unreached:
		return m.unreached(time.Now())
	case Busy, Abandoned:
	}

	return false
}

func (m *node) answered(p *Balancer, route string, serviceTime time.Duration, answerBytes int) {
	m.failureRate -= m.failureRate / smoothing
	m.backoff = 0
	m.avoidUntil = time.Time{}

	s := p.routes[route]
	if s == nil {
		s = &routeStats{}
		p.routes[route] = s
	}

	s.observe(serviceTime, answerBytes)

	now := time.Now()
	believed := m.aged(m.slowdown, now)
	ratio := min(float64(serviceTime)/float64(max(s.mean, time.Millisecond)), maxSampleRatio*believed)
	m.slowdown, m.observedAt = believed+(ratio-believed)/smoothing, now
}

func (m *node) observeLimit(r Result, n *forward.Notice) {
	switch {
	case n != nil && n.Limited:
		m.limit, m.limitedAt = max(n.Limit, pacing.MinRate), time.Now()
	case r == Answered:
		m.limitedAt = time.Time{}
	}
}

// sampleWeight returns the inverse of the node's capacity for calls with the given mean service time.
func (m *node) sampleWeight(slots int, mean time.Duration, now time.Time) float64 {
	weight := m.aged(m.slowdown*m.slowness, now) / float64(max(slots, 1))

	if !m.limitedAt.IsZero() && now.Sub(m.limitedAt) < limitTTL {
		weight = max(weight, 1/(m.limit*max(mean, time.Millisecond).Seconds()))
	}

	return weight
}

func (m *node) unreached(now time.Time) bool {
	if now.Before(m.avoidUntil) {
		return false
	}

	m.backoff = min(max(2*m.backoff, initialBackoff), maxBackoff)
	m.avoidUntil = now.Add(m.backoff/2 + rand.N(m.backoff))

	return true
}

// aged returns what is left of a slowdown after the time without observations.
func (m *node) aged(slowdown float64, now time.Time) float64 {
	return 1 + (slowdown-1)*math.Exp(-float64(now.Sub(m.observedAt))/float64(slowdownDecay))
}
