package verdict

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pollencart/pollencart/internal/rollout/evidence"
)

const (
	// faultyPrior and soundPrior are the weights, in hosts, of the assumption that some hosts are
	// faulty. The hosts of the baseline are added to them.
	faultyPrior = 1.0
	soundPrior  = 9.0
	// unharmedPart is the part of hosts at which a bad version may do no harm.
	unharmedPart = 0.05
	// periodsPerTrial is the number of parts of the time limit, from each of which on a version
	// may be bad.
	periodsPerTrial = 16
	// soundFactors is the number of quantiles by which the spread over sound hosts is described.
	soundFactors = 5
)

// faultyRates are the rates of bad calls that a faulty host may have on a route, and
// badVersionRates those that a bad version may have, in addition to the baseline's.
var (
	faultyRates     = []float64{0, 0.1, 0.3, 0.5, 0.7, 0.9}
	badVersionRates = []float64{0.1, 0.2, 0.35, 0.5, 0.7, 0.9}
)

// cell identifies the calls of one stratum in one period.
type cell struct {
	key    evidence.Key
	period int
}

// kind is the calls on which a version may be bad: those of one route or of all, at all backend
// servers or at busy ones, since a period.
type kind struct {
	route string // "" is all routes
	busy  bool
	since int
}

func (k kind) has(c cell) bool { return (!k.busy || c.key.Busy) && c.period >= k.since }

func (k kind) String() string {
	out := describe(evidence.Key{Route: k.route, Busy: k.busy})
	if k.route == "" {
		out = "all routes" + out
	}

	return out
}

// hosts compares the hosts of the target version with those of the baseline.
type hosts struct {
	// faulty is the part of hosts that are faulty whatever they run.
	faulty float64
	target map[*source]*host
	// factors holds for each route the rates of bad calls at sound hosts of the baseline,
	// relative to that of all of them.
	factors map[string][]float64
}

// host is one host with the logarithms of the likelihoods of its calls if its version is like the
// baseline and the host is sound or faulty.
type host struct {
	routes        map[string]*hostRoute
	sound, faulty float64
}

// hostRoute is the same for one route.
type hostRoute struct {
	cells         map[cell]sums
	sound, faulty float64
}

// compareHosts returns the comparison of all calls scored so far.
func (j *Judge) compareHosts() *hosts {
	h := &hosts{faulty: faultyPrior / (faultyPrior + soundPrior), target: map[*source]*host{}, factors: j.soundFactors()}
	baseline, faulty := 0.0, 0.0

	for _, s := range j.sources {
		x := h.host(s)

		switch {
		case s.target:
			h.target[s] = x
		case len(x.routes) > 0:
			baseline++
			faulty += h.faultyPart(x)
		}
	}

	h.faulty = (faultyPrior + faulty) / (faultyPrior + soundPrior + baseline)

	return h
}

// soundFactors returns the spread of the rates of bad calls over the sound hosts of the baseline.
func (j *Judge) soundFactors() map[string][]float64 {
	ratios := map[string][]float64{}

	for _, s := range j.sources {
		if s.target || s.bad() {
			continue
		}

		all := map[string]sums{}
		for c, n := range s.cells {
			all[c.key.Route] = all[c.key.Route].plus(n)
		}

		for route, n := range all {
			ratios[route] = append(ratios[route], (n.bad+1)/(n.expected+1))
		}
	}

	for route, all := range ratios {
		slices.Sort(all)

		if len(all) <= soundFactors {
			continue
		}

		ratios[route] = nil
		for i := range soundFactors {
			ratios[route] = append(ratios[route], all[(2*i+1)*len(all)/(2*soundFactors)])
		}
	}

	return ratios
}

func (h *hosts) host(s *source) *host {
	out := &host{routes: map[string]*hostRoute{}}

	for c, n := range s.cells {
		r := out.routes[c.key.Route]
		if r == nil {
			r = &hostRoute{cells: map[cell]sums{}}
			out.routes[c.key.Route] = r
		}

		r.cells[c] = n
	}

	for name, r := range out.routes {
		_, all := r.split(kind{since: math.MaxInt})
		r.sound, r.faulty = h.logSound(name, sums{}, all, 0), logFaulty(sums{}, all, 0)
		out.sound += r.sound
		out.faulty += r.faulty
	}

	return out
}

// split returns the calls of the kind and the others.
func (r *hostRoute) split(k kind) (of, others sums) {
	for c, n := range r.cells {
		if k.has(c) {
			of = of.plus(n)
		} else {
			others = others.plus(n)
		}
	}

	return of, others
}

// either returns the logarithm of the likelihood of calls at a host of which it is not known
// whether it is faulty.
func (h *hosts) either(sound, faulty float64) float64 {
	return logAdd(math.Log1p(-h.faulty)+sound, math.Log(h.faulty)+faulty)
}

// faultyPart returns the probability that a host is faulty if its version is like the baseline.
func (h *hosts) faultyPart(x *host) float64 {
	return math.Exp(math.Log(h.faulty) + x.faulty - h.either(x.sound, x.faulty))
}

