package admission

import (
	"time"

	"github.com/pollencart/pollencart/pkg/settings"
)

const classCount = settings.ClassCount

// waiter is one call in the queue or in a slot.
type waiter struct {
	class    int
	line     *line
	arrived  time.Duration
	deadline time.Duration
	started  time.Duration
	decided  chan struct{} // nil if it never waited
	err      error
}

func (w *waiter) decide(err error) {
	w.err = err
	close(w.decided)
}

// line is the calls of one caller in one class.
type line struct {
	caller   string
	waiters  []*waiter
	inFlight int
	turn     uint64
}

// class is the calls of one class.
type class struct {
	waiting  int
	inFlight int
	lines    map[string]*line
	active   []*line // lines with waiting calls
	turn     uint64

	typical  time.Duration // smoothed time that a call holds a slot
	starts   time.Duration // sum of the start times of the running calls
	share    float64       // smoothed share of the slots
	peak     float64       // slots wanted by this class and those above, decaying
	standing time.Duration // since when calls have been waiting
	usual    float64       // smoothed count of calls in front of a new one
}

func newClass(typical time.Duration) class {
	return class{lines: map[string]*line{}, typical: typical}
}

// maxIdleLines bounds the lines that are kept without calls, to save making
// them anew for a caller that comes back.
const maxIdleLines = 256

func (c *class) line(caller string) *line {
	l := c.lines[caller]
	if l == nil {
		l = &line{caller: caller}
		c.lines[caller] = l
	}

	return l
}

func (c *class) drop(l *line) {
	if l.inFlight == 0 && len(l.waiters) == 0 && len(c.lines) > maxIdleLines {
		delete(c.lines, l.caller)
	}
}

func (c *class) push(w *waiter, now time.Duration) {
	if c.waiting == 0 {
		c.standing = now
	}

	if len(w.line.waiters) == 0 {
		c.active = append(c.active, w.line)
	}

	c.lines[w.line.caller] = w.line
	w.line.waiters = append(w.line.waiters, w)
	c.waiting++
}

// remove takes a waiting call out and reports whether it was there.
func (c *class) remove(w *waiter) bool {
	for i, other := range w.line.waiters {
		if other == w {
			c.removeAt(w.line, i)

			return true
		}
	}

	return false
}

func (c *class) removeAt(l *line, i int) {
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

	c.drop(l)
}

// take takes the next call: of the caller with the fewest slots, and among
// equals of the one whose last turn is longest ago.
func (c *class) take(order Order) *waiter {
	if c.waiting == 0 {
		return nil
	}

	best := c.active[0]
	for _, l := range c.active[1:] {
		if l.inFlight < best.inFlight || l.inFlight == best.inFlight && l.turn < best.turn {
			best = l
		}
	}

	i := order.next(best.waiters)
	w := best.waiters[i]
	c.removeAt(best, i)

	return w
}

func (c *class) longest() *line {
	var longest *line

	for _, l := range c.active {
		if longest == nil || len(l.waiters) > len(longest.waiters) {
			longest = l
		}
	}

	return longest
}

func (c *class) begin(w *waiter) {
	c.turn++
	c.lines[w.line.caller] = w.line
	w.line.turn = c.turn
	w.line.inFlight++
	c.inFlight++
	c.starts += w.started
}

func (c *class) end(w *waiter) {
	w.line.inFlight--
	c.inFlight--
	c.starts -= w.started
	c.drop(w.line)
}

// learn smooths the time that a call holds a slot over some 16 calls: long
// enough that a single odd call moves it little, short enough to follow a
// backend server that slows down within a second.
func (c *class) learn(held time.Duration) {
	const weight = 16

	c.typical += (held - c.typical) / weight
}

// hold is how long a call is thought to hold a slot. If the backend server
// hangs, no call ends and nothing is learned; the age of what runs shows it.
func (c *class) hold(now time.Duration) time.Duration {
	if c.inFlight == 0 {
		return c.typical
	}

	age := now - c.starts/time.Duration(c.inFlight)

	return max(c.typical, age)
}
