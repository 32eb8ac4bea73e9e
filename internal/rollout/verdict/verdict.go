// Package verdict decides whether the target version of a roll-out is good, from the counts
// that the nodes beside the backend servers report.
//
// # How the decision is made
//
// This is canary analysis with a sequential test. The canary is compared with the baseline on
// the same route over the same seconds: a failing dependency, a burst or a partition harms
// both alike and says nothing of the version. A call is bad if it ended with a server error or
// without an answer, or took far longer than nearly all calls of the baseline.
//
// Each backend server of the target version has a score for each route, the cumulative sum of
// log-likelihood ratios (CUSUM) of a bad version against a version like the baseline. A bad
// call raises it, a good one lowers it, and it never falls below zero, so that a version which
// begins to fail after many good calls is found as quickly as one that fails from the start.
//
// A host may be slow or broken whatever it runs. The version is therefore bad only if several
// of its backend servers have a conclusive score, and most of those that had enough calls. A
// route with few calls gets no backend server that far; its calls are judged together if they
// went to several.
//
// Before a version is taken for good, its hosts are compared with those of the baseline. The
// baseline tells how many hosts are faulty whatever they run, and how far sound ones differ. The
// canary's calls are weighed by how likely they are if the version is like the baseline, with as
// many faulty hosts, and if it is bad on all calls of a kind. A host that fails most of its calls
// says little for a bad version, since it may be faulty; good calls at the other hosts say much
// against one.
//
// Counts are scored a moment after they arrive, when those of the baseline for the same time
// have arrived too. Otherwise a fault that strikes all backend servers would first be seen at
// the canary alone.
//
// # Usage
//
//	j := verdict.New("v2", 16*time.Second)
//	j.Add(report)
//	d := j.Decide(verdict.Progress{Elapsed: elapsed, Canaries: 12})
package verdict

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/pollencart/pollencart/internal/rollout"
	"github.com/pollencart/pollencart/internal/rollout/evidence"
)

const (
	// conclusiveScore is the score from which a backend server counts as bad: the observed
	// calls are a hundred times as likely for a bad version.
	conclusiveScore = 4.6
	// maxScore bounds a score, so that a recovered backend server is soon seen as such.
	maxScore = 3 * conclusiveScore
	// minBadRate is the least rate of bad calls that a bad version is assumed to have;
	// badRateRatio is its least ratio to the rate of the baseline.
	minBadRate   = 0.25
	badRateRatio = 4.0
	maxBadRate   = 0.9
	// minBaselineRate is the least rate of bad calls that is assumed for the baseline.
	// baselinePrior is the weight of that assumption, in calls.
	minBaselineRate = 0.02
	baselinePrior   = 40
	// observedPrior is the weight, in calls, of the one bad call that is assumed in addition to
	// those of the baseline when hosts are compared.
	observedPrior = 100
	// maxBaselineRate is the rate of bad calls of the baseline above which a comparison says
	// little, so that canary calls are not scored.
	maxBaselineRate = 0.3
	// slowTail is the part of the baseline's calls that may be slower than the reference
	// time. A call is slow if it is slowBuckets classes, 2.2 times, beyond it: backend servers
	// of one version differ in speed.
	slowTail    = 0.02
	slowBuckets = 3
	// lateBuckets is the same when hosts are compared, which takes the spread into account.
	lateBuckets = 2
	// minSlowSample is the number of calls of the baseline from which the reference is known.
	minSlowSample = 30
	// fairDelay is how long counts wait for those of the baseline: two intervals of reports.
	fairDelay = 600 * time.Millisecond
	// badServers is the number of backend servers with a conclusive score that a verdict needs,
	// if there are as many. If some of the baseline are bad by the same measure, hosts fail,
	// and badServersBesideFaults are needed.
	badServers             = 3
	badServersBesideFaults = 5
	// clearCalls is the number of calls after which a backend server with a low score counts
	// as good.
	clearCalls = 12
	// pooledBad and pooledServers are the bad calls of a route, and the backend servers they
	// happened at, from which calls are judged together. pooledPart is the least part of the
	// backend servers with recent calls that had a bad one.
	pooledBad     = 8
	pooledServers = 4
	pooledRate    = 0.2
	pooledPart    = 0.6
	// A version is not taken for good if the evidence of a bad one, compared by hosts, exceeds
	// doubtScore at the end of the evaluation: the calls are a hundred times as likely for a bad
	// version. Before, earlyDoubtScore applies, and the evidence on all routes and on each has to
	// be below earlyClearScore: while there is time, more calls decide.
	doubtScore      = 4.6
	earlyDoubtScore = 0.7
	earlyClearScore = -1.5
)

