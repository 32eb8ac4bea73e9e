package selection

import (
	"slices"
	"time"

	"github.com/pollencart/pollencart/internal/call"
)

const (
	// FailuresToEject is the number of consecutive failures that eject a gate; one or
	// two can be caused by the call itself.
	FailuresToEject = 3
	// SlowFactor times the median plus SlowMargin is the service time above which a gate
	// is slow. Below it the choice of two shifts enough load, and service times vary randomly.
	SlowFactor = 3
	// SlowMargin keeps noise in very short service times from ejecting a gate.
	SlowMargin = 5 * time.Millisecond
	// minSamples is the number of service times needed to evaluate a gate.
	minSamples = 4
	// ProbePicks is the number of a service's calls of which an ejected gate, or one that
	// has not been picked for that many, gets one. At one of 400 a gate that is still slow
	// does not affect the 99th percentile.
	ProbePicks = 400
	// ProbeAfter is the time after which such a gate gets a call at any call rate.
	ProbeAfter = 10 * time.Second
	// confirmSpeedup is the factor by which the next probe comes sooner after a good one.
	confirmSpeedup = 10
	// GoodProbes is the number of consecutive good probes that readmit a gate.
	GoodProbes = 2
	// EjectEvery is the minimum interval between ejections of slow gates of a service. The
	// others are observed under the added load before the next one is ejected.
	EjectEvery = 250 * time.Millisecond
	// recentWindow is how long a gate counts as in use, or as answering, after its last call.
	recentWindow = 10 * time.Second
	// evaluationInterval bounds the work of computing medians.
	evaluationInterval = 20 * time.Millisecond
	// evictAfter is how long the state of an unused gate is kept.
	evictAfter = 10 * time.Minute
)

// group is the state of the gates of one service.
type group struct {
	members       map[string]*member
	picks         uint64
	median        [classCount]time.Duration
	lastEvaluated time.Time
	lastEjected   time.Time
}

func (g *group) member(c *Candidate, now time.Time) *member {
	m := g.members[c.ID]

	switch {
	case m == nil:
		g.evictUnused(now)

		m = newMember(c, now)
		m.lastPick = g.picks
		g.members[c.ID] = m
	case !c.ReadySince.IsZero() && c.ReadySince.After(m.readySince):
		m.restarted(c, now)
	}

	return m
}

// resetServiceTimes discards the learned service times.
func (m *member) resetServiceTimes() {
	for i := range m.classes {
		m.classes[i].samples = 0
	}
}

// restarted resets the state when the backend server has restarted.
func (m *member) restarted(c *Candidate, now time.Time) {
	m.readySince = c.ReadySince
	m.warmSince = now
	m.ejected, m.ejectedForFailures, m.consecutiveFailures, m.goodProbes = false, false, 0, 0
	m.resetServiceTimes()
	m.report = call.Load{}
}

func (g *group) evictUnused(now time.Time) {
	for id, m := range g.members {
		if m.inFlight(classCount-1) == 0 && now.Sub(m.lastPickedAt) > evictAfter {
			delete(g.members, id)
		}
	}
}

// probeDue reports whether the gate has not been picked for so long that its state is
// outdated. Without probes a gate that was slow once would never be used again.
func (m *member) probeDue(g *group, n Need, now time.Time) bool {
	picks, after := uint64(ProbePicks), ProbeAfter
	if m.ejected && m.goodProbes > 0 {
		picks, after = picks/confirmSpeedup, after/confirmSpeedup
	}

	since := now.Sub(m.lastPickedAt)
	if since >= after {
		return true
	}

	// A call that can't be retried, such as an upload, must not probe a failing gate.
	if m.ejectedForFailures && !n.Idempotent {
		return false
	}

	return g.picks-m.lastPick >= picks && since >= time.Second/confirmSpeedup
}

func (m *member) markPicked(g *group, now time.Time) {
	m.lastPickedAt, m.lastPick = now, g.picks
}

// evaluate ejects or readmits gates after an outcome.
func (g *group) evaluate(m *member, class int, o Outcome, now time.Time) {
	switch o.Result {
	case Failed:
		m.consecutiveFailures++
		m.goodProbes = 0
	case Answered:
		m.consecutiveFailures = 0
		m.lastAnswer = now
	case Refused, TimedOut, Abandoned:
		return
	}

	if m.consecutiveFailures >= FailuresToEject && !m.ejected && g.mayEjectFailing(m, now) {
		g.eject(m, now)
		m.ejectedForFailures = true
	}

	if now.Sub(g.lastEvaluated) >= evaluationInterval {
		g.lastEvaluated = now
		g.evaluateSlow(now)
	}

	if m.ejected && o.Result == Answered {
		g.evaluateProbe(m, class, o, now)
	}
}

func (g *group) eject(m *member, now time.Time) {
	m.ejected, m.goodProbes = true, 0
	g.lastEjected = now
}

// mayEjectFailing allows an ejection while another gate has answered recently, or within
// the limit for slow gates.
func (g *group) mayEjectFailing(m *member, now time.Time) bool {
	for _, other := range g.members {
		if other != m && !other.ejected && other.consecutiveFailures < FailuresToEject && now.Sub(other.lastAnswer) < recentWindow {
			return true
		}
	}

	return g.mayEjectSlow(now)
}

// mayEjectSlow allows the ejection of up to half of the gates that are in use.
func (g *group) mayEjectSlow(now time.Time) bool {
	ejected, used := 0, 0

	for _, m := range g.members {
		if now.Sub(m.lastEnd) > recentWindow && !m.ejected {
			continue
		}

		used++

		if m.ejected {
			ejected++
		}
	}

	return ejected+1 <= used/2
}

func (g *group) evaluateSlow(now time.Time) {
	for i := range classCount {
		g.evaluateClass(i, now)
	}
}

// evaluateClass compares the service times of one class. Classes are compared separately
// because the calls of a sweep take longer than folder opens on a healthy gate too.
func (g *group) evaluateClass(i int, now time.Time) {
	var (
		times []time.Duration
		worst *member
	)

	for _, m := range g.members {
		if m.ejected || m.classes[i].samples < minSamples || now.Sub(m.lastEnd) > recentWindow {
			continue
		}

		times = append(times, m.classes[i].service)

		if worst == nil || m.classes[i].service > worst.classes[i].service {
			worst = m
		}
	}

	if len(times) == 0 {
		return
	}

	slices.Sort(times)
	g.median[i] = times[(len(times)-1)/2]

	if g.slow(i, worst.classes[i].service) && now.Sub(g.lastEjected) >= EjectEvery && g.mayEjectSlow(now) {
		g.eject(worst, now)
	}
}

func (g *group) slow(i int, service time.Duration) bool {
	return service > SlowFactor*g.median[i]+SlowMargin
}

// evaluateProbe readmits an ejected gate after enough good probes, with the ramp of a
// cold one.
func (g *group) evaluateProbe(m *member, class int, o Outcome, now time.Time) {
	if g.slow(class, time.Duration(o.Load.Held)) {
		m.goodProbes = 0

		return
	}

	m.goodProbes++

	if m.goodProbes >= GoodProbes {
		m.ejected, m.ejectedForFailures, m.goodProbes = false, false, 0
		m.resetServiceTimes()
		m.warmSince = now
	}
}
