package peer

import (
	"slices"
	"sync/atomic"
)

// Faults injects network partitions into this process, for tests and experiments. No frame
// is sent to a blocked peer address, neither requests nor answers, also on connections that
// are already open. Frames from the peer still arrive: blocking on one side is a one-way
// partition, blocking on both sides a full one.
type Faults struct {
	blocked atomic.Pointer[[]string]
}

// Block replaces the set of blocked peer addresses.
func (f *Faults) Block(addresses ...string) {
	own := slices.Clone(addresses)
	f.blocked.Store(&own)
}

// Blocked reports whether frames to a peer address are dropped.
func (f *Faults) Blocked(address string) bool {
	blocked := f.blocked.Load()

	return blocked != nil && slices.Contains(*blocked, address)
}

// Addresses returns the blocked peer addresses.
func (f *Faults) Addresses() []string {
	if blocked := f.blocked.Load(); blocked != nil {
		return *blocked
	}

	return nil
}
