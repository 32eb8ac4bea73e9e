package dispatch

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/internal/ingress"
)

const (
	// deadlineTolerance is the largest difference between the deadlines of two attempts of
	// one caller. Network delay varies by some milliseconds between connections, and a new
	// connection takes another round trip, 16 ms for the most distant callers.
	deadlineTolerance = 20 * time.Millisecond
	// maxFailedCalls limits the stored callers. A node with a third of a core rejects at
	// most some thousand calls per second, and callers wait for a few seconds.
	maxFailedCalls = 8192
	// sweepInterval is the time between removals of callers whose deadline has passed.
	sweepInterval = time.Second
)

// retryDetector detects that a call is the retry of a failed one, to find out how long its
// caller has been waiting.
//
// The target of a rejected call runs from the caller's first attempt. If its retry were
// handled as a new call, it would queue behind calls that came meanwhile and meet only the
// node's view of the target, not the caller's.
//
// A call carries no mark of a retry, but it is the same request and has the same deadline:
// its caller timeout has shrunk by the time that passed. A short timeout alone proves nothing,
// since callers differ in it. Treating it as elapsed time sends calls across failure domains
// that could have stayed (TestShortCallerTimeoutsAreNotTakenForRetries,
// TestCallerRetriesKeepTheirFirstArrival).
type retryDetector struct {
	mu        sync.Mutex
	failed    map[uint64][]waitingCaller
	count     int
	lastSweep time.Time
}

// waitingCaller describes the caller of a call.
type waitingCaller struct {
	firstArrival time.Time // arrival of its first attempt
	deadline     time.Time // when the caller times out
	service      string    // destination chosen for it; empty if not chosen yet
}

func newRetryDetector() *retryDetector { return &retryDetector{failed: map[uint64][]waitingCaller{}} }

// requestHash returns the same value for all attempts of one caller.
func requestHash(r ingress.Request) uint64 {
	h := xxhash.New()

	for _, part := range []string{r.Method, "\x00", r.Host, "\x00", r.URI, "\x00"} {
		_, _ = h.WriteString(part) // never fails
	}

	_, _ = h.Write(r.Body) // never fails

	return h.Sum64()
}

// match returns and removes the stored state of the caller if the call is a retry. Otherwise
// it returns c.
func (t *retryDetector) match(r ingress.Request, c waitingCaller) waitingCaller {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.count == 0 {
		return c
	}

	hash := requestHash(r)

	for i, f := range t.failed[hash] {
		if f.deadline.Sub(c.deadline).Abs() <= deadlineTolerance {
			t.forget(hash, i)

			return f
		}
	}

	return c
}

// remember stores the caller of a failed call.
func (t *retryDetector) remember(r ingress.Request, c waitingCaller) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.sweep(time.Now())

	if t.count >= maxFailedCalls {
		return // further retries are handled as new calls
	}

	hash := requestHash(r)
	t.failed[hash] = append(t.failed[hash], c)
	t.count++
}

// sweep removes callers whose deadline has passed.
func (t *retryDetector) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}

	t.lastSweep = now

	for hash, all := range t.failed {
		for i := len(all) - 1; i >= 0; i-- {
			if all[i].deadline.Before(now) {
				t.forget(hash, i)
			}
		}
	}
}

func (t *retryDetector) forget(hash uint64, i int) {
	all := t.failed[hash]
	all[i] = all[len(all)-1]
	all = all[:len(all)-1]
	t.count--

	if len(all) == 0 {
		delete(t.failed, hash)

		return
	}

	t.failed[hash] = all
}
