package selection

import (
	"math"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/pkg/settings"
)

const (
	// Ramp is the time until a cold or readmitted gate gets its full share of calls. The
	// caches of a backend server are warm after some seconds of calls.
	Ramp = 10 * time.Second
	// rampStart is the probability that a cold gate is sampled at the start of the ramp.
	// At zero it would never warm up. Once sampled it usually wins, since it is idle.
	rampStart = 0.05
	// ReportTTL is how long a report is used. Under significant load a gate answers many
	// times within it, so an older report is stale.
	ReportTTL = time.Second
	// DrainingTTL is how long a gate gets no calls after it has reported that it is
	// draining. Its new state arrives by gossip within that time.
	DrainingTTL = 5 * time.Second
	// maxReportRatio bounds the reported wait to a multiple of the observed one.
	maxReportRatio = 16
	// freeSlotDivisor gives the part of the slots that is assumed to be free if the node's
	// own calls did not wait: one in this many.
	freeSlotDivisor = 4
	// smoothing is the window of the moving averages, in calls.
	smoothing = 8
	// maxSampleRatio clips a service time to a multiple of the current average, so that a
	// single long call has little effect.
	maxSampleRatio = 4
)

const classCount = settings.ClassCount

// member is the state of one gate.
type member struct {
	readySince time.Time
	warmSince  time.Time // start of the ramp

	epoch      time.Time
	report     call.Load
	reportedAt time.Time
	roundTrip  time.Duration // moving average of the time outside queue and slot
	classes    [classCount]classStats
	lastEnd    time.Time
	lastAnswer time.Time

	consecutiveFailures int
	ejected             bool
	ejectedForFailures  bool // not for slowness
	goodProbes          int  // consecutive
	lastPickedAt        time.Time
	lastPick            uint64
}

// classStats holds a gate's statistics from the node's own calls of one class.
type classStats struct {
	inFlight           int
	startSum           time.Duration // sum of start times since epoch
	startedSinceReport int           // calls since the last report
	waited             time.Duration // moving average of the time in its queue
	service            time.Duration // moving average of the time in a slot
	samples            int
}

func newMember(c *Candidate, now time.Time) *member {
	m := &member{readySince: c.ReadySince, epoch: now, lastPickedAt: now, warmSince: now}
	// The hosts' clocks differ, so a start time in the future counts as now.
	if !c.ReadySince.IsZero() && c.ReadySince.Before(now) {
		m.warmSince = c.ReadySince
	}

	return m
}

func (m *member) begin(class int, now time.Time) {
	c := &m.classes[class]
	c.inFlight++
	c.startedSinceReport++
	c.startSum += now.Sub(m.epoch)
}

func (m *member) end(class int, start, now time.Time) {
	c := &m.classes[class]
	c.inFlight--
	c.startSum -= start.Sub(m.epoch)
	m.lastEnd = now
}

// inFlight counts the node's own calls of this class and of more urgent ones.
func (m *member) inFlight(class int) int {
	n := 0
	for i := range class + 1 {
		n += m.classes[i].inFlight
	}

	return n
}

// age returns the mean age of the calls in flight of a class.
func (m *member) age(class int, now time.Time) time.Duration {
	c := &m.classes[class]
	if c.inFlight == 0 {
		return 0
	}

	return now.Sub(m.epoch) - c.startSum/time.Duration(c.inFlight)
}

func (m *member) observe(class int, o Outcome, took time.Duration, now time.Time) {
	if o.Result != Failed || o.Load.Slots > 0 {
		m.report, m.reportedAt = o.Load, now
		for i := range m.classes {
			m.classes[i].startedSinceReport = 0
		}
	}

	if o.Result != Answered {
		return
	}

	c := &m.classes[class]
	waited, held := time.Duration(o.Load.Waited), time.Duration(o.Load.Held)
	updateAverage(&c.waited, waited)
	updateAverage(&m.roundTrip, max(0, took-waited-held))

	c.samples++

	if c.samples == 1 {
		c.service = held

		return
	}

	updateAverage(&c.service, min(held, maxSampleRatio*c.service+time.Millisecond))
}

func updateAverage(value *time.Duration, next time.Duration) { *value += (next - *value) / smoothing }

// draining reports whether the gate has recently reported that it takes no more calls.
func (m *member) draining(now time.Time) bool {
	return m.report.Leaving && now.Sub(m.reportedAt) < DrainingTTL
}

// skipCold reports whether to skip the gate in this sample because it is cold. The
// probability falls linearly to zero over the ramp.
func (m *member) skipCold(random Random, now time.Time) bool {
	since := now.Sub(m.warmSince)
	if since >= Ramp {
		return false
	}

	warm := rampStart + (1-rampStart)*float64(since)/float64(Ramp)

	return math.Exp(-random.ExpFloat64()) > warm
}

// cost returns the expected time until an answer.
func (m *member) cost(g *group, c *Candidate, class int, now time.Time) time.Duration {
	seen := &m.classes[class]

	service := seen.service
	if seen.samples == 0 {
		service = g.median[class]
	}

	// When a backend server hangs, the age of its calls in flight exceeds the learned
	// service time and replaces it.
	service = max(service, m.age(class, now)-seen.waited, time.Microsecond)
	slots := max(c.Slots, 1)
	work := max(m.inFlight(class), m.reportedWork(class, slots, service, now)) + 1
	wait := service * time.Duration(max(0, work-slots)) / time.Duration(slots)

	return m.roundTrip + service + contentionDelay(service, work, slots) + wait
}

// contentionDelay returns the delay that results from the probability that all slots are
// taken when the call arrives. At ten slots that probability is close to the fourth power of
// the utilization: small up to a half, so that calls stay in the same failure domain, and
// steep above.
func contentionDelay(service time.Duration, work, slots int) time.Duration {
	used := min(1, float64(work)/float64(slots))

	return time.Duration(float64(service) * used * used * used * used)
}

// reportedWork estimates the gate's current work from its last report: the average, plus
// the excess of the momentary count over it, which decays with the service time. An old
// momentary count is noise; using it sends calls to slots that other nodes have since taken.
//
// The estimate is limited by the node's own waits: if its calls did not wait, each of them
// found a free slot, so a gate that reports a long queue counts as at most three quarters in use.
func (m *member) reportedWork(class, slots int, service time.Duration, now time.Time) int {
	age := now.Sub(m.reportedAt)
	if age > ReportTTL {
		return 0
	}

	startedSinceReport := 0
	for i := range class + 1 {
		startedSinceReport += m.classes[i].startedSinceReport
	}

	average := m.report.Usual[class]
	excess := float64(m.report.Work[class]) - average
	work := average + excess*math.Exp(-float64(age)/float64(service))
	limit := slots - slots/freeSlotDivisor + int(maxReportRatio*m.classes[class].waited*time.Duration(slots)/service)

	return min(int(math.Round(work))+startedSinceReport, limit)
}
