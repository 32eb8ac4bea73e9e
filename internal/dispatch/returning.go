package dispatch

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/internal/ingress"
)

const (
	// sameDeadline is how far apart the deadlines of two attempts of one caller may be:
	// the way from a caller differs by some milliseconds from one connection to the next,
	// and a new one takes another round trip, of 16 ms where callers are farthest away.
	sameDeadline = 20 * time.Millisecond
	// maxFailed bounds what is remembered: a node of a third of a core turns away some
	// thousand calls a second at the most, and callers wait for a few seconds.
	maxFailed = 8192
	// sweepEvery is the pause between looks for callers whose time is up.
	sweepEvery = time.Second
)

// returning tells how long a caller has waited before it sent a call.
//
// A caller that was turned away comes back. To it the target runs from its first
// attempt; taken for a new call, it would be put behind those that came meanwhile and be
// on time for the node alone.
//
// Nothing in a call says that it is a second attempt. But it is the same request, and
// its caller gives up at the same moment as before: what it states that it still waits
// has shrunk by the time that went by. Callers differ in how long they wait, so a short
// time alone tells nothing: taken for time gone by, it sends calls across failure domains
// that could have stayed (TestCallersOfDifferentPatience, TestCallersThatComeBack).
type returning struct {
	mu     sync.Mutex
	failed map[uint64][]caller
	count  int
	swept  time.Time
}

// caller is what is known of who waits for a call.
type caller struct {
	first    time.Time // when its first attempt came
	deadline time.Time // when it gives up
	service  string    // to which it was dealt; empty before
}

func newReturning() *returning { return &returning{failed: map[uint64][]caller{}} }

// sameRequest is equal for attempts of one caller.
func sameRequest(r ingress.Request) uint64 {
	h := xxhash.New()

	for _, part := range []string{r.Method, "\x00", r.Host, "\x00", r.URI, "\x00"} {
		_, _ = h.WriteString(part) // never fails
	}

	_, _ = h.Write(r.Body) // never fails

	return h.Sum64()
}

// recall returns what is remembered of the caller if it has been here with the same
// request, or what is known of it now. What was remembered is forgotten: each failure
// brings a caller back once.
func (t *returning) recall(r ingress.Request, c caller) caller {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.count == 0 {
		return c
	}

	request := sameRequest(r)

	for i, f := range t.failed[request] {
		if f.deadline.Sub(c.deadline).Abs() <= sameDeadline {
			t.forget(request, i)

			return f
		}
	}

	return c
}

// note remembers a caller whose call ended without success.
func (t *returning) note(r ingress.Request, c caller) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.sweep(time.Now())

	if t.count >= maxFailed {
		return // callers who come back are taken for new ones
	}

	request := sameRequest(r)
	t.failed[request] = append(t.failed[request], c)
	t.count++
}

// sweep forgets callers who do not wait any more.
func (t *returning) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepEvery {
		return
	}

	t.swept = now

	for request, all := range t.failed {
		for i := len(all) - 1; i >= 0; i-- {
			if all[i].deadline.Before(now) {
				t.forget(request, i)
			}
		}
	}
}

func (t *returning) forget(request uint64, i int) {
	all := t.failed[request]
	all[i] = all[len(all)-1]
	all = all[:len(all)-1]
	t.count--

	if len(all) == 0 {
		delete(t.failed, request)

		return
	}

	t.failed[request] = all
}
