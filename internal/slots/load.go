package slots

import "time"

// Load is what the queue holds.
type Load struct {
	Slots   int
	Running int
	Waiting int
}

// Load tells what the queue holds.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()

	return Load{Slots: q.slots, Running: len(q.running), Waiting: len(q.waiting)}
}

// Wait estimates how long a call of the work's route would wait at a rank.
func (q *Queue) Wait(w Work, rank int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.slots == 0 {
		return 0
	}

	now := time.Now()
	w.Rank = rank
	s := &Slot{work: w}
	s.size, s.spare = q.size(w.Route, now)

	return q.wait(s, now)
}

// Busy returns how many calls run or wait.
func (q *Queue) Busy() int {
	q.mu.Lock()
	defer q.mu.Unlock()

	return len(q.running) + len(q.waiting)
}

// RetryAfter returns when a call of this work is likely to find a slot in time:
// when what is over its limit will have been worked off.
func (q *Queue) RetryAfter(w Work) time.Duration {
	return min(max(q.Wait(w, w.Rank), shortestRetry), longestRetry)
}
