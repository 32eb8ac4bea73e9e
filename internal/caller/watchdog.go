package caller

import (
	"context"
	"sync/atomic"
	"time"
)

// watchdog notices that the process stood still: it was frozen, or its host was.
//
// A request that waited in a socket of a frozen process looks new when the
// process wakes, perhaps long after its caller sent it again elsewhere. A key
// that names its home tells its age by its generation; an opaque one does not,
// so opaque keys that are read just after a standstill are not forwarded.
type watchdog struct {
	beat atomic.Int64 // when the process was last seen to run
	woke atomic.Int64 // when it was last seen to have stood still
}

const (
	// beatEvery is how often the watchdog beats, standstill the gap that is taken for
	// a freeze: far over what a busy scheduler causes.
	beatEvery  = 400 * time.Millisecond
	standstill = time.Second
	// settle is how long after a standstill a request may still be an old one. All
	// that waited in sockets is read within it.
	settle = 2 * time.Second
)

var began = time.Now()

// run beats until ctx ends.
func (w *watchdog) run(ctx context.Context) {
	for {
		w.resumed()

		select {
		case <-ctx.Done():
			w.beat.Store(0)

			return
		case <-time.After(beatEvery):
		}
	}
}

// resumed reports whether the process stood still a moment ago. Whoever asks
// first after the standstill sees the gap, the beat or a request. A watchdog that
// does not run reports nothing.
func (w *watchdog) resumed() bool {
	now := int64(time.Since(began))

	last := w.beat.Load()
	if last != 0 && now-last > int64(standstill) {
		w.woke.Store(now)
	}

	w.beat.Store(max(now, 1))

	woke := w.woke.Load()

	return woke != 0 && now-woke < int64(settle)
}