// Times at which a good version begins to take over.
const (
	// minEvaluation and maxEvaluation bound the evaluation, which otherwise takes half of the
	// time limit. Some versions fail only after a while.
	minEvaluation = 3 * time.Second
	maxEvaluation = time.Minute
	// latestMove is the part of the time limit by which the evaluation must have ended. The
	// rest is needed to move the calls.
	latestMove = 0.8
	// minRouteCalls is the number of canary calls needed on each route that has usedRouteCalls
	// of the baseline, minBusyCalls of them at busy backend servers if busyPart of the
	// baseline's are.
	minRouteCalls  = 15
	usedRouteCalls = 200
	minBusyCalls   = 5
	// minSoundCalls is how many of the canary calls on such a route must have been at hosts that
	// are not faulty.
	minSoundCalls = 8
	busyPart      = 0.25
	// minLoadCalls is the number of canary calls needed at busy backend servers over all routes.
	// Some versions fail under load only, and the baseline may be idle during the trial.
	minLoadCalls = 12
	// minServers is the number of backend servers that must have been seen.
	minServers = 3
)

// Progress describes the roll-out at the time of a decision.
type Progress struct {
	Elapsed time.Duration
	Moving  bool
	// Canaries is the number of live backend servers of the target version.
	Canaries int
	// Capacity reports whether the target version has enough slots to take over all calls.
	Capacity bool
}

// Decision is the state that the roll-out should be in, with the reason.
type Decision struct {
	State  rollout.State
	Reason string
}

// Judge compares the versions in one roll-out. It is not safe for concurrent use.
type Judge struct {
	target   string
	duration time.Duration
	sources  map[string]*source
	routes   map[string]*routeCounts
	pending  []increment
	// began is the time of the first report.
	began time.Time
}

// source is one process beside a backend server.
type source struct {
	target bool
	last   map[evidence.Key]evidence.Counts
	score  map[evidence.Key]float64
	calls  map[evidence.Key]int
	// cells holds the scored calls that could be compared with the baseline.
	cells map[cell]sums
}

// increment is a number of calls that are not scored yet.
type increment struct {
	at     time.Time
	source *source
	key    evidence.Key
	counts evidence.Counts
}

// routeCounts are the calls of one route.
type routeCounts struct {
	baseline window
	// sound is the baseline without backend servers that are bad themselves.
	sound  window
	canary window
	// total counts all scored canary calls, baselineTotal and baselineBusy all calls of the
	// baseline.
	total, baselineTotal, baselineBusy int
	// sums holds the scored canary calls by process.
	sums map[*source]sums
	// seen and seenBad hold the time of the last call and of the last bad call at each process
	// of the canary.
	seen, seenBad map[*source]time.Time
}

// New returns a judge without evidence.
func New(target string, duration time.Duration) *Judge {
	return &Judge{target: target, duration: duration, sources: map[string]*source{}, routes: map[string]*routeCounts{}}
}

// sums are the scored calls of one route.
type sums struct {
	calls, busy int
	// bad counts the bad calls, expected how many there would be at the baseline's rate.
	bad, expected float64
}

func (s sums) plus(o sums) sums {
	return sums{s.calls + o.calls, s.busy + o.busy, s.bad + o.bad, s.expected + o.expected}
}

// maxSources bounds the processes of which counts are kept.
const maxSources = 4096

// Add adds a report. Reports of one process may arrive late or out of order.
func (j *Judge) Add(r evidence.Report) {
	id := r.Node + "/" + r.Boot

	s := j.sources[id]
	if s == nil {
		if len(j.sources) >= maxSources {
			return
		}

		s = &source{
			target: r.Version == j.target,
			last:   map[evidence.Key]evidence.Counts{}, score: map[evidence.Key]float64{}, calls: map[evidence.Key]int{}, cells: map[cell]sums{},
		}
		j.sources[id] = s
	}

	now := time.Now()
	if j.began.IsZero() {
		j.began = now
	}

	for _, x := range r.Strata {
		last := s.last[x.Key()]
		if x.Counts.Calls <= last.Calls {
			continue // an older report
		}

		added := x.Counts.Since(last)
		s.last[x.Key()] = x.Counts

		j.pending = append(j.pending, increment{now, s, x.Key(), added})

		if s.target {
			continue
		}

		c := j.route(x.Route)
		c.baseline.add(now, added)

		if !s.bad() {
			c.sound.add(now, added)
		}

		c.baselineTotal += int(added.Calls)

		if x.Busy {
			c.baselineBusy += int(added.Calls)
		}
	}
}

