// Package place decides to which node a call goes.
//
// # The load it answers
//
// Backend servers that differ in speed by three times, are busy, slow, cold, or
// fail in part, in failure domains between which each byte is dear.
//
//   - The own failure domain first, as long as the call is expected to be on time
//     there: what crosses costs more than a short wait. Only when the expected end
//     takes more than Comfort of the time until the target, the cheapest node
//     elsewhere is weighed against it.
//   - Of the nodes of a tier two are drawn, by how much their backend servers can do,
//     and the better is taken. With a choice among all every node runs after the one
//     that looked best a moment ago: the busiest of 30 backend servers then got 3.5
//     times the mean.
//   - The expected end is what this node has seen itself: how long calls of the
//     route took there, and the wait that was reported with the last reply, which
//     fades as it is worked off. Calls of this node that are on their way count.
//   - A node whose last calls failed looks longer by what a failure costs, and one
//     that could not be reached is left alone for a while that grows. Without it
//     calls wait on a dead route again and again.
//   - A node that this one never used gets a call now and then, or a new backend
//     server elsewhere would stay idle.
//
// # Usage
//
//	p := place.New("derby")
//	c, ok := p.Pick(candidates, place.Need{Route: "search", Target: 150 * time.Millisecond})
//	a := p.Start(c.ID, "search")
//	a.End(place.Answered, reply)
package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/forward"
)

const (
	// Comfort is the part of the time until the target that a call may be expected
	// to take in the own failure domain before it is weighed against others.
	Comfort = 0.6
	// crossing is what an expected end elsewhere has to be better by, as a part of
	// the time until the target, so that calls do not cross for nothing.
	crossing = 0.1
	// way is there and back to another failure domain.
	way = 2 * time.Millisecond
	// unknownSize is taken for a route that was never seen at a node.
	unknownSize = 50 * time.Millisecond
	// smoothing of times and failures; about as many calls have a say.
	smoothing = 8
	// clip bounds what one call can say, times the present value.
	clip = 4
	// failureCost is how much longer a node looks that fails all of its calls, as a
	// multiple of the time until the target.
	failureCost = 2.0
	// firstAvoid and longestAvoid are how long a node is left alone that could not
	// be reached; each failure in a row doubles it. A node that restarts is back
	// within about a second.
	firstAvoid   = 200 * time.Millisecond
	longestAvoid = 2 * time.Second
	// tryNew is of how many calls one goes to a node that was never used.
	tryNew = 8
	// tryAgain is of how many calls one goes to a node that fails, to see it mend.
	tryAgain = 30
	// failing is the part of failed calls from which a node counts as failing. Below,
	// it costs nothing; with a cost but no new tries it would never be seen to mend.
	failing = 0.05
	// forgive is how fast failures lose their say when no newer ones come.
	forgive = 4 * time.Second
	// fade is how fast a reported wait loses its say when nothing newer comes.
	fade = 500 * time.Millisecond
)

// Candidate is a node beside a backend server of the wanted service.
type Candidate struct {
	ID      string
	Address string
	// Near says that it is in the own failure domain.
	Near bool
	// Own says that it is this node.
	Own   bool
	Slots int
}

// Need is what a call wants.
type Need struct {
	Route string
	Rank  int
	// Target is the time until the answer is worth less.
	Target time.Duration
	// Idempotent calls may find out whether a failing node has mended.
	Idempotent bool
	// Tried are nodes that this call was at.
	Tried []string
}

// Result is what came of a call at a node.
type Result uint8

// The results.
const (
	// Answered means that the backend server answered.
	Answered Result = iota
	// Busy means that the node turned the call away.
	Busy
	// Failed means that the backend server failed the call or lost it.
	Failed
	// Unreached means that the node or its backend server could not be reached.
	Unreached
	// Abandoned tells nothing: the caller went away or its time was up.
	Abandoned
)

// Placer knows what this node has seen of others.
type Placer struct {
	mu    sync.Mutex
	nodes map[string]*node
	sizes map[string]*size
}

// size is the usual time of a route's calls over all nodes.
type size struct {
	mean time.Duration
	seen int
}

