package slots

import (
	"math"
	"time"
)

// use is the slot time that calls of a rank took lately.
type use struct {
	held time.Duration
	at   time.Time
}

// lately is over how long the use of slots by urgent calls is averaged: longer than
// most calls, shorter than a burst.
const lately = time.Second

// ranks is how many ranks are told apart; less urgent ones count as the last.
const ranks = 8

// rankOf is the rank under which a call is counted.
func rankOf(w Work) int {
	if w.Nested {
		return 0
	}

	return min(max(w.Rank, 0), ranks-1)
}

func (u *use) now(now time.Time) time.Duration {
	if u.at.IsZero() {
		return 0
	}

	return time.Duration(float64(u.held) * math.Exp(-float64(now.Sub(u.at))/float64(lately)))
}

func (u *use) add(held time.Duration, now time.Time) {
	u.held, u.at = u.now(now)+held, now
}

// left is the part of the slots that calls more urgent than the rank leave, as they
// came lately. They pass those that wait; without this a call of a low rank is told
// a wait that it never gets.
func (q *Queue) left(rank int, now time.Time) float64 {
	taken := 0.0
	for i := range rank {
		taken += float64(q.use[i].now(now))
	}

	return max(1-taken/(float64(lately)*float64(q.slots)), 1.0/FairEvery)
}

// wait estimates how long the call would wait, by dealing what runs and what is in
// front of it to the slots as they get free. The mean over all slots would say that
// a short call has to wait for half of a long one, however many of them run.
func (q *Queue) wait(s *Slot, now time.Time) time.Duration {
	if len(q.running)+len(q.waiting) < q.slots {
		return 0
	}

	rank := rankOf(s.work)
	starved := q.letIn[rank] < StarvedAt
	left := q.left(rank, now)

	if starved {
		left = 1.0 / FairEvery
	}

	free := q.remaining(now)

	for _, o := range q.waiting {
		if o.before(s, now) && (!starved || rankOf(o.work) == rank) {
			*earliest(free) += o.size
		}
	}

	return time.Duration(float64(*earliest(free)) / left)
}

// remaining returns when each slot gets free.
func (q *Queue) remaining(now time.Time) []time.Duration {
	free := make([]time.Duration, 0, max(q.slots, len(q.running)))
	for r := range q.running {
		free = append(free, max(r.size-now.Sub(r.began), r.size/leastPart))
	}

	for len(free) < q.slots {
		free = append(free, 0)
	}

	return free
}

func earliest(free []time.Duration) *time.Duration {
	best := 0

	for i, d := range free {
		if d < free[best] {
			best = i
		}
	}

	return &free[best]
}

// size returns the usual time of a route's calls, and how much longer most of them
// take at the most.
func (q *Queue) size(route string, now time.Time) (usual, spare time.Duration) {
	if s, ok := q.sizes.Get(route); ok {
		return s.mean, time.Duration(q.deviations(now) * float64(s.deviation))
	}

	return unknownSize, 0
}

// deviations is how many of them a call is given to spare.
func (q *Queue) deviations(now time.Time) float64 {
	if len(q.waiting) > 0 && now.Sub(q.since) > standingAfter {
		return standingDeviations
	}

	return spareDeviations
}

func (q *Queue) learn(route string, took time.Duration) {
	q.sizes.At(route).learn(took)
}

// size is the usual time of a route's calls here.
type size struct {
	mean      time.Duration
	deviation time.Duration // from the mean, either way
	seen      int
}

// learn takes the mean of the first calls, then follows with smoothing.
func (s *size) learn(took time.Duration) {
	if s.seen < smoothing {
		s.seen++
	} else {
		took = min(took, clip*s.mean)
	}

	off := took - s.mean
	s.mean += off / time.Duration(s.seen)

	if s.seen > 1 {
		s.deviation += (off.Abs() - s.deviation) / time.Duration(s.seen)
	}
}
