// Package selection decides at the entry which gate a call goes to.
//
// # The load it answers
//
// Uneven load, slow, failing and cold backend servers, and reports that lag or
// mislead.
//
//   - Two choices: of two gates taken at random the one with the lower cost
//     wins. Without the second choice random peaks queue up on one backend
//     server while others idle; with a choice among all, every entry runs after
//     the one that looked empty a moment ago.
//   - Near before far: two are taken from each tier (own failure domain, own
//     region, elsewhere), and a farther tier has to be cheaper by its distance.
//     So work spills over when the expected wait nearby is longer than the way.
//   - Slow start: a cold backend server, or one that was readmitted, is drawn
//     with a weight that grows over Ramp. Without it a restarted one looks empty
//     to all entries at once and is buried while its caches are cold.
//   - Own outcomes over reports: cost is the service time that this entry has
//     seen, times own calls in flight. What a gate reports about its queue
//     counts for ReportLife only, and for no more than own waits bear out.
//   - Ejection: a gate that fails FailuresToEject times running, or that is
//     SlowFactor slower than the median, gets no calls but a rare probe. Slow
//     ones are ejected up to half of a service, failing ones as long as another
//     one answers, so that a bad signal never empties a service.
//
// # Usage
//
//	s := selection.New(selection.FailureDomain("derby"))
//	c, ok := s.Pick("browse", candidates, selection.Need{Class: settings.ClassInteractive})
//	attempt := s.Start("browse", c.ID, settings.ClassInteractive)
//	attempt.End(selection.Outcome{Result: selection.Answered, Load: load})
package selection

import (
	"slices"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/reservoir"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Candidate is a gate that a call could go to.
type Candidate struct {
	ID            string
	Address       string
	Region        string
	FailureDomain string
	Slots         int
	// ReadySince is when its backend server said that it was ready.
	ReadySince time.Time
}

// Need is what the call wants of a gate.
type Need struct {
	Class settings.Class
	// Idempotent calls may probe a gate that failed.
	Idempotent bool
	// Tried are gates that this call was sent to before.
	Tried []string
}

// Result is what came of an attempt.
type Result uint8

// The results.
const (
	// Answered means that the backend server answered.
	Answered Result = iota
	// Refused means that the gate turned the call away as not run.
	Refused
	// Failed means that no answer came, or the answer tells of a fault.
	Failed
	// TimedOut means that the deadline passed; it counts as a failure only if the
	// gate had the time that others need.
	TimedOut
	// Abandoned means that the caller went away; it tells nothing of the gate.
	Abandoned
)

// Outcome is the result of an attempt and what the gate told with it.
type Outcome struct {
	Result Result
	Load   call.Load
}

// Selector picks gates by what this node has seen of them.
type Selector struct {
	options Options

	mu     sync.Mutex
	groups map[string]*group
}

// New returns a selector that has seen nothing.
func New(opts ...Option) *Selector {
	return &Selector{options: newOptions(opts...), groups: map[string]*group{}}
}

// Pick returns one of the candidates, or false if none of them takes calls.
func (s *Selector) Pick(service string, candidates []Candidate, n Need) (Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()
	g := s.group(service)
	g.picks++

	var (
		draws [tiers]reservoir.Two[drawn]
		spare reservoir.Two[drawn]
	)

	for i := range candidates {
		c := &candidates[i]
		if slices.Contains(n.Tried, c.ID) {
			continue
		}

		m := g.member(c, now)

		switch {
		case m.leaving(now):
		case m.probeDue(g, n, now):
			m.probed(g, now)

			return *c, true
		case m.ejected:
			spare.Add(drawn{c, m}, lastResort+s.options.Random.ExpFloat64())
		case m.cold(s.options.Random, now):
			spare.Add(drawn{c, m}, s.options.Random.ExpFloat64())
		default:
			draws[s.tier(c)].Add(drawn{c, m}, s.options.Random.ExpFloat64()/float64(max(c.Slots, 1)))
		}
	}

	chosen := s.cheapest(&draws, g, n, now)
	// An ejected gate is better than none for the first attempt; sending a call
	// there once more is only load.
	if chosen.candidate == nil && (len(n.Tried) == 0 || spare.FirstKey() < lastResort) {
		chosen, _ = spare.First()
	}

	if chosen.candidate == nil {
		return Candidate{}, false
	}

	chosen.member.probed(g, now)

	return *chosen.candidate, true
}

// cheapest compares the two that were drawn from each tier.
func (s *Selector) cheapest(draws *[tiers]reservoir.Two[drawn], g *group, n Need, now time.Time) drawn {
	var (
		best drawn
		cost time.Duration
	)

	for tier := range draws {
		both, count := draws[tier].Both()

		for _, d := range both[:count] {
			c := d.member.cost(g, d.candidate, n.Class.Rank(), now) + s.options.Distances[tier]
			if best.candidate == nil || c < cost {
				best, cost = d, c
			}
		}
	}

	return best
}

// Tiers of distance.
const (
	tierDomain = iota
	tierRegion
	tierFar
	tiers
)

func (s *Selector) tier(c *Candidate) int {
	switch {
	case c.FailureDomain == s.options.FailureDomain:
		return tierDomain
	case c.Region == s.options.Region:
		return tierRegion
	}

	return tierFar
}

// lastResort puts ejected gates behind all others.
const lastResort = 1e6

// drawn is a candidate that was drawn, with what is known of it.
type drawn struct {
	candidate *Candidate
	member    *member
}

// Attempt is one call on its way to a gate.
type Attempt struct {
	selector *Selector
	group    *group
	member   *member
	class    int
	start    time.Time
}

// Start notes a call to the gate.
func (s *Selector) Start(service, id string, class settings.Class) Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()
	g := s.group(service)
	m := g.member(&Candidate{ID: id}, now)
	m.begin(class.Rank(), now)

	return Attempt{selector: s, group: g, member: m, class: class.Rank(), start: now}
}

// End notes what came of it.
func (a Attempt) End(o Outcome) {
	a.selector.mu.Lock()
	defer a.selector.mu.Unlock()

	now := time.Now()
	took := now.Sub(a.start)
	a.member.end(a.class, a.start, now)

	// Callers that leave no time would have every gate ejected.
	if o.Result == TimedOut && a.group.slow(a.class, took) {
		o.Result = Failed
	}

	if o.Result == Abandoned || o.Result == TimedOut {
		return
	}

	a.member.learn(a.class, o, took, now)
	a.group.judge(a.member, a.class, o, now)
}

func (s *Selector) group(service string) *group {
	g := s.groups[service]
	if g == nil {
		g = &group{members: map[string]*member{}}
		s.groups[service] = g
	}

	return g
}

// Ejected returns the IDs of gates of the service that get no calls but probes.
func (s *Selector) Ejected(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	var out []string

	for id, m := range s.group(service).members {
		if m.ejected {
			out = append(out, id)
		}
	}

	slices.Sort(out)

	return out
}
