// Package balancer decides to which node a call goes.
//
// # The load it answers
//
// Backend servers that differ in speed by three times, are busy, slow, cold, or
// fail in part, in failure domains between which each byte is dear.
//
//   - The own failure domain first, since what crosses is dear. A call goes to the
//     cheapest node elsewhere if it gains more by that than its bytes cost: a small one to
//     be on time a little more often, one with a large answer only if it would hardly be
//     at home. With the mean alone, whatever the size, small calls stay at a slow backend
//     server where one in five is late or given up.
//   - Of the nodes of a tier two are drawn, by how much their backend servers can do,
//     and the better is taken. With a choice among all every node runs after the one
//     that looked best a moment ago, which then has several times the mean.
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
//	p := balancer.New("derby")
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
	// behind is how many calls are delayed by one that waits: itself and the one behind
	// it, as a queue at a busy backend server hardly ever runs empty. With the own wait
	// alone all run after the fastest ones until their queues make them as slow as the
	// slowest (TestCallsFindFreeSlots).
	behind = 2
	// tollPerByte is what a byte between failure domains costs, as a part of what a call is
	// worth: 0.04 for a kilobyte. A call that is half lost when late crosses with an
	// answer of 1.5 kB if that makes it on time in one case of six more.
	tollPerByte = 0.04 / 1024
	// frameBytes is what both ways of a call need beside its bodies: 190 bytes each, and
	// 40 for the headers of a packet.
	frameBytes = 460
	// lateLoss is the part of a call that is lost by being late.
	lateLoss = 0.5
	// deviations is the standard deviation of calls over their mean deviation: of a bell,
	// 1.25.
	deviations = 1.25
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
	// Target is the time until the answer is worth less, Deadline until it is worth
	// nothing.
	Target, Deadline time.Duration
	// Bytes of the call's body.
	Bytes int
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

// New returns a placer that has seen nothing.
func New() *Placer {
	return &Placer{nodes: map[string]*node{}, sizes: map[string]*size{}}
}

// Pick returns the node that the call goes to, or false if there is none.
func (p *Placer) Pick(candidates []Candidate, n Need) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	now := time.Now()
	var near, far reservoir.Two[drawn]

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

		tier.Add(drawn{c, m}, rand.ExpFloat64()*m.speed/float64(max(c.Slots, 1)))
	}

	if c, ok := p.decide(p.better(near, n, now), p.better(far, n, now), n); ok {
		return c, true
	}

	// One failure may have been a broken connection; more are a dead route.
	return spare.get()
}

// drawn is a candidate that was drawn, with what is known of it.
type drawn struct {
	candidate *Candidate
	node      *node
}

// better returns the cheaper of the two that were drawn.
func (p *Placer) better(d reservoir.Two[drawn], n Need, now time.Time) choice {
	var out choice

	both, count := d.Both()

	for _, x := range both[:count] {
		cost := p.expected(x.node, x.candidate, n, now) + time.Duration(x.node.failing(now)*failureCost*float64(n.Target))
		if !x.candidate.Near {
			cost += way
		}

		out.weigh(x.candidate, cost, true)
	}

	return out
}

// decide takes the node of the other failure domain if what the caller stands to lose at
// the near one is more than the crossing costs.
func (p *Placer) decide(near, far choice, n Need) (Candidate, bool) {
	switch {
	case near.candidate == nil:
		return far.get()
	case far.candidate == nil, near.cost <= far.cost:
		return near.get()
	}

	s := p.size(n.Route)
	if s.loss(near.cost, n)-s.loss(far.cost, n) <= s.toll(n) {
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

// Start notes a call to a node.
func (p *Placer) Start(id, route string) Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()

	m := p.node(id)
	m.used = true
	m.inFlight++

	return Attempt{placer: p, node: m, route: route}
}
