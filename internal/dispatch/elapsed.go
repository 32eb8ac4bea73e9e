package dispatch

import (
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/bounded"
)

const (
	// statedWindow is how long the longest time that callers of a route stated is kept:
	// longer than a burst of callers who come back, all of which state less.
	statedWindow = 10 * time.Second
	// leastElapsed is what two first attempts of a route may state differently.
	leastElapsed = 5 * time.Millisecond
	// maxRoutes bounds what is remembered: more than twice the routes of the largest
	// configurations that are known, 3,000.
	maxRoutes = 8192
)

// elapsed tells how long a caller has waited before it sent a call.
//
// A caller that was turned away comes back, and states how long it still waits. To it
// the target runs from its first attempt; taken for a new call, it would be put behind
// those that came meanwhile and be on time for the node alone. What the caller still
// waits, against the longest that callers of the route state, is the time that has
// gone. With 1.2 times the calls that backend servers take, 0.75 of the callers are
// answered on time so, and 0.64 otherwise (TestCallersThatComeBack).
type elapsed struct {
	mu     sync.Mutex
	routes *bounded.Map[longest]
}

// longest is the longest time that was stated in this window and in the one before.
type longest struct {
	since       time.Time
	now, before time.Duration
}

func newElapsed() *elapsed { return &elapsed{routes: bounded.New[longest](maxRoutes)} }

// of returns how long the caller has waited that states how long it still waits.
func (e *elapsed) of(route string, stated time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()

	l := e.routes.At(route)
	l.note(stated)

	if gone := max(l.now, l.before) - stated; gone > leastElapsed {
		return gone
	}

	return 0
}

func (l *longest) note(stated time.Duration) {
	if age := time.Since(l.since); age >= statedWindow {
		l.since, l.before, l.now = time.Now(), l.now, 0

		if age >= 2*statedWindow {
			l.before = 0 // says nothing of callers of today
		}
	}

	l.now = max(l.now, stated)
}
