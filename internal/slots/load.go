package slots

import (
	"math/rand/v2"
	"time"
)

// Load is a snapshot of the queue's occupancy.
type Load struct {
	Slots   int
	Running int
	Waiting int
}

// Load returns the current occupancy.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()

	return Load{Slots: q.slots, Running: len(q.running), Waiting: len(q.waiting)}
}

// EstimateWait estimates how much longer a call of the work's route would take here at the given rank
// than its service time at the usual speed of the host: the wait for a slot and the loss to a slow
// moment.
func (q *Queue) EstimateWait(w Work, rank int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.slots == 0 {
		return 0
	}

	now := time.Now()
	w.Rank = rank
	s := &Slot{work: w}
	s.serviceTime, s.margin = q.serviceTime(w.Route, now)
	s.above = q.isAbove(w, now)

	return q.expectedWait(s, now) + q.slownessLoss(w.Route, now)
}

// Busy returns the number of running and waiting calls.
func (q *Queue) Busy() int {
	q.mu.Lock()
	defer q.mu.Unlock()

	return len(q.running) + len(q.waiting)
}

// RetryAfter estimates when a retry of this call is likely to get a slot: after the current
// backlog has drained.
func (q *Queue) RetryAfter(w Work) time.Duration {
	wait := q.EstimateWait(w, w.Rank)
	if q.Limit().Limited {
		wait += rand.N(max(wait, minRetryAfter)) // callers that come back together find one start
	}

	return min(max(wait, minRetryAfter), maxRetryAfter)
}
