// Package selection picks the gate that an entry node sends a call to. A gate is the node
// on the backend server's host.
//
// # Load
//
// Load is uneven, backend servers can be slow, failing or cold, and reports can be stale or
// misleading.
//
//   - Power of two choices: of two gates sampled at random the one with the lower cost is
//     used. With one random choice, peaks queue up on one backend server while others
//     idle; with a choice among all, every entry node picks the one that looked idle in
//     the last reports.
//   - Locality: two gates are sampled from each tier (same failure domain, same region,
//     other regions), and the cost of a farther tier includes its distance. Calls
//     overflow when the expected wait in the near tier exceeds the round-trip time.
//   - Slow start: a cold or readmitted backend server is sampled with a probability that
//     grows over Ramp. Without it a restarted one looks idle to all entry nodes at once
//     and is overloaded while its caches are cold.
//   - Observations before reports: the cost is based on the service times that this entry
//     node has observed and its own calls in flight. A gate's report about its queue is
//     used for ReportTTL only, and is limited by the node's own waits.
//   - Ejection: a gate that fails FailuresToEject times in a row, or is SlowFactor slower
//     than the median, gets only rare probes. Up to half of a service's gates are ejected
//     as slow, and failing ones as long as another one answers, so that a wrong signal
//     never empties a service.
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

// Candidate is a gate that a call can be sent to.
type Candidate struct {
	ID            string
	Address       string
	Region        string
	FailureDomain string
	Slots         int
	// ReadySince is the time from which its backend server reports that it is ready.
	ReadySince time.Time
}

// Need describes the call to place.
type Need struct {
	Class settings.Class
	// Idempotent calls may probe a gate that failed.
	Idempotent bool
	// Tried holds the IDs of gates that were already attempted for this call.
	Tried []string
}

// Result is the result of an attempt.
type Result uint8

// The results.
const (
	// Answered means that the backend server answered.
	Answered Result = iota
	// Refused means that the gate rejected the call without running it.
	Refused
	// Failed means that there was no answer, or that the answer reports a server error.
	Failed
	// TimedOut means that the deadline passed. It counts as a failure only if the attempt
	// took longer than the limit for a slow gate.
	TimedOut
	// Abandoned means that the caller canceled the call; it says nothing about the gate.
	Abandoned
)

// Outcome is the result of an attempt and the load that the gate reported with it.
type Outcome struct {
	Result Result
	Load   call.Load
}

// Selector picks gates by what this node has observed of them.
type Selector struct {
	options Options

	mu     sync.Mutex
	groups map[string]*group
}

// New returns a selector without observations.
func New(opts ...Option) *Selector {
	return &Selector{options: newOptions(opts...), groups: map[string]*group{}}
}

// Pick returns one of the candidates, or false if none of them can take the call.
func (s *Selector) Pick(service string, candidates []Candidate, n Need) (Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()
	g := s.group(service)
	g.picks++

	var (
		tierSamples [tiers]reservoir.Two[sampled]
		fallback    reservoir.Two[sampled]
	)

	for i := range candidates {
		c := &candidates[i]
		if slices.Contains(n.Tried, c.ID) {
			continue
		}

		m := g.member(c, now)

		switch {
		case m.draining(now):
		case m.probeDue(g, n, now):
			m.markPicked(g, now)

			return *c, true
		case m.ejected:
			fallback.Add(sampled{c, m}, lastResort+s.options.Random.ExpFloat64())
		case m.skipCold(s.options.Random, now):
			fallback.Add(sampled{c, m}, s.options.Random.ExpFloat64())
		default:
			tierSamples[s.tier(c)].Add(sampled{c, m}, s.options.Random.ExpFloat64()/float64(max(c.Slots, 1)))
		}
	}

	chosen := s.cheapest(&tierSamples, g, n, now)
	// An ejected gate is used for a first attempt if there is no other one; a retry there
	// would only add load.
	if chosen.candidate == nil && (len(n.Tried) == 0 || fallback.FirstKey() < lastResort) {
		chosen, _ = fallback.First()
	}

	if chosen.candidate == nil {
		return Candidate{}, false
	}

	chosen.member.markPicked(g, now)

	return *chosen.candidate, true
}

// cheapest returns the gate with the lowest cost of those sampled from all tiers.
func (s *Selector) cheapest(tierSamples *[tiers]reservoir.Two[sampled], g *group, n Need, now time.Time) sampled {
	var (
		best sampled
		cost time.Duration
	)

	for tier := range tierSamples {
		both, count := tierSamples[tier].Both()

		for _, d := range both[:count] {
			c := d.member.cost(g, d.candidate, n.Class.Rank(), now) + s.options.Distances[tier]
			if best.candidate == nil || c < cost {
				best, cost = d, c
			}
		}
	}

	return best
}

// Tiers by distance.
const (
	tierDomain = iota
	tierRegion
	tierRemote
	tiers
)

func (s *Selector) tier(c *Candidate) int {
	switch {
	case c.FailureDomain == s.options.FailureDomain:
		return tierDomain
	case c.Region == s.options.Region:
		return tierRegion
	}

	return tierRemote
}

// lastResort offsets the sampling keys of ejected gates, so that all others come first.
const lastResort = 1e6

// sampled is a sampled candidate with its state.
type sampled struct {
	candidate *Candidate
	member    *member
}

// Attempt is a call in flight to a gate.
type Attempt struct {
	selector *Selector
	group    *group
	member   *member
	class    int
	start    time.Time
}

// Start records that a call is sent to a gate.
func (s *Selector) Start(service, id string, class settings.Class) Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()
	g := s.group(service)
	m := g.member(&Candidate{ID: id}, now)
	m.begin(class.Rank(), now)

	return Attempt{selector: s, group: g, member: m, class: class.Rank(), start: now}
}

// End records the outcome of the attempt.
func (a Attempt) End(o Outcome) {
	a.selector.mu.Lock()
	defer a.selector.mu.Unlock()

	now := time.Now()
	took := now.Sub(a.start)
	a.member.end(a.class, a.start, now)

	// Otherwise callers with very short timeouts would have every gate ejected.
	if o.Result == TimedOut && a.group.slow(a.class, took) {
		o.Result = Failed
	}

	if o.Result == Abandoned || o.Result == TimedOut {
		return
	}

	a.member.observe(a.class, o, took, now)
	a.group.evaluate(a.member, a.class, o, now)
}

func (s *Selector) group(service string) *group {
	g := s.groups[service]
	if g == nil {
		g = &group{members: map[string]*member{}}
		s.groups[service] = g
	}

	return g
}

// Ejected returns the IDs of the service's gates that get only probes.
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