func (j *Judge) route(name string) *routeCounts {
	c := j.routes[name]
	if c == nil {
		c = &routeCounts{sums: map[*source]sums{}, seen: map[*source]time.Time{}, seenBad: map[*source]time.Time{}}
		j.routes[name] = c
	}

	return c
}

// Decide returns the decision that the evidence supports.
func (j *Judge) Decide(p Progress) Decision {
	j.scorePending()

	if reason := j.findBad(p); reason != "" {
		return Decision{rollout.RolledBack, reason}
	}

	if p.Moving {
		return Decision{rollout.Moving, ""}
	}

	evaluation := min(max(j.duration/2, minEvaluation), maxEvaluation)
	if p.Elapsed < evaluation {
		return Decision{rollout.Running, ""}
	}

	missing := j.missing(p)

	switch {
	case missing == "":
		return Decision{rollout.Moving, "like the baseline: " + j.Summary()}
	case p.Elapsed >= j.latestMove():
		return Decision{rollout.RolledBack, "not shown to be good in time: " + missing + "; " + j.Summary()}
	}

	return Decision{rollout.Running, missing}
}

// scorePending scores the calls for which the baseline's counts have arrived.
func (j *Judge) scorePending() {
	due := time.Now().Add(-fairDelay)

	for len(j.pending) > 0 && !j.pending[0].at.After(due) {
		j.score(j.pending[0])
		j.pending = j.pending[1:]
	}
}

func (j *Judge) score(i increment) {
	c := j.route(i.key.Route)
	reference := c.baseline.referenceAt(i.at)
	rate := reference.rate

	calls := int(i.counts.Calls)
	bad := int(i.counts.Failed + i.counts.Slow(reference.slowFrom))

	if i.source.target {
		c.addCanary(i, calls)
	}

	i.source.calls[i.key] += calls

	if rate > maxBaselineRate {
		return
	}

	late := int(i.counts.Failed + i.counts.Slow(reference.lateFrom))
	compared := sums{calls: calls, bad: float64(late), expected: float64(calls) * c.sound.lateRateAt(i.at, reference)}
	where := cell{i.key, j.period(i.at)}
	i.source.cells[where] = i.source.cells[where].plus(compared)

	if i.source.target && bad > 0 {
		c.seenBad[i.source] = i.at
	}

	expected := min(max(minBadRate, badRateRatio*rate), maxBadRate)
	gain := float64(bad)*math.Log(expected/rate) + float64(calls-bad)*math.Log((1-expected)/(1-rate))
	i.source.score[i.key] = min(max(i.source.score[i.key]+gain, 0), maxScore)
}

// bad reports whether the backend server has a conclusive score.
func (s *source) bad() bool {
	for _, score := range s.score {
		if score >= conclusiveScore {
			return true
		}
	}

	return false
}

func (c *routeCounts) addCanary(i increment, calls int) {
	c.canary.add(i.at, i.counts)
	c.total += calls
	c.seen[i.source] = i.at

	added := sums{calls: calls}
	if i.key.Busy {
		added.busy = calls
	}

	c.sums[i.source] = c.sums[i.source].plus(added)
}

// findBad returns why the target version is bad, or "".
func (j *Judge) findBad(p Progress) string {
	baseline := j.tallies(false)

	for key, t := range j.tallies(true) {
		if t.bad >= badNeeded(p.Canaries, baseline[key]) && t.bad > 2*t.good {
			return fmt.Sprintf("bad on %s: %d of %d backend servers; %s", describe(key), t.bad, t.bad+t.good, j.Summary())
		}
	}

	for route, c := range j.routes {
		needed := min(pooledServers, p.Canaries)
		if baseline[evidence.Key{Route: route}].bad+baseline[evidence.Key{Route: route, Busy: true}].bad > 0 {
			needed = min(badServersBesideFaults, p.Canaries)
		}

		if r := c.recent(); r.bad >= pooledBad && r.badServers >= needed && float64(r.badServers) >= pooledPart*float64(r.servers) &&
			float64(r.bad) > float64(r.calls)*max(pooledRate, badRateRatio*c.baseline.reference().rate) {
			return fmt.Sprintf("bad on %s: %d of %d recent calls at %d backend servers; %s", route, r.bad, r.calls, r.badServers, j.Summary())
		}
	}

	return ""
}

// badNeeded returns the number of bad backend servers of the target version that a verdict needs.
func badNeeded(canaries int, baseline tally) int {
	needed := badServers
	if baseline.bad > 0 {
		needed = badServersBesideFaults
	}

	return max(min(needed, canaries), 1)
}

func describe(k evidence.Key) string {
	if k.Busy {
		return k.Route + " under load"
	}

	return k.Route
}

