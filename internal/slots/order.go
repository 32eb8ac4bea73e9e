package slots

import (
	"slices"
	"time"
)

// recordOutcome updates the admitted share of the call's rank: 1 for an admitted call, 0 for a
// rejected one.
func (q *Queue) recordOutcome(w Work, admitted float64) {
	share := &q.admittedShare[rankIndex(w)]
	*share += (admitted - *share) / admittedShareSamples

	if w.Workspace != "" {
		q.shares.Record(w.Workspace, admitted > 0)
	}
}

// hopeless reports whether a waiting call should be rejected: it can't end before its
// deadline, or too many waiting calls are likely to miss their target.
func (q *Queue) hopeless(s *Slot) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	now := time.Now()

	return !now.Add(s.serviceTime).Before(s.work.Deadline) || q.countNotOnTime(now) > q.maxNotOnTime()
}

// maxNotOnTime returns how many calls may wait that are not expected to meet their target.
func (q *Queue) maxNotOnTime() int { return max(q.slots/notOnTimeDivisor, 1) }

// evaluateWait decides whether a call that can't start at once may wait. A call that meets its
// target only if it is not longer than expected may replace a waiting call that is less
// likely to meet its own; any call may replace a less urgent one. Otherwise a few less urgent
// calls that can't be on time keep out urgent ones.
func (q *Queue) evaluateWait(s *Slot, now time.Time, wait time.Duration) error {
	end := now.Add(wait + s.serviceTime)

	switch {
	case !end.Add(s.margin).After(s.work.Target):
		return s.checkNearbyWait(wait)
	case s.work.Elsewhere:
		return ErrElsewhere
	case end.After(s.work.Deadline):
		return ErrTooLate
	case q.countNotOnTime(now) < q.maxNotOnTime():
		return nil
	case !end.After(s.work.Target), q.hasLessUrgent(s):
		return q.replace(s, now)
	}

	return ErrTooLate
}

// checkNearbyWait rejects a call whose wait is long if a node of the same failure domain may
// have a free slot.
func (s *Slot) checkNearbyWait(wait time.Duration) error {
	if s.work.Nearby && wait > time.Duration(maxWaitFactor*float64(s.serviceTime)) {
		return ErrWouldWait
	}

	return nil
}

// hasLessUrgent reports whether a call of a less urgent rank waits.
func (q *Queue) hasLessUrgent(s *Slot) bool {
	return slices.ContainsFunc(q.waiting, func(o *Slot) bool { return o.work.Rank > s.work.Rank })
}

// replace rejects the last waiting call in start order if the given call precedes it.
func (q *Queue) replace(s *Slot, now time.Time) error {
	q.updateAbove(now)

	worst := -1

	for i, o := range q.waiting {
		if worst < 0 || q.waiting[worst].before(o, now) {
			worst = i
		}
	}

	o := q.waiting[worst]
	if !s.before(o, now) {
		return ErrTooLate
	}

	q.waiting = slices.Delete(q.waiting, worst, worst+1)
	q.recordOutcome(o.work, 0)

	if s.passes(o) {
		q.passedOver++
	}

	o.decision <- ErrTooLate

	return nil
}

// countNotOnTime counts the waiting calls that are not expected to meet their target.
func (q *Queue) countNotOnTime(now time.Time) int {
	count := 0

	for _, o := range q.waiting {
		if o.prospect(now) != runOnTimeShare {
			count++
		}
	}

	return count
}

// dequeue removes and returns the call that starts next.
func (q *Queue) dequeue(now time.Time) *Slot {
	q.startCount++

	onlyRank := -1
	if q.startCount%StarvedStartInterval == 0 {
		onlyRank = q.starvedRank()
	}

	q.updateAbove(now)

	best := -1

	for i, o := range q.waiting {
		if onlyRank >= 0 && rankIndex(o.work) != onlyRank {
			continue
		}

		if best < 0 || o.before(q.waiting[best], now) {
			best = i
		}
	}

	s := q.waiting[best]
	q.waiting = slices.Delete(q.waiting, best, best+1)

	if slices.ContainsFunc(q.waiting, func(o *Slot) bool { return s.passes(o) && o.startsBefore(s, now) }) {
		q.passedOver++
	}

	return s
}

// starvedRank returns the rank with the lowest admitted share among the waiting calls if that
// share is below MinAdmittedShare, or -1.
func (q *Queue) starvedRank() int {
	starvedRank, least := -1, MinAdmittedShare

	for _, o := range q.waiting {
		if candidate := rankIndex(o.work); q.admittedShare[candidate] < least {
			starvedRank, least = candidate, q.admittedShare[candidate]
		}
	}

	return starvedRank
}

// before orders nested calls before others, then by rank, then calls of workspaces above their fair
// share after others, then by startsBefore.
func (s *Slot) before(o *Slot, now time.Time) bool {
	if s.work.Nested != o.work.Nested {
		return s.work.Nested
	}

	if s.work.Rank != o.work.Rank {
		return s.work.Rank < o.work.Rank
	}

	if s.above != o.above {
		return o.above
	}

	return s.startsBefore(o, now)
}

// prospect is the expected outcome of a call that starts now.
type prospect uint8

const (
	// onTime calls have their expected service time plus the margin left until the target.
	runOnTimeShare prospect = iota
	// doubtful calls meet the target only if they are shorter than expected.
	doubtful
	// late calls miss the target; their deadline may still be met.
	late
)

// shortestDivisor of the expected service time gives the shortest time assumed for a call:
// with a spread of 0.5, one call in eight takes less than half of the expected time.
const shortestDivisor = 2

func (s *Slot) prospect(now time.Time) prospect {
	left := s.work.Target.Sub(now)

	switch {
	case left >= s.serviceTime+s.margin:
		return runOnTimeShare
	case left >= s.serviceTime/shortestDivisor:
		return doubtful
	}

	return late
}

// startsBefore orders calls of the same rank. Calls that will be on time go by their latest
// start. Of doubtful calls the one with the latest target goes first: if no call is sure to be
// on time, starting the oldest first makes all of them late (TestDoubtfulCallsStartNewestFirst).
// Late calls go by their deadline.
func (s *Slot) startsBefore(o *Slot, now time.Time) bool {
	mine, theirs := s.prospect(now), o.prospect(now)

	switch {
	case mine != theirs:
		return mine < theirs
	case mine == runOnTimeShare:
		return s.latestOnTimeStart().Before(o.latestOnTimeStart())
	case mine == doubtful:
		return s.work.Target.After(o.work.Target)
	}

	return s.latestStart().Before(o.latestStart())
}

// latestOnTimeStart returns the latest start with which the call meets its target.
func (s *Slot) latestOnTimeStart() time.Time { return s.work.Target.Add(-s.serviceTime - s.margin) }

// latestStart returns the latest start with which the call meets its deadline.
func (s *Slot) latestStart() time.Time { return s.work.Deadline.Add(-s.serviceTime) }

// untilRecheck returns the time until a waiting call can no longer meet its target or, if that
// has passed, its deadline.
func (s *Slot) untilRecheck(now time.Time) time.Duration {
	if at := s.latestOnTimeStart(); at.After(now) {
		return at.Sub(now)
	}

	return s.latestStart().Sub(now)
}