// logSound returns the logarithm of the likelihood of the calls of a route at a sound host, if
// the version adds a rate of bad calls to those of a kind.
func (h *hosts) logSound(route string, of, others sums, added float64) float64 {
	factors := h.factors[route]
	if len(factors) == 0 {
		return of.logLikelihood(added) + others.logLikelihood(0)
	}

	out := math.Inf(-1)
	for _, f := range factors {
		out = logAdd(out, of.times(f).logLikelihood(added)+others.times(f).logLikelihood(0))
	}

	return out - math.Log(float64(len(factors)))
}

// logFaulty returns the same for a faulty host.
func logFaulty(of, others sums, added float64) float64 {
	out := math.Inf(-1)
	for _, f := range faultyRates {
		out = logAdd(out, of.logLikelihood(max(f, added))+others.logLikelihood(f))
	}

	return out - math.Log(float64(len(faultyRates)))
}

// times returns the calls with a multiple of the expected bad ones.
func (s sums) times(factor float64) sums {
	s.expected = min(s.expected*factor, maxBadRate*float64(s.calls))

	return s
}

// logLikelihood returns the logarithm of the likelihood of the calls if a rate of bad ones is
// added to the baseline's.
func (s sums) logLikelihood(added float64) float64 {
	if s.calls == 0 {
		return 0
	}

	rate := s.expected / float64(s.calls)
	rate += added * (1 - rate)

	return s.bad*math.Log(rate) + (float64(s.calls)-s.bad)*math.Log1p(-rate)
}

// evidence returns the logarithm of how many times as likely the calls are if the version is bad
// on the kind as if it is like the baseline.
func (h *hosts) evidence(k kind) float64 {
	ratios := make([]float64, len(badVersionRates))

	for _, x := range h.target {
		like := h.either(x.sound, x.faulty)

		for i, bad := range h.ifBad(x, k) {
			ratios[i] += logAdd(math.Log1p(-unharmedPart)+bad-like, math.Log(unharmedPart))
		}
	}

	out := math.Inf(-1)
	for _, r := range ratios {
		out = logAdd(out, r)
	}

	return out - math.Log(float64(len(ratios)))
}

// ifBad returns the logarithm of the likelihood of a host's calls for each rate of bad calls that
// the version may add to those of the kind; none if the host had no such calls.
func (h *hosts) ifBad(x *host, k kind) []float64 {
	sound, faulty := make([]float64, len(badVersionRates)), make([]float64, len(badVersionRates))
	met := false

	for name, r := range x.routes {
		if k.route != "" && k.route != name {
			continue
		}

		of, others := r.split(k)
		if of.calls == 0 {
			continue
		}

		met = true

		for i, rate := range badVersionRates {
			sound[i] += h.logSound(name, of, others, rate) - r.sound
			faulty[i] += logFaulty(of, others, rate) - r.faulty
		}
	}

	if !met {
		return nil
	}

	for i := range sound {
		sound[i] = h.either(x.sound+sound[i], x.faulty+faulty[i])
	}

	return sound
}

// strongest returns the kind on which a bad version is most likely, with the evidence for it.
func (h *hosts) strongest(kinds []kind) (kind, float64) {
	of, best := kind{}, math.Inf(-1)

	for _, k := range kinds {
		if e := h.evidence(k); e > best {
			of, best = k, e
		}
	}

	return of, best
}

// badKinds returns all kinds of which a call of the target version was bad.
func (h *hosts) badKinds() []kind {
	found := map[kind]bool{}

	for _, x := range h.target {
		for _, r := range x.routes {
			for c, n := range r.cells {
				if n.bad > 0 {
					c.addKinds(found)
				}
			}
		}
	}

	return slices.Collect(maps.Keys(found))
}

// addKinds adds the kinds that have the calls of the cell.
func (c cell) addKinds(kinds map[kind]bool) {
	for since := range c.period + 1 {
		for _, route := range []string{"", c.key.Route} {
			kinds[kind{route, false, since}] = true
			if c.key.Busy {
				kinds[kind{route, true, since}] = true
			}
		}
	}
}

// soundCalls returns the expected number of calls of the route at hosts that are not faulty.
func (h *hosts) soundCalls(c *routeCounts) float64 {
	out := 0.0

	for s, n := range c.sums {
		if x := h.target[s]; x != nil {
			out += float64(n.calls) * (1 - h.faultyPart(x))
		}
	}

	return out
}

// period returns the number of the period of a time.
func (j *Judge) period(at time.Time) int {
	return min(int(periodsPerTrial*at.Sub(j.began)/max(j.duration, 1)), periodsPerTrial)
}

// logAdd returns the logarithm of the sum of two numbers given by theirs.
func logAdd(a, b float64) float64 {
	a, b = max(a, b), min(a, b)
	if math.IsInf(b, -1) {
		return a
	}

	return a + math.Log1p(math.Exp(b-a))
}
