// Package epoch tells copies of a store's contents apart.
//
// A store that comes back from an older copy gives out revisions and leases again. What
// was learned of it in one epoch says nothing about the next: a revision to go on from, a
// lease to renew, a record that was written. The epoch rises by one each time, and a
// process hears of it from the store's answers or from other nodes.
//
// # Usage
//
//	c := epoch.New()
//	changed := c.Changed()
//	c.Observe(7)
//	<-changed // what was kept in the store is written again
package epoch

import "sync"

// Current is the highest epoch that this process has heard of. 0 means none yet, or that
// the store counts from 0.
type Current struct {
	mu      sync.Mutex
	heard   bool
	number  uint64
	before  uint64
	changed chan struct{}
}

// New returns a current epoch of 0.
func New() *Current { return &Current{changed: make(chan struct{})} }

// Number returns the highest epoch heard of.
func (c *Current) Number() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.number
}

// Before returns the epoch that the last change ended, 0 if there was no change.
func (c *Current) Before() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.before
}

// Observe takes an epoch that was heard of. It reports false for one that is over: what
// came with it is an answer from before. The first epoch of a process is no change.
func (c *Current) Observe(number uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.heard && number <= c.number {
		return number == c.number
	}

	if c.heard {
		c.before = c.number
		close(c.changed)
		c.changed = make(chan struct{})
	}

	c.heard, c.number = true, number

	return true
}

// Changed returns a channel that is closed at the next change of the epoch.
func (c *Current) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.changed
}
