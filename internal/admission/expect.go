package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// memory is how long shares, peaks and rates remember: a second holds hundreds
// of short calls, and a caller notices no shift that takes a second.
const memory = time.Second

// peakMemory is how long slots stay free that the classes above wanted: several
// times as long as a sweep's call runs, or each gap in the folder opens is filled
// with work that is still there when they come back.
const peakMemory = 2 * time.Second

// observe brings the smoothed figures up to now. It is called before and after
// each change, so that each state counts for as long as it lasted.
func (q *Queue) observe(now time.Duration) {
	var wanted int

	for i := range q.classes {
		c := &q.classes[i]
		wanted += c.inFlight + c.waiting
		c.peak = max(c.peak, float64(min(wanted, q.slots)))
	}

	since := now - q.observed
	if since <= 0 {
		return
	}

	q.observed = now
	keep := math.Exp(-float64(since) / float64(memory))
	work := q.inFlight
	keepPeak := math.Exp(-float64(since) / float64(peakMemory))
	wanted = 0

	for i := range q.classes {
		c := &q.classes[i]
		wanted += c.inFlight + c.waiting
		current := float64(min(wanted, q.slots))
		c.peak = current + (c.peak-current)*keepPeak
		used := float64(c.inFlight) / float64(max(q.slots, 1))
		c.share = used + (c.share-used)*keep
		work += c.waiting
		c.usual = float64(work) + (c.usual-float64(work))*keep
	}
}

// owed reports whether a class has work and less than its guaranteed share.
func (q *Queue) owed(i int) bool {
	return q.classes[i].waiting > 0 && q.classes[i].share < guaranteed[i]
}

var guaranteed = [classCount]float64{0, WriteShare, BackgroundShare}

// free reports whether the class may take one more slot.
func (q *Queue) free(i int) bool {
	return q.inFlight < q.slots && q.classes[i].inFlight < q.limit(i)
}

// limit is how many slots a class may hold: all but those that the classes
// above it wanted in the last seconds, yet never less than its guaranteed share.
//
// Without it the slots that short calls leave free for a moment fill up with
// long calls, and the next folder open waits for a sweep to end.
func (q *Queue) limit(i int) int {
	if i == 0 {
		return q.slots
	}

	above := int(math.Ceil(q.classes[i-1].peak))
	least := max(1, int(guaranteed[i]*float64(q.slots)))
	limit := max(least, q.slots-above)

	if i == classCount-1 && q.slots > 1 {
		return min(limit, q.slots-1)
	}

	return limit
}

// expected is how long a call that comes now waits: for the classes above it,
// for its share of turns in its own class, and for one call to end.
func (q *Queue) expected(i int, l *line, now time.Duration) time.Duration {
	var work time.Duration

	for j := range i {
		work += q.classes[j].hold(now) * time.Duration(q.classes[j].waiting)
	}

	work += q.classes[i].hold(now) * time.Duration(q.turnsBefore(i, l)+1)

	return work / time.Duration(q.reachable(i))
}

// reachable is how many slots the class gets turns of: not those that lower
// classes hold, since their calls can be long.
func (q *Queue) reachable(i int) int {
	slots := q.slots
	for j := i + 1; j < classCount; j++ {
		slots -= q.classes[j].inFlight
	}

	return max(1, min(slots, q.limit(i)))
}

// turnsBefore counts the calls that go before the next one of this caller: each
// other caller has as many turns as this one.
func (q *Queue) turnsBefore(i int, l *line) int {
	c := &q.classes[i]
	if l == nil {
		return c.waiting
	}

	turns := 0
	own := len(l.waiters)

	for _, other := range c.active {
		turns += min(len(other.waiters), own+1)
	}

	return turns
}

// tooLate reports whether the call would not end in time, or would only join a
// standing queue.
func (q *Queue) tooLate(w *waiter, now time.Duration) bool {
	c := &q.classes[w.class]
	remaining := w.deadline - now
	wait := q.expected(w.class, w.line, now)

	if c.waiting > 0 && now-c.standing > StandingAfter {
		return wait > remaining/StandingPart
	}

	return wait+c.hold(now) > remaining
}

// RetryAfter is when a call that was turned away should come back: when what
// waits now has been served, at the measured rate, and longer if others are
// being turned away too, who will come back as well. It is spread over half as
// much again, or all of them would return in the same moment.
func (q *Queue) RetryAfter() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()

	now := q.now()
	backlog := 1

	for i := range q.classes {
		backlog += q.classes[i].waiting
	}

	drain := float64(q.expected(0, nil, now))
	if served := q.served.perSecond(now); served > 1 {
		drain = float64(backlog) / served * float64(time.Second)
		drain *= 1 + q.refused.perSecond(now)/served
	}

	drain *= 1 + rand.Float64()/2

	return min(max(time.Duration(drain), minRetryAfter), maxRetryAfter)
}

// Bounds of RetryAfter: less than the first and callers come straight back,
// more than the second and they stay away from a service that is well again.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// rate counts events a second, smoothed over memory.
type rate struct {
	value float64
	at    time.Duration
}

func (r *rate) add(now time.Duration) {
	r.value = r.decayed(now) + 1
	r.at = now
}

func (r *rate) decayed(now time.Duration) float64 {
	return r.value * math.Exp(-float64(now-r.at)/float64(memory))
}

func (r *rate) perSecond(now time.Duration) float64 { return r.decayed(now) / memory.Seconds() }
