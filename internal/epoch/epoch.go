// Package epoch distinguishes the states of a store before and after it is restored from an
// older copy.
//
// A store restored from an older copy assigns the same revisions and leases again. What a
// process learned in one epoch is invalid in the next: a revision to continue a watch from, a
// lease to renew, a record that was written. The epoch rises by one with each restore, and a
// process learns of it from the store's answers or from other nodes.
//
// # Usage
//
//	c := epoch.New()
//	changed := c.Changed()
//	c.Observe(7)
//	<-changed // write the process's records to the store again
package epoch

import "sync"

// Current is the highest epoch that this process has observed. It is 0 before the first one,
// and for a store whose epochs start at 0.
type Current struct {
	mu       sync.Mutex
	known    bool
	number   uint64
	previous uint64
	changed  chan struct{}
}

// New returns a Current with epoch 0 that has observed none yet.
func New() *Current { return &Current{changed: make(chan struct{})} }

// Number returns the highest observed epoch.
func (c *Current) Number() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.number
}

// Before returns the epoch that ended with the last change, 0 if there was no change.
func (c *Current) Before() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.previous
}

// Observe records an epoch from an answer or another node. It returns false if that epoch is
// over, so that the answer is outdated. The first epoch of a process does not count as a
// change.
func (c *Current) Observe(number uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.known && number <= c.number {
		return number == c.number
	}

	if c.known {
		c.previous = c.number
		close(c.changed)
		c.changed = make(chan struct{})
	}

	c.known, c.number = true, number

	return true
}

// Changed returns a channel that is closed at the next change of the epoch.
func (c *Current) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.changed
}
