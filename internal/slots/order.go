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
// its deadline, or it will be late and others that will be wait already.
func (q *Queue) inVain(s *Slot) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	now := time.Now()

	return !now.Add(s.size).Before(s.work.Deadline) || q.late(now) > q.mostLate()
}

// mostLate is how many calls may wait that will be late.
func (q *Queue) mostLate() int { return max(q.slots/latePart, 1) }

// judge decides whether a call that has to wait may.
func (q *Queue) judge(s *Slot, now time.Time, wait time.Duration) error {
	end := now.Add(wait + s.size)

	switch {
	case !end.Add(s.spare).After(s.work.Target):
		return nil
	case s.work.Elsewhere:
		return ErrElsewhere
	case end.After(s.work.Deadline), q.late(now) >= q.mostLate():
		return ErrTooLate
	}

	return nil
}

// late counts the waiting calls that will be late.
func (q *Queue) late(now time.Time) int {
	count := 0

	for _, o := range q.waiting {
		if _, late := o.latest(now); late {
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

// before orders calls by rank, then by when they have to start.
func (s *Slot) before(o *Slot, now time.Time) bool {
	if s.work.Rank != o.work.Rank {
		return s.work.Rank < o.work.Rank
	}

	return s.sooner(o, now)
}

// sooner orders calls of a rank by when they have to start to be on time. Those that can't
// be any more come after those that can.
func (s *Slot) sooner(o *Slot, now time.Time) bool {
	mine, late := s.latest(now)
	theirs, theirsLate := o.latest(now)

	if late != theirsLate {
		return !late
	}

	return mine.Before(theirs)
}

// latest returns the last moment to start, and whether it is too late to be on
// time, so that only the deadline counts.
func (s *Slot) latest(now time.Time) (time.Time, bool) {
	if t := s.work.Target.Add(-s.size - s.spare); !t.Before(now) {
		return t, false
	}

	return s.work.Deadline.Add(-s.size), true
}