// learn takes the mean of the first calls and moves slowly after, so that neither
// the first call nor one slow node says how long calls take.
func (s *size) learn(held time.Duration) {
	if s.seen < smoothing*smoothing {
		s.seen++
	}

	if s.seen > smoothing {
		held = min(held, clip*s.mean)
	}

	s.mean += (held - s.mean) / time.Duration(s.seen)
}

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

// New returns a placer that has seen nothing.
func New() *Placer {
	return &Placer{nodes: map[string]*node{}, sizes: map[string]*size{}}
}

// Pick returns the node that the call goes to, or false if there is none.
func (p *Placer) Pick(candidates []Candidate, n Need) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	now := time.Now()
	near, far := draw{}, draw{}
	spare := choice{}

	for i := range candidates {
		c := &candidates[i]
		if slices.Contains(n.Tried, c.ID) {
			continue
		}

		m := p.node(c.ID)
		if now.Before(m.avoid) {
			spare.weigh(c, m.pause, m.pause <= firstAvoid)

			continue
		}

		if p.worthATry(m, n, now) {
			return *c, true
		}

		tier := &far
		if c.Near {
			tier = &near
		}

		tier.add(c, m, rand.ExpFloat64()*m.speed/float64(max(c.Slots, 1)))
	}

	if c, ok := decide(p.better(near, n, now), p.better(far, n, now), n); ok {
		return c, true
	}

	// One failure may have been a broken connection; more are a dead route.
	return spare.get()
}

// drawn is a candidate that was drawn, with what is known of it.
type drawn struct {
	candidate *Candidate
	node      *node
	key       float64
}

// draw keeps the two lowest of random keys: a weighted draw in one pass.
type draw struct{ first, second drawn }

func (d *draw) add(c *Candidate, m *node, key float64) {
	next := drawn{c, m, key}

	switch {
	case d.first.candidate == nil || key < d.first.key:
		d.first, d.second = next, d.first
	case d.second.candidate == nil || key < d.second.key:
		d.second = next
	}
}

// better returns the cheaper of the two that were drawn.
func (p *Placer) better(d draw, n Need, now time.Time) choice {
	var out choice

	for _, x := range []drawn{d.first, d.second} {
		if x.candidate == nil {
			continue
		}

		cost := p.expected(x.node, x.candidate, n, now) + time.Duration(x.node.failing(now)*failureCost*float64(n.Target))
		if !x.candidate.Near {
			cost += way
		}

		out.weigh(x.candidate, cost, true)
	}

	return out
}

func decide(near, far choice, n Need) (Candidate, bool) {
	switch {
	case near.candidate == nil:
		return far.get()
	case far.candidate == nil,
		near.cost <= time.Duration(Comfort*float64(n.Target)),
		near.cost <= far.cost+time.Duration(crossing*float64(n.Target)):
		return near.get()
	}

	return far.get()
}

// choice is the cheapest candidate so far.
type choice struct {
	candidate *Candidate
	cost      time.Duration
}

func (c *choice) weigh(o *Candidate, cost time.Duration, takes bool) {
	if takes && (c.candidate == nil || cost < c.cost) {
		c.candidate, c.cost = o, cost
	}
}

func (c *choice) get() (Candidate, bool) {
	if c.candidate == nil {
		return Candidate{}, false
	}

	return *c.candidate, true
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
	service := time.Duration(float64(p.size(n.Route)) * m.speed)
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

	return time.Duration(float64(service+wait) * spread)
}

func (p *Placer) size(route string) time.Duration {
	if s, ok := p.sizes[route]; ok {
		return s.mean
	}

	return unknownSize
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

// Start notes a call to a node.
func (p *Placer) Start(id, route string) Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()

	m := p.node(id)
	m.used = true
	m.inFlight++

	return Attempt{placer: p, node: m, route: route}
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
		m.answered(p, a.route, time.Duration(reply.HeldMs)*time.Millisecond)
	case Failed:
		m.failures += (1 - m.failures) / smoothing
		m.failed = time.Now()
	case Unreached:
		return m.unreached(time.Now())
	case Busy, Abandoned:
	}

	return false
}

func (m *node) answered(p *Placer, route string, held time.Duration) {
	m.failures -= m.failures / smoothing
	m.pause = 0
	m.avoid = time.Time{}

	s := p.sizes[route]
	if s == nil {
		s = &size{}
		p.sizes[route] = s
	}

	s.learn(held)

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
