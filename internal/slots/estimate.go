package slots

import (
	"math"
	"time"
)

// usage is the recent slot time of a rank's calls, with exponential decay.
type usage struct {
	slotTime time.Duration
	updated  time.Time
}

// usageWindow is the time constant for averaging slot usage per rank: longer than most
// calls, shorter than a burst.
const usageWindow = time.Second

// rankCount is the number of ranks with separate statistics; less urgent ranks share the last.
const rankCount = 8

// rankIndex returns the index of the statistics that count the call. Nested calls count as the
// most urgent rank.
func rankIndex(w Work) int {
	if w.Nested {
		return 0
	}

	return min(max(w.Rank, 0), rankCount-1)
}

func (u *usage) now(now time.Time) time.Duration {
	if u.updated.IsZero() {
		return 0
	}

	return time.Duration(float64(u.slotTime) * math.Exp(-float64(now.Sub(u.updated))/float64(usageWindow)))
}

func (u *usage) add(slotTime time.Duration, now time.Time) {
	u.slotTime, u.updated = u.now(now)+slotTime, now
}

// availableShare returns the share of the slots that more urgent ranks leave free, based on
// their recent usage. Calls of those ranks overtake waiting ones; an estimate that ignores
// them is too short for a low rank.
func (q *Queue) availableShare(rank int, now time.Time) float64 {
	taken := 0.0
	for i := range rank {
		taken += float64(q.usage[i].now(now))
	}

	return max(1-taken/(float64(usageWindow)*float64(q.slots)), 1.0/StarvedStartInterval)
}

// expectedWait estimates how long the call waits for a slot and for the pace.
func (q *Queue) expectedWait(s *Slot, now time.Time) time.Duration {
	return max(q.slotWait(s, now), q.paceWait(s, now))
}

// slotWait estimates how long the call waits for a slot. It assigns the running calls and
// those ahead in the queue to the slots, each to the slot that becomes free first. The mean
// over all slots would overestimate the wait: behind long calls, a short call would appear
// to wait for half of one, however many slots there are.
func (q *Queue) slotWait(s *Slot, now time.Time) time.Duration {
	reserved := !s.work.Nested && q.slotReserved(now)
	if len(q.running)+len(q.waiting) < q.slots && !reserved {
		return 0
	}

	rank := rankIndex(s.work)
	starved := q.admittedShare[rank] < MinAdmittedShare
	availableShare := q.availableShare(rank, now)

	if starved {
		availableShare = 1.0 / StarvedStartInterval
	}

	free := q.slotFreeTimes(now)
	if reserved {
		*earliestFree(free) = s.serviceTime
	}

	for _, o := range q.waiting {
		if o.before(s, now) && (!starved || rankIndex(o.work) == rank) {
			*earliestFree(free) += o.serviceTime
		}
	}

	return time.Duration(float64(*earliestFree(free)) / availableShare)
}

// slotFreeTimes returns the time until each slot becomes free.
func (q *Queue) slotFreeTimes(now time.Time) []time.Duration {
	free := make([]time.Duration, 0, max(q.slots, len(q.running)))
	for r := range q.running {
		free = append(free, max(r.serviceTime-now.Sub(r.started), r.serviceTime/minRemainingDivisor))
	}

	for len(free) < q.slots {
		free = append(free, 0)
	}

	return free
}

func earliestFree(free []time.Duration) *time.Duration {
	best := 0

	for i, d := range free {
		if d < free[best] {
			best = i
		}
	}

	return &free[best]
}

// serviceTime returns the expected service time of a route's calls that start now and a margin that
// most calls don't exceed.
func (q *Queue) serviceTime(route string, now time.Time) (expected, margin time.Duration) {
	factor := q.slowness.now(now)

	if s, ok := q.serviceTimes.Get(route); ok {
		return time.Duration(factor * float64(s.mean)), time.Duration(factor * q.marginDeviations(now) * float64(s.deviation))
	}

	return time.Duration(factor * float64(defaultServiceTime)), 0
}

// marginDeviations returns the margin in mean deviations of the service time.
func (q *Queue) marginDeviations(now time.Time) float64 {
	if len(q.waiting) > 0 && now.Sub(q.waitingSince) > standingQueueAfter {
		return standingMarginDeviations
	}

	return burstMarginDeviations
}

func (q *Queue) observe(route string, took time.Duration) {
	q.serviceTimes.At(route).observe(took)
}

// serviceTimeEstimate is the observed service time of a route's calls at this backend server, for a
// slowness of 1.
type serviceTimeEstimate struct {
	mean      time.Duration
	deviation time.Duration // mean absolute deviation
	samples   int
}

// observe takes the plain mean of the first samples and an exponential moving average after that.
func (s *serviceTimeEstimate) observe(took time.Duration) {
	if s.samples < serviceTimeSamples {
		s.samples++
	} else {
		took = min(took, maxSampleFactor*s.mean)
	}

	off := took - s.mean
	s.mean += off / time.Duration(s.samples)

	if s.samples > 1 {
		s.deviation += (off.Abs() - s.deviation) / time.Duration(s.samples)
	}
}
