package admission

import (
	"time"

	"github.com/pollencart/pollencart/pkg/settings"
)

const classCount = settings.ClassCount

// waiter is a waiting or running call.
type waiter struct {
	class       int
	callerQueue *callerQueue
	arrived     time.Duration
	deadline    time.Duration
	started     time.Duration
	decided     chan struct{} // nil if the call started without waiting
	err         error
}

func (w *waiter) decide(err error) {
	w.err = err
	close(w.decided)
}

// callerQueue holds the calls of one caller in one class.
type callerQueue struct {
	caller   string
	waiters  []*waiter
	inFlight int
	lastTurn uint64
}

// class holds the calls of one class.
type class struct {
	waiting  int
	inFlight int
	queues   map[string]*callerQueue
	active   []*callerQueue // queues with waiting calls
	lastTurn uint64

	meanServiceTime time.Duration // smoothed
	startTimeSum    time.Duration // sum of the start times of the running calls
	usedShare       float64       // smoothed share of the slots
	peakDemand      float64       // decaying peak of the slots wanted by this class and higher ones
	waitingSince    time.Duration // when the queue last became non-empty
	meanWork        float64       // smoothed number of calls ahead of a new one
}

func newClass(meanServiceTime time.Duration) class {
	return class{queues: map[string]*callerQueue{}, meanServiceTime: meanServiceTime}
}

// maxIdleQueues bounds the empty caller queues that are kept for reuse.
const maxIdleQueues = 256

func (c *class) callerQueue(caller string) *callerQueue {
	l := c.queues[caller]
	if l == nil {
		l = &callerQueue{caller: caller}
		c.queues[caller] = l
	}

	return l
}

func (c *class) dropIfIdle(l *callerQueue) {
	if l.inFlight == 0 && len(l.waiters) == 0 && len(c.queues) > maxIdleQueues {
		delete(c.queues, l.caller)
	}
}

func (c *class) push(w *waiter, now time.Duration) {
	if c.waiting == 0 {
		c.waitingSince = now
	}

	if len(w.callerQueue.waiters) == 0 {
		c.active = append(c.active, w.callerQueue)
	}

	c.queues[w.callerQueue.caller] = w.callerQueue
	w.callerQueue.waiters = append(w.callerQueue.waiters, w)
	c.waiting++
}

// remove removes a waiting call and reports whether it was found.
func (c *class) remove(w *waiter) bool {
	for i, other := range w.callerQueue.waiters {
		if other == w {
			c.removeAt(w.callerQueue, i)

			return true
		}
	}

	return false
}

func (c *class) removeAt(l *callerQueue, i int) {
	l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
	c.waiting--

	if len(l.waiters) > 0 {
		return
	}

	for i, other := range c.active {
		if other == l {
			c.active = append(c.active[:i], c.active[i+1:]...)

			break
		}
	}

	c.dropIfIdle(l)
}

// pop removes and returns the next call: of the caller with the fewest slots and, among equals,
// of the one whose last turn is the oldest.
func (c *class) pop(order Order) *waiter {
	if c.waiting == 0 {
		return nil
	}

	best := c.active[0]
	for _, l := range c.active[1:] {
		if l.inFlight < best.inFlight || l.inFlight == best.inFlight && l.lastTurn < best.lastTurn {
			best = l
		}
	}

	i := order.next(best.waiters)
	w := best.waiters[i]
	c.removeAt(best, i)

	return w
}

func (c *class) longest() *callerQueue {
	var longest *callerQueue

	for _, l := range c.active {
		if longest == nil || len(l.waiters) > len(longest.waiters) {
			longest = l
		}
	}

	return longest
}

func (c *class) start(w *waiter) {
	c.lastTurn++
	c.queues[w.callerQueue.caller] = w.callerQueue
	w.callerQueue.lastTurn = c.lastTurn
	w.callerQueue.inFlight++
	c.inFlight++
	c.startTimeSum += w.started
}

func (c *class) end(w *waiter) {
	w.callerQueue.inFlight--
	c.inFlight--
	c.startTimeSum -= w.started
	c.dropIfIdle(w.callerQueue)
}

// observeServiceTime smooths the service time over about 16 calls: enough that a single outlier
// has little effect, and few enough to follow a backend server that slows down within a second.
func (c *class) observeServiceTime(serviceTime time.Duration) {
	const weight = 16

	c.meanServiceTime += (serviceTime - c.meanServiceTime) / weight
}

// expectedServiceTime estimates the service time. While the backend server hangs, no call ends
// and the mean is not updated; the mean age of the running calls then gives a better estimate.
func (c *class) expectedServiceTime(now time.Duration) time.Duration {
	if c.inFlight == 0 {
		return c.meanServiceTime
	}

	age := now - c.startTimeSum/time.Duration(c.inFlight)

	return max(c.meanServiceTime, age)
}
