package peer

import (
	"slices"
	"sync/atomic"
)

// Faults is a switch that cuts links of this process, for tests and experiments:
// no frame goes out to a blocked peer address, neither a request nor an answer,
// also on connections that are open already. What a peer sends still arrives, so
// that one switch makes a one-way cut and two a whole one.
type Faults struct {
	blocked atomic.Pointer[[]string]
}

// Block cuts the links to these peer addresses, and mends all others.
func (f *Faults) Block(addresses ...string) {
	own := slices.Clone(addresses)
	f.blocked.Store(&own)
}

// Blocked reports whether the link to a peer address is cut.
func (f *Faults) Blocked(address string) bool {
	blocked := f.blocked.Load()

	return blocked != nil && slices.Contains(*blocked, address)
}

// Addresses returns the peer addresses whose links are cut.
func (f *Faults) Addresses() []string {
	if blocked := f.blocked.Load(); blocked != nil {
		return *blocked
	}

	return nil
}
