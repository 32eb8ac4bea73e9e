package membudget

import (
	"runtime"
	"time"
)

// room returns how many bytes of what clients make the process keep fit in the machine, those that the collector has not
// freed yet among them. A part of the size is left for buffers that are not counted.
func (b *Budget) room() int { return b.size/budgetPercent*percent - b.size/reservePart }

// collectFor runs the collector if a large buffer does not fit beside what is held and what the collector has not freed.
// The buffer is counted as held already.
func (b *Budget) collectFor(n int) {
	if n >= largeBuffer && b.overfull() {
		b.collect()
	}
}

// awaitRoom is collectFor, and waits until connections that were closed to make room no longer use their memory.
func (b *Budget) awaitRoom(n int) {
	if n < largeBuffer || !b.overfull() {
		return
	}

	deadline := time.NewTimer(unwindWait)
	defer deadline.Stop()

	for {
		freed := b.whenFreed()
		b.collect()

		if !b.overfull() {
			return
		}

		// The rest belongs to connections whose goroutines have not ended.
		select {
		case <-freed:
		case <-deadline.C:
			return
		}
	}
}

// overfull reports whether what is held, what evicted connections still use and what the collector has not freed is more than
// there is room for.
func (b *Budget) overfull() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.held+b.unwinding+b.garbage > b.room()
}

// collect runs the collector, which frees what was given back before, if that makes much room. One taker runs it for all.
func (b *Budget) collect() {
	b.collecting.Lock()
	defer b.collecting.Unlock()

	b.mu.Lock()
	garbage := b.garbage
	b.mu.Unlock()

	if garbage < b.size/reservePart || !b.overfull() {
		return
	}

	runtime.GC()

	b.mu.Lock()
	defer b.mu.Unlock()

	b.garbage -= garbage
}
