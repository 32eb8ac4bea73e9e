package hosts

import (
	"context"
	"sync"
	"time"
)

// stalls notices when the whole machine stands still. Beside other heavy work the nodes
// told of pauses of three to six seconds that the schedule did not have, and calls of
// that time had no answer from processes that were not running.
type stalls struct {
	mu    sync.Mutex
	spans []span
}

type span struct{ from, to time.Time }

// meets reports whether two spans have a moment in common.
func (s span) meets(other span) bool { return !s.from.After(other.to) && !s.to.Before(other.from) }

const (
	// stallTick is how often this process looks at the clock, stallFrom how late it
	// has to be to count: a tenth of what a call may take.
	stallTick = 20 * time.Millisecond
	stallFrom = 200 * time.Millisecond
)

func (s *stalls) watch(ctx context.Context) {
	last := time.Now()

	for ctx.Err() == nil {
		time.Sleep(stallTick)

		now := time.Now()
		if now.Sub(last) > stallFrom {
			s.mu.Lock()
			s.spans = append(s.spans, span{last, now})
			s.mu.Unlock()
		}

		last = now
	}
}

// overlap reports whether the machine stood still in a call's time.
func (s *stalls) overlap(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, x := range s.spans {
		if x.meets(span{from, to}) {
			return true
		}
	}

	return false
}

// count returns how often the machine stood still.
func (s *stalls) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.spans)
}
