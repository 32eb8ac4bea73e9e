package selection

import (
	"slices"
	"time"

	"github.com/pollencart/pollencart/internal/call"
)

const (
	// FailuresToEject running: one or two can be the call's own fault.
	FailuresToEject = 3
	// SlowFactor over the median, plus SlowMargin: below it two choices shift
	// the load well enough, and service times differ by chance.
	SlowFactor = 3
	// SlowMargin keeps very short service times from being judged by noise.
	SlowMargin = 5 * time.Millisecond
	// samplesToJudge is how many service times have to be seen first.
	samplesToJudge = 4
	// ProbePicks is of how many calls an ejected gate, or one that was not picked
	// for long, gets one. At one of 400 a gate that is still slow does not reach
	// the 99th percentile.
	ProbePicks = 400
	// ProbeAfter is when it gets one however few calls there are.
	ProbeAfter = 10 * time.Second
	// probeFaster is how much sooner the second probe comes after a good one.
	probeFaster = 10
	// GoodProbes readmit a gate.
	GoodProbes = 2
	// EjectEvery bounds how fast work shifts away from a service's slow gates:
	// the others have to be seen with the added load before the next one goes.
	EjectEvery = 250 * time.Millisecond
	// recent is how long the last answer of a gate vouches for it.
	recent = 10 * time.Second
	// judgeEvery bounds the work of computing medians.
	judgeEvery = 20 * time.Millisecond
	// forgetAfter drops gates that were not seen for long.
	forgetAfter = 10 * time.Minute
)

// group is what is known of the gates of one service.
type group struct {
	members     map[string]*member
	picks       uint64
	median      [classCount]time.Duration
	judged      time.Time
	lastEjected time.Time
}

func (g *group) member(c *Candidate, now time.Time) *member {
	m := g.members[c.ID]

	switch {
	case m == nil:
		g.forget(now)

		m = newMember(c, now)
		m.pickedNo = g.picks
		g.members[c.ID] = m
	case !c.ReadySince.IsZero() && c.ReadySince.After(m.readySince):
		m.restarted(c, now)
	}

	return m
}

// forgetTimes starts to learn service times anew.
func (m *member) forgetTimes() {
	for i := range m.classes {
		m.classes[i].samples = 0
	}
}

// restarted forgets what was known of the backend server before it came back.
func (m *member) restarted(c *Candidate, now time.Time) {
	m.readySince = c.ReadySince
	m.warmSince = now
	m.ejected, m.failing, m.failures, m.good = false, false, 0, 0
	m.forgetTimes()
	m.report = call.Load{}
}

func (g *group) forget(now time.Time) {
	for id, m := range g.members {
		if m.inFlight(classCount-1) == 0 && now.Sub(m.pickedAt) > forgetAfter {
			delete(g.members, id)
		}
	}
}

// probeDue reports whether the gate was not picked for so long that nothing is
// known of it. Without probes a gate that was slow once is never seen again.
func (m *member) probeDue(g *group, n Need, now time.Time) bool {
	picks, after := uint64(ProbePicks), ProbeAfter
	if m.ejected && m.good > 0 {
		picks, after = picks/probeFaster, after/probeFaster
	}

	since := now.Sub(m.pickedAt)
	if since >= after {
		return true
	}

	// An upload must not be the one that finds out whether a gate still fails.
	if m.failing && !n.Idempotent {
		return false
	}

	return g.picks-m.pickedNo >= picks && since >= time.Second/probeFaster
}

func (m *member) probed(g *group, now time.Time) {
	m.pickedAt, m.pickedNo = now, g.picks
}

// judge ejects or readmits gates after an outcome.
func (g *group) judge(m *member, class int, o Outcome, now time.Time) {
	switch o.Result {
	case Failed:
		m.failures++
		m.good = 0
	case Answered:
		m.failures = 0
		m.lastAnswer = now
	case Refused, TimedOut, Abandoned:
		return
	}

	if m.failures >= FailuresToEject && !m.ejected && g.mayEjectFailing(m, now) {
		g.eject(m, now)
		m.failing = true
	}

	if now.Sub(g.judged) >= judgeEvery {
		g.judged = now
		g.judgeSlow(now)
	}

	if m.ejected && o.Result == Answered {
		g.readmit(m, class, o, now)
	}
}

func (g *group) eject(m *member, now time.Time) {
	m.ejected, m.good = true, 0
	g.lastEjected = now
}

// mayEjectFailing keeps the last gate that answers.
func (g *group) mayEjectFailing(m *member, now time.Time) bool {
	for _, other := range g.members {
		if other != m && !other.ejected && other.failures < FailuresToEject && now.Sub(other.lastAnswer) < recent {
			return true
		}
	}

	return g.mayEjectSlow(now)
}

// mayEjectSlow keeps half of the gates that are in use.
func (g *group) mayEjectSlow(now time.Time) bool {
	ejected, used := 0, 0

	for _, m := range g.members {
		if now.Sub(m.lastEnd) > recent && !m.ejected {
			continue
		}

		used++

		if m.ejected {
			ejected++
		}
	}

	return ejected+1 <= used/2
}

func (g *group) judgeSlow(now time.Time) {
	for i := range classCount {
		g.judgeClass(i, now)
	}
}

// judgeClass compares the service times of one class, since a sweep's calls
// take longer than folder opens on a healthy gate too.
func (g *group) judgeClass(i int, now time.Time) {
	var (
		times []time.Duration
		worst *member
	)

	for _, m := range g.members {
		if m.ejected || m.classes[i].samples < samplesToJudge || now.Sub(m.lastEnd) > recent {
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

// readmit takes a gate back after good probes, on a ramp as a cold one.
func (g *group) readmit(m *member, class int, o Outcome, now time.Time) {
	if g.slow(class, time.Duration(o.Load.Held)) {
		m.good = 0

		return
	}

	m.good++

	if m.good >= GoodProbes {
		m.ejected, m.failing, m.good = false, false, 0
		m.forgetTimes()
		m.warmSince = now
	}
}
