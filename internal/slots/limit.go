package slots

import "time"

// Limit is the limit of the backend server and what came of it.
type Limit struct {
	// PerSecond is the limit in calls a second, if Limited is set.
	PerSecond float64
	Limited   bool
	// Since is when a limit was first named without an end in between, Started the calls started
	// since then.
	Since   time.Time
	Started int
	// Rejected is the number of calls rejected because of a limit since the queue was made.
	Rejected int
}

// SetLimit sets the limit of the backend server in calls a second.
func (q *Queue) SetLimit(perSecond float64) {
	q.mu.Lock()
	defer q.mu.Unlock()

	now := time.Now()
	q.pacer.Limit(perSecond, now)
	q.start(now)
}

// ClearLimit removes the limit.
func (q *Queue) ClearLimit() {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.pacer.Unlimit()
	q.start(time.Now())
}

// Limit returns the limit of the backend server.
func (q *Queue) Limit() Limit {
	q.mu.Lock()
	defer q.mu.Unlock()

	perSecond, since, started, ok := q.pacer.Limited()

	return Limit{PerSecond: perSecond, Limited: ok, Since: since, Started: started, Rejected: q.limited}
}

// startAfter starts waiting calls once the pace allows it.
func (q *Queue) startAfter(wait time.Duration) {
	if q.paceTimer == nil {
		q.paceTimer = time.AfterFunc(wait, q.startPaced)

		return
	}

	q.paceTimer.Reset(wait)
}

func (q *Queue) startPaced() {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.start(time.Now())
}

// paceWait estimates how long the call waits for its turn under the limit.
func (q *Queue) paceWait(s *Slot, now time.Time) time.Duration {
	if q.pacer.Wait(len(q.waiting)+1, now) == 0 {
		return 0
	}

	ahead := 0

	for _, o := range q.waiting {
		if o.before(s, now) {
			ahead++
		}
	}

	return q.pacer.Wait(ahead+1, now)
}

// tooLate returns the reason for rejecting a call that can't end in time.
func (q *Queue) tooLate() error {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.tooLateLocked(time.Now())
}

// tooLateLocked is tooLate for a caller that holds mu.
func (q *Queue) tooLateLocked(now time.Time) error {
	if q.pacer.Wait(1, now) == 0 || len(q.running) >= q.slots {
		return ErrTooLate
	}

	q.limited++

	return ErrLimited
}
