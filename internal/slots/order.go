package slots

import (
	"slices"
	"time"
)

// note counts a call of a rank that was let in (1) or turned away (0).
func (q *Queue) note(w Work, in float64) {
	share := &q.letIn[rankOf(w)]
	*share += (in - *share) / fairSmoothing
}

// inVain reports whether a waiting call has no prospect any more: it can't end before
// its deadline, or it is not sure to be on time and enough of those wait already.
func (q *Queue) inVain(s *Slot) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	now := time.Now()

	return !now.Add(s.size).Before(s.work.Deadline) || q.late(now) > q.mostLate()
}

// mostLate is how many calls may wait that are not sure to be on time.
func (q *Queue) mostLate() int { return max(q.slots/latePart, 1) }

// judge decides whether a call that has to wait may. One that is on time unless it is
// longer than usual takes the place of one with a smaller chance.
func (q *Queue) judge(s *Slot, now time.Time, wait time.Duration) error {
	end := now.Add(wait + s.size)

	switch {
	case !end.Add(s.spare).After(s.work.Target):
		return s.waits(wait)
	case s.work.Elsewhere:
		return ErrElsewhere
	case end.After(s.work.Deadline):
		return ErrTooLate
	case q.late(now) < q.mostLate():
		return nil
	case !end.After(s.work.Target):
		return q.replace(s, now)
	}

	return ErrTooLate
}

// waits turns a call that would be on time away if it may find a free slot nearby.
func (s *Slot) waits(wait time.Duration) error {
	if s.work.Nearby && wait > time.Duration(waitTimes*float64(s.size)) {
		return ErrWaits
	}

	return nil
}

// replace turns away the waiting call with the least chance, if the other's is better.
func (q *Queue) replace(s *Slot, now time.Time) error {
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
	q.note(o.work, 0)
	o.granted <- ErrTooLate

	return nil
}

// late counts the waiting calls that are not sure to be on time.
func (q *Queue) late(now time.Time) int {
	count := 0

	for _, o := range q.waiting {
		if o.prospect(now) != onTime {
			count++
		}
	}

	return count
}

// next takes the call out of the queue that starts next.
func (q *Queue) next(now time.Time) *Slot {
	q.starts++

	only := -1
	if q.starts%FairEvery == 0 {
		only = q.starved()
	}

	best := -1

	for i, o := range q.waiting {
		if only >= 0 && rankOf(o.work) != only {
			continue
		}

		if best < 0 || o.before(q.waiting[best], now) {
			best = i
		}
	}

	s := q.waiting[best]
	q.waiting = slices.Delete(q.waiting, best, best+1)

	return s
}

// starved returns the rank of a waiting call of whose kind the least was let in, if
// it is too little, or -1.
func (q *Queue) starved() int {
	starved, least := -1, StarvedAt

	for _, o := range q.waiting {
		if r := rankOf(o.work); q.letIn[r] < least {
			starved, least = r, q.letIn[r]
		}
	}

	return starved
}

// before orders nested calls before others, calls by rank, then by when they have to
// start.
func (s *Slot) before(o *Slot, now time.Time) bool {
	if s.work.Nested != o.work.Nested {
		return s.work.Nested
	}

	if s.work.Rank != o.work.Rank {
		return s.work.Rank < o.work.Rank
	}

	return s.sooner(o, now)
}

// prospect is what may become of a call that starts now.
type prospect uint8

const (
	// onTime calls have their usual time and some to spare until the target.
	onTime prospect = iota
	// doubtful calls are on time if they are shorter than usual.
	doubtful
	// late calls are worth something until their deadline only.
	late
)

// shortest is the part of its usual time that a call takes at the least: with a spread
// of 0.5 one in eight takes less than half of it.
const shortest = 2

func (s *Slot) prospect(now time.Time) prospect {
	left := s.work.Target.Sub(now)

	switch {
	case left >= s.size+s.spare:
		return onTime
	case left >= s.size/shortest:
		return doubtful
	}

	return late
}

// sooner orders calls of a rank. Those that will be on time go by when they have to
// start. Of doubtful ones the one with the most time left goes first: when no call is
// sure to be on time, starting the one that has waited longest makes all of them late
// (TestNoCallIsSureToBeOnTime). Late ones go by their deadline.
func (s *Slot) sooner(o *Slot, now time.Time) bool {
	mine, theirs := s.prospect(now), o.prospect(now)

	switch {
	case mine != theirs:
		return mine < theirs
	case mine == onTime:
		return s.latest().Before(o.latest())
	case mine == doubtful:
		return s.work.Target.After(o.work.Target)
	}

	return s.last().Before(o.last())
}

// latest returns the last moment to start to be on time.
func (s *Slot) latest() time.Time { return s.work.Target.Add(-s.size - s.spare) }

// last returns the last moment to start to end before the deadline.
func (s *Slot) last() time.Time { return s.work.Deadline.Add(-s.size) }

// untilLook returns after how long a waiting call has lost a prospect: that of being on
// time, or, if it has not had that one, of being answered at all.
func (s *Slot) untilLook(now time.Time) time.Duration {
	if at := s.latest(); at.After(now) {
		return at.Sub(now)
	}

	return s.last().Sub(now)
}
