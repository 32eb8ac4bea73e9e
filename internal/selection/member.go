package selection

import (
	"math"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/pkg/settings"
)

const (
	// Ramp is how long a cold or readmitted gate takes to its whole share; the
	// caches of a backend server are warm after some seconds of calls.
	Ramp = 10 * time.Second
	// rampStart is how often a cold one takes part in a draw at the begin; at
	// none it would never warm up. It wins most of these, since it is empty.
	rampStart = 0.05
	// ReportLife is how long a report counts. At any load that matters a gate
	// answers many times in it; a report that is older is a frozen one.
	ReportLife = time.Second
	// LeavingLife is how long a gate that said it is leaving gets no calls. By
	// then its new state has come by gossip.
	LeavingLife = 5 * time.Second
	// bearOut bounds a report by own waits: it may be this many times worse.
	bearOut = 16
	// freePart of the slots were free if own calls did not wait.
	freePart = 4
	// smoothing of service times; about as many calls have a say.
	smoothing = 8
	// clip bounds what one call can say about service time, so that a single
	// long one among short ones moves little.
	clip = 4
)

const classCount = settings.ClassCount

// member is what is known of one gate.
type member struct {
	readySince time.Time
	warmSince  time.Time // begin of the ramp

	epoch      time.Time
	report     call.Load
	reported   time.Time
	way        time.Duration // smoothed time that is neither wait nor service
	classes    [classCount]outcomes
	lastEnd    time.Time
	lastAnswer time.Time

	failures int // running
	ejected  bool
	failing  bool // ejected for failures, not for slowness
	good     int  // good probes running
	pickedAt time.Time
	pickedNo uint64
}

// outcomes is what own calls of one class showed of a gate.
type outcomes struct {
	inFlight int
	starts   time.Duration // sum of start times since epoch
	started  int           // since the last report
	waited   time.Duration // smoothed waits in its queue
	service  time.Duration // smoothed times in a slot
	samples  int
}

func newMember(c *Candidate, now time.Time) *member {
	m := &member{readySince: c.ReadySince, epoch: now, pickedAt: now, warmSince: now}
	// The clocks of two hosts differ; a start that lies ahead is a start now.
	if !c.ReadySince.IsZero() && c.ReadySince.Before(now) {
		m.warmSince = c.ReadySince
	}

	return m
}

func (m *member) begin(class int, now time.Time) {
	c := &m.classes[class]
	c.inFlight++
	c.started++
	c.starts += now.Sub(m.epoch)
}

func (m *member) end(class int, start, now time.Time) {
	c := &m.classes[class]
	c.inFlight--
	c.starts -= start.Sub(m.epoch)
	m.lastEnd = now
}

// inFlight counts own calls that go before a new one of the class, or beside it.
func (m *member) inFlight(class int) int {
	n := 0
	for i := range class + 1 {
		n += m.classes[i].inFlight
	}

	return n
}

// age is how long the calls of a class that are in flight have run on average.
func (m *member) age(class int, now time.Time) time.Duration {
	c := &m.classes[class]
	if c.inFlight == 0 {
		return 0
	}

	return now.Sub(m.epoch) - c.starts/time.Duration(c.inFlight)
}

func (m *member) learn(class int, o Outcome, took time.Duration, now time.Time) {
	if o.Result != Failed || o.Load.Slots > 0 {
		m.report, m.reported = o.Load, now
		for i := range m.classes {
			m.classes[i].started = 0
		}
	}

	if o.Result != Answered {
		return
	}

	c := &m.classes[class]
	waited, held := time.Duration(o.Load.Waited), time.Duration(o.Load.Held)
	smooth(&c.waited, waited)
	smooth(&m.way, max(0, took-waited-held))

	c.samples++

	if c.samples == 1 {
		c.service = held

		return
	}

	smooth(&c.service, min(held, clip*c.service+time.Millisecond))
}

func smooth(value *time.Duration, next time.Duration) { *value += (next - *value) / smoothing }

// leaving reports whether the gate said that it takes no more calls.
func (m *member) leaving(now time.Time) bool {
	return m.report.Leaving && now.Sub(m.reported) < LeavingLife
}

// cold reports whether this draw passes the gate over because it is cold: always
// less often until the ramp is over.
func (m *member) cold(random Random, now time.Time) bool {
	since := now.Sub(m.warmSince)
	if since >= Ramp {
		return false
	}

	warm := rampStart + (1-rampStart)*float64(since)/float64(Ramp)

	return math.Exp(-random.ExpFloat64()) > warm
}

// cost is how long an answer is expected to take.
func (m *member) cost(g *group, c *Candidate, class int, now time.Time) time.Duration {
	seen := &m.classes[class]

	service := seen.service
	if seen.samples == 0 {
		service = g.median[class]
	}

	// Calls in flight that are older than calls usually get say more than what
	// was learned before the backend server hung.
	service = max(service, m.age(class, now)-seen.waited, time.Microsecond)
	slots := max(c.Slots, 1)
	work := max(m.inFlight(class), m.reportedWork(class, slots, service, now)) + 1
	wait := service * time.Duration(max(0, work-slots)) / time.Duration(slots)

	return m.way + service + chance(service, work, slots) + wait
}

// chance is the time lost by the chance that all slots are taken when the call
// arrives. At ten slots that chance is close to the fourth power of the share in
// use: small up to a half, so that work stays near, and steep above.
func chance(service time.Duration, work, slots int) time.Duration {
	used := min(1, float64(work)/float64(slots))

	return time.Duration(float64(service) * used * used * used * used)
}

// reportedWork is what the gate is thought to have now: what it usually has,
// and of the excess over that at its last report what has not ended since. An
// old count of a moment is noise, and whoever follows it runs after gaps that
// others have long filled.
//
// It counts as far as own waits bear it out: a gate that reports a long queue in
// which own calls did not wait has had a free slot for each of them, so it counts
// as three quarters in use, no worse.
func (m *member) reportedWork(class, slots int, service time.Duration, now time.Time) int {
	age := now.Sub(m.reported)
	if age > ReportLife {
		return 0
	}

	started := 0
	for i := range class + 1 {
		started += m.classes[i].started
	}

	usual := m.report.Usual[class]
	excess := float64(m.report.Work[class]) - usual
	work := usual + excess*math.Exp(-float64(age)/float64(service))
	borne := slots - slots/freePart + int(bearOut*m.classes[class].waited*time.Duration(slots)/service)

	return min(int(math.Round(work))+started, borne)
}
