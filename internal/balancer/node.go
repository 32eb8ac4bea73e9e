package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pollencart/pollencart/internal/forward"
)

// size is how long a route's calls take over all nodes, and how much is sent for them.
type size struct {
	mean      time.Duration
	deviation time.Duration // from the mean, either way
	bytes     float64       // of the answer
	seen      int
}

// learn takes the mean of the first calls and moves slowly after, so that neither
// the first call nor one slow node says how long calls take.
func (s *size) learn(held time.Duration, bytes int) {
	if s.seen < smoothing*smoothing {
		s.seen++
	}

	if s.seen > smoothing {
		held = min(held, clip*s.mean)
	}

	off := held - s.mean
	s.mean += off / time.Duration(s.seen)
	s.deviation += (off.Abs() - s.deviation) / time.Duration(s.seen)
	s.bytes += (float64(bytes) - s.bytes) / float64(s.seen)
}

// loss is what a caller stands to lose of its call if it is expected to end then: half
// of it if it is late, the rest if it is given up.
func (s *size) loss(expected time.Duration, n Need) float64 {
	return lateLoss*s.exceeds(expected, n.Target) + (1-lateLoss)*s.exceeds(expected, n.Deadline)
}

// exceeds is the chance that a call takes longer than a limit. Calls of a route differ in
// length, as far as seen in the same proportion at each node.
func (s *size) exceeds(expected, limit time.Duration) float64 {
	// A logistic curve is near enough to a bell, and has more of the long calls.
	const steep = 1.7

	deviation := deviations * float64(s.deviation) / float64(max(s.mean, time.Millisecond)) * float64(expected)

	return 1 / (1 + math.Exp(steep*float64(limit-expected)/max(deviation, 1)))
}

// toll is what it costs to carry a call to another failure domain and back, as a part of
// what the call is worth.
func (s *size) toll(n Need) float64 { return tollPerByte * (s.bytes + float64(n.Bytes) + frameBytes) }

// node is what was seen of one node.
type node struct {
	used     bool
	inFlight int
	// speed is how long calls take here, over the usual time of their route.
	speed    float64
	failures float64
	failed   time.Time // the last time
	load     forward.Load
	at       time.Time
	avoid    time.Time
	pause    time.Duration
}

func (p *Placer) worthATry(m *node, n Need, now time.Time) bool {
	switch {
	case !m.used:
		return rand.IntN(tryNew) == 0
	case m.failing(now) > 0 && n.Idempotent:
		return rand.IntN(tryAgain) == 0
	}

	return false
}

// failing is the part of calls that the node fails, beyond what counts.
func (m *node) failing(now time.Time) float64 {
	if m.failures <= failing {
		return 0
	}

	return max(m.failures*math.Exp(-float64(now.Sub(m.failed))/float64(forgive))-failing, 0)
}

// expected is the time until a call would be answered.
func (p *Placer) expected(m *node, c *Candidate, n Need, now time.Time) time.Duration {
	service := time.Duration(float64(p.size(n.Route).mean) * m.speed)
	wait := time.Duration(0)

	if age := now.Sub(m.at); !m.at.IsZero() && age < fade {
		wait = max(m.load.Wait(n.Rank)-age, 0)
	}

	if over := m.inFlight + 1 - max(c.Slots, 1); over > 0 {
		wait = max(wait, service*time.Duration(over)/time.Duration(max(c.Slots, 1)))
	}

	// A little noise keeps nodes that know the same from choosing the same.
	const noise = 0.05

	spread := 1 + noise*rand.Float64()

	return time.Duration(float64(service+behind*wait) * spread)
}

func (p *Placer) size(route string) *size {
	if s, ok := p.sizes[route]; ok {
		return s
	}

	return &size{mean: unknownSize, deviation: unknownSize / 2}
}

func (p *Placer) node(id string) *node {
	m := p.nodes[id]
	if m == nil {
		m = &node{speed: 1}
		p.nodes[id] = m
	}

	return m
}

// Attempt is a call on its way.
type Attempt struct {
	placer *Placer
	node   *node
	route  string
}

// End notes what came of it. Avoided is returned if the node is left alone from
// now on.
func (a Attempt) End(r Result, reply forward.Reply) (avoided bool) {
	p, m := a.placer, a.node

	p.mu.Lock()
	defer p.mu.Unlock()

	m.inFlight--

	if reply.Load.Slots > 0 {
		m.load, m.at = reply.Load, time.Now()
	}

	switch r {
	case Answered:
		m.answered(p, a.route, time.Duration(reply.HeldMs)*time.Millisecond, len(reply.Body))
	case Failed:
		m.failures += (1 - m.failures) / smoothing
		m.failed = time.Now()
	case Unreached:
		return m.unreached(time.Now())
	case Busy, Abandoned:
	}

	return false
}

func (m *node) answered(p *Placer, route string, held time.Duration, bytes int) {
	m.failures -= m.failures / smoothing
	m.pause = 0
	m.avoid = time.Time{}

	s := p.sizes[route]
	if s == nil {
		s = &size{}
		p.sizes[route] = s
	}

	s.learn(held, bytes)

	ratio := min(float64(held)/float64(max(s.mean, time.Millisecond)), clip*m.speed)
	m.speed += (ratio - m.speed) / smoothing
}

func (m *node) unreached(now time.Time) bool {
	if now.Before(m.avoid) {
		return false
	}

	m.pause = min(max(2*m.pause, firstAvoid), longestAvoid)
	m.avoid = now.Add(m.pause/2 + rand.N(m.pause))

	return true
}
