// Package stall detects that the process was stalled, alone or together with its host.
//
// After a stall the process reads messages that waited in its sockets as if they were
// new, and has missed what other nodes reported meanwhile. Code whose decisions depend
// on the age of a message or on such reports checks the watchdog first.
//
// # Usage
//
//	w := stall.New()
//	go w.Run(ctx)
//	if w.Resumed() { ... } // less than Settle since a stall
package stall

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// tickInterval is how often the watchdog ticks. A longer gap than stallThreshold
	// counts as a stall; scheduling delays on a busy host are far shorter.
	tickInterval   = 400 * time.Millisecond
	stallThreshold = time.Second
	// Settle is how long after a stall a request may still be an old one. Everything that
	// waited in sockets is read within it.
	Settle = 2 * time.Second
)

// Watchdog detects stalls of its process.
type Watchdog struct {
	began     time.Time
	lastTick  atomic.Int64 // time of the last tick, 0 if the watchdog does not run
	lastStall atomic.Int64 // end of the last stall, 0 if there was none
}

// New returns a watchdog that detects nothing before Run.
func New() *Watchdog { return &Watchdog{began: time.Now()} }

// Run ticks until ctx ends.
func (w *Watchdog) Run(ctx context.Context) {
	defer w.lastTick.Store(0)

	w.lastTick.Store(w.now())

	for {
		w.Resumed()

		select {
		case <-ctx.Done():
			return
		case <-time.After(tickInterval):
		}
	}
}

// now returns the time since the start, at least 1, since 0 stands for a watchdog that
// does not run.
func (w *Watchdog) now() int64 { return max(int64(time.Since(w.began)), 1) }

// Resumed reports whether a stall ended less than Settle ago. The first call after a
// stall detects it, whether from Run or from a request.
func (w *Watchdog) Resumed() bool {
	last, now := w.lastTick.Load(), w.now()
	if last == 0 {
		return false
	}

	if now-last > int64(stallThreshold) {
		w.lastStall.Store(now)
	}

	w.lastTick.Store(now)

	lastStall := w.lastStall.Load()

	return lastStall != 0 && now-lastStall < int64(Settle)
}

// LastStall returns the end of the last stall as the time since the start of the process, 0 if
// there was none. A changed value means another stall.
func (w *Watchdog) LastStall() time.Duration {
	w.Resumed()

	return time.Duration(w.lastStall.Load())
}
