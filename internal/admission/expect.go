package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// smoothingTime is the time constant for shares and rates: a second covers hundreds
// of short calls, and callers don't notice shifts within it.
const smoothingTime = time.Second

// peakDecayTime is the time constant with which the peak demand of higher classes decays.
// It is several times as long as a sweep's call; otherwise the gaps between folder opens
// fill with background calls that still run when the next folder opens come.
const peakDecayTime = 2 * time.Second

// observe updates the smoothed values to the given time. It is called before and after each
// change, so that each state is weighted by its duration.
func (q *Queue) observe(now time.Duration) {
	var wanted int

	for i := range q.classes {
		c := &q.classes[i]
		wanted += c.inFlight + c.waiting
		c.peakDemand = max(c.peakDemand, float64(min(wanted, q.slots)))
	}

	since := now - q.observed
	if since <= 0 {
		return
	}

	q.observed = now
	keep := math.Exp(-float64(since) / float64(smoothingTime))
	work := q.inFlight
	keepPeak := math.Exp(-float64(since) / float64(peakDecayTime))
	wanted = 0

	for i := range q.classes {
		c := &q.classes[i]
		wanted += c.inFlight + c.waiting
		current := float64(min(wanted, q.slots))
		c.peakDemand = current + (c.peakDemand-current)*keepPeak
		used := float64(c.inFlight) / float64(max(q.slots, 1))
		c.usedShare = used + (c.usedShare-used)*keep
		work += c.waiting
		c.meanWork = float64(work) + (c.meanWork-float64(work))*keep
	}
}

// belowGuaranteedShare reports whether a class has waiting calls and less than its guaranteed share.
func (q *Queue) belowGuaranteedShare(i int) bool {
	return q.classes[i].waiting > 0 && q.classes[i].usedShare < guaranteedShares[i]
}

var guaranteedShares = [classCount]float64{0, WriteShare, BackgroundShare}

// hasFreeSlot reports whether the class may take one more slot.
func (q *Queue) hasFreeSlot(i int) bool {
	return q.inFlight < q.slots && q.classes[i].inFlight < q.limit(i)
}

// limit returns the number of slots a class may hold: all except the recent peak demand of
// higher classes, but at least its guaranteed share.
//
// Otherwise long calls fill the slots that short calls leave free for a moment, and the next
// folder open waits for a sweep call to end.
func (q *Queue) limit(i int) int {
	if i == 0 {
		return q.slots
	}

	above := int(math.Ceil(q.classes[i-1].peakDemand))
	least := max(1, int(guaranteedShares[i]*float64(q.slots)))
	limit := max(least, q.slots-above)

	if i == classCount-1 && q.slots > 1 {
		return min(limit, q.slots-1)
	}

	return limit
}

// expectedWait estimates how long a new call waits: for the calls of higher classes, for the
// turns ahead of it in its own class and for one running call to end.
func (q *Queue) expectedWait(i int, l *callerQueue, now time.Duration) time.Duration {
	var work time.Duration

	for j := range i {
		work += q.classes[j].expectedServiceTime(now) * time.Duration(q.classes[j].waiting)
	}

	work += q.classes[i].expectedServiceTime(now) * time.Duration(q.turnsAhead(i, l)+1)

	return work / time.Duration(q.availableSlots(i))
}

// availableSlots returns the number of slots that serve the class. Slots of lower classes don't
// count, since their calls can be long.
func (q *Queue) availableSlots(i int) int {
	slots := q.slots
	for j := i + 1; j < classCount; j++ {
		slots -= q.classes[j].inFlight
	}

	return max(1, min(slots, q.limit(i)))
}

// turnsAhead counts the calls that run before the next one of this caller, given that callers
// take turns.
func (q *Queue) turnsAhead(i int, l *callerQueue) int {
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

// waitTooLong reports whether the call can't end before its deadline or would wait too long in a
// standing queue.
func (q *Queue) waitTooLong(w *waiter, now time.Duration) bool {
	c := &q.classes[w.class]
	remaining := w.deadline - now
	wait := q.expectedWait(w.class, w.callerQueue, now)

	if c.waiting > 0 && now-c.waitingSince > StandingAfter {
		return wait > remaining/StandingPart
	}

	return wait+c.expectedServiceTime(now) > remaining
}

// RetryAfter estimates when a rejected call should be retried: after the current backlog has been
// served at the measured rate, and later if other calls are rejected too, since they are also
// retried. Up to 50% of random jitter keeps callers from retrying at the same moment.
func (q *Queue) RetryAfter() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()

	now := q.now()
	backlog := 1

	for i := range q.classes {
		backlog += q.classes[i].waiting
	}

	drain := float64(q.expectedWait(0, nil, now))
	if served := q.served.perSecond(now); served > 1 {
		drain = float64(backlog) / served * float64(time.Second)
		drain *= 1 + q.rejected.perSecond(now)/served
	}

	drain *= 1 + rand.Float64()/2

	return min(max(time.Duration(drain), minRetryAfter), maxRetryAfter)
}

// Bounds of RetryAfter: with less than the minimum callers retry immediately, with more than the
// maximum they avoid a service that has recovered.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// decayingRate counts events per second, smoothed over smoothingTime.
type decayingRate struct {
	value float64
	at    time.Duration
}

func (r *decayingRate) add(now time.Duration) {
	r.value = r.decayed(now) + 1
	r.at = now
}

func (r *decayingRate) decayed(now time.Duration) float64 {
	return r.value * math.Exp(-float64(now-r.at)/float64(smoothingTime))
}

func (r *decayingRate) perSecond(now time.Duration) float64 {
	return r.decayed(now) / smoothingTime.Seconds()
}
