// Package loglimit bounds the lines about events that clients can cause at any rate, such as refusals.
//
// # Usage
//
//	if leftOut, ok := limiter.Next(time.Now()); ok {
//		recorder.Record(event.KeyRefused, entryWith(leftOut))
//	}
package loglimit

import (
	"sync"
	"time"
)

// perSecond is the number of events in a second that have lines of their own.
const perSecond = 2

// Limiter bounds the lines about one kind of event. Its zero value is ready to use.
type Limiter struct {
	mu      sync.Mutex
	began   time.Time // of the current second
	lines   int       // in the current second
	leftOut int       // since the last line
}

// Next reports whether the next event has a line, and how many before it had none.
func (l *Limiter) Next(now time.Time) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if now.Sub(l.began) >= time.Second {
		l.began, l.lines = now, 0
	}

	if l.lines == perSecond {
		l.leftOut++

		return 0, false
	}

	l.lines++
	leftOut, l.leftOut = l.leftOut, 0

	return leftOut, true
}