// tally counts the backend servers of one version by what their scores show.
type tally struct{ bad, good int }

// tallies returns the tally of each stratum for the target version or the baseline.
func (j *Judge) tallies(target bool) map[evidence.Key]tally {
	out := map[evidence.Key]tally{}

	for _, s := range j.sources {
		if s.target != target {
			continue
		}

		for key, calls := range s.calls {
			t := out[key]

			switch {
			case s.score[key] >= conclusiveScore:
				t.bad++
			case calls >= clearCalls && s.score[key] < conclusiveScore/2:
				t.good++
			}

			out[key] = t
		}
	}

	return out
}

// recentCalls are the canary calls of the last seconds, and at how many backend servers they and
// the bad ones among them happened.
type recentCalls struct{ calls, bad, servers, badServers int }

// recent counts no calls while the baseline is bad, too.
func (c *routeCounts) recent() recentCalls {
	reference := c.baseline.reference()
	if reference.rate > maxBaselineRate {
		return recentCalls{}
	}

	sum := c.canary.sum()

	return recentCalls{
		calls: int(sum.Calls), bad: int(sum.Failed + sum.Slow(reference.slowFrom)), servers: countRecent(c.seen), badServers: countRecent(c.seenBad),
	}
}

func countRecent(seen map[*source]time.Time) int {
	n := 0

	for _, at := range seen {
		if time.Since(at) < windowLength {
			n++
		}
	}

	return n
}

// missing returns what evidence is missing to call the target version good, or "".
func (j *Judge) missing(p Progress) string {
	if p.Canaries == 0 {
		return "no backend server of the target version"
	}

	if !p.Capacity {
		return "too few backend servers of the target version"
	}

	var all sums

	servers := 0

	for _, s := range j.sources {
		if s.target && len(s.calls) > 0 {
			servers++
		}
	}

	compared := j.compareHosts()

	for route, c := range j.routes {
		if reason := c.missing(compared); reason != "" {
			return route + ": " + reason
		}

		for _, x := range c.sums {
			all = all.plus(x)
		}
	}

	switch {
	case servers < min(minServers, p.Canaries) || all.calls < minRouteCalls:
		return fmt.Sprintf("%d calls at %d backend servers", all.calls, servers)
	case all.busy < minLoadCalls:
		return fmt.Sprintf("%d calls under load", all.busy)
	}

	return j.doubt(p, compared)
}

// doubt returns why the target version may be bad, or "".
func (j *Judge) doubt(p Progress, compared *hosts) string {
	tolerated := doubtScore

	if p.Elapsed < j.latestMove() {
		tolerated = earlyDoubtScore
		used := []kind{{}}

		for route, c := range j.routes {
			if c.baselineTotal >= usedRouteCalls {
				used = append(used, kind{route: route})
			}
		}

		if k, e := compared.strongest(used); e > earlyClearScore {
			return fmt.Sprintf("%s: not known to be good, score %.1f", k, e)
		}
	}

	if k, e := compared.strongest(compared.badKinds()); e > tolerated {
		return fmt.Sprintf("%s: may be bad, score %.1f with %.2f of the hosts faulty", k, e, compared.faulty)
	}

	return ""
}

func (j *Judge) latestMove() time.Duration { return time.Duration(latestMove * float64(j.duration)) }

// missing returns what calls of the route are missing, or "".
func (c *routeCounts) missing(compared *hosts) string {
	if c.baselineTotal < usedRouteCalls {
		return ""
	}

	var all sums
	for _, x := range c.sums {
		all = all.plus(x)
	}

	sound := compared.soundCalls(c)

	switch {
	case all.calls < minRouteCalls || sound < minSoundCalls:
		return fmt.Sprintf("%d canary calls, %.0f of them not at faulty hosts", all.calls, sound)
	case float64(c.baselineBusy) >= busyPart*float64(c.baselineTotal) && all.busy < minBusyCalls:
		return fmt.Sprintf("%d canary calls under load", all.busy)
	}

	return ""
}

// Summary describes the evidence: for each route the recent calls and bad calls of canary and
// baseline.
func (j *Judge) Summary() string {
	const maxRoutes = 6

	var parts []string

	for route, c := range j.routes {
		if c.total == 0 || len(parts) == maxRoutes {
			continue
		}

		r, s := c.baseline.reference(), c.canary.sum()
		parts = append(parts, fmt.Sprintf("%s canary %d calls, recently %d of %d bad, baseline %.3f bad",
			route, c.total, s.Failed+s.Slow(r.slowFrom), s.Calls, r.rate))
	}

	if len(parts) == 0 {
		return "no calls"
	}

	return strings.Join(parts, "; ")
}
