// Package stall notices that the process stood still: it was frozen, or its host
// was.
//
// A process that wakes reads what waited in its sockets as if it were new, and does not
// know what others told while it stood still. Whoever decides by age or by what was
// told asks here first.
//
// # Usage
//
//	w := stall.New()
//	go w.Run(ctx)
//	if w.Resumed() { ... } // within Settle of waking
package stall

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// beatEvery is how often the watchdog beats, standstill the gap that is taken for
	// a freeze: far over what a busy scheduler causes.
	beatEvery  = 400 * time.Millisecond
	standstill = time.Second
	// Settle is how long after a standstill a request may still be an old one. All
	// that waited in sockets is read within it.
	Settle = 2 * time.Second
)

// Watchdog notices standstills of its process.
type Watchdog struct {
	began time.Time
	beat  atomic.Int64 // when the process was last seen to run
	woke  atomic.Int64 // when it was last seen to have stood still
}

// New returns a watchdog that reports nothing before Run.
func New() *Watchdog { return &Watchdog{began: time.Now()} }

// Run beats until ctx ends.
func (w *Watchdog) Run(ctx context.Context) {
	defer w.beat.Store(0)

	w.beat.Store(w.now())

	for {
		w.Resumed()

		select {
		case <-ctx.Done():
			return
		case <-time.After(beatEvery):
		}
	}
}

// now is never 0, which stands for a watchdog that does not run.
func (w *Watchdog) now() int64 { return max(int64(time.Since(w.began)), 1) }

// Resumed reports whether the process stood still a moment ago. Whoever asks first
// after the standstill sees the gap, the beat or a request.
func (w *Watchdog) Resumed() bool {
	last, now := w.beat.Load(), w.now()
	if last == 0 {
		return false
	}

	if now-last > int64(standstill) {
		w.woke.Store(now)
	}

	w.beat.Store(now)

	woke := w.woke.Load()

	return woke != 0 && now-woke < int64(Settle)
}

// Woke returns how long after the start of the process it was last seen to have stood
// still, 0 if never; another value than before means another standstill.
func (w *Watchdog) Woke() time.Duration {
	w.Resumed()

	return time.Duration(w.woke.Load())
}
