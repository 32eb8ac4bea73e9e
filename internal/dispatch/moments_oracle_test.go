package dispatch_test

import (
	"sync"
	"time"
)

// oracle plays calls that a placer starts in the order of arrival, each on the host that is the
// fastest at that moment of those with a free slot, and returns the share on time.
func (h *hosts) oracle() float64 {
	h.start()

	var (
		mu      sync.Mutex
		running = make([]int, h.nodes)
		freed   = make(chan struct{}, maxCalls)
	)

	place := func() int {
		mu.Lock()
		defer mu.Unlock()

		best, least := -1, 0.0

		for i, n := range running {
			if f, _ := h.factor(i, time.Since(h.began)); n < hostSlots && (best < 0 || f < least) {
				best, least = i, f
			}
		}

		if best >= 0 {
			running[best]++
		}

		return best
	}

	return h.play(func(int) bool {
		i := place()
		for ; i < 0; i = place() {
			<-freed
		}

		h.work(i)

		mu.Lock()
		running[i]--
		mu.Unlock()

		freed <- struct{}{}

		return true
	})
}
