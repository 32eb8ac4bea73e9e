package configsync

import (
	"time"

	"github.com/pollencart/pollencart/internal/freshness"
)

// claim is what a node knows of the newest version. It goes along with the node's active version.
type claim struct {
	// From is the sender's address.
	From string `msgpack:"From"`
	// Newest is the newest version that the sender knows of, Address a node that has it.
	Newest  uint64 `msgpack:"Newest"`
	Address string `msgpack:"Address"`
	// AgeMs is the time in milliseconds since the sender's active version was known to be the
	// newest in the store, or -1 if it is not known to be.
	AgeMs int64 `msgpack:"AgeMs"`
	// Reads is true if the sender reads the store itself.
	Reads bool `msgpack:"Reads"`
}

// unknownAge is the AgeMs of a node that may lack a version.
const unknownAge = -1

// claim returns what this node can tell others. Only what it knows at first hand is passed on.
func (s *Syncer) claim() *claim {
	own := s.options.Members.Self().PeerAddress
	c := &claim{From: own, Newest: s.options.Holder.Number(), Address: own, AgeMs: unknownAge, Reads: s.storeReachable.Load()}

	if gap, lacks := s.fresh.Gap(); lacks {
		if direct, ok := gap.Direct(); ok {
			c.Newest, c.Address = direct.Version, direct.Address
		}

		return c
	}

	if age, ok := s.fresh.Age(); ok {
		c.AgeMs = age.Milliseconds()
	}

	return c
}

// isCurrent reports whether the sender's version is known to be the newest as of a short time ago.
func (c *claim) isCurrent() bool {
	return c.AgeMs >= 0 && c.AgeMs <= informedTimeout.Milliseconds()
}

// said is what another node told about versions.
type said struct {
	version uint64
	claim   *claim
	at      time.Time // when the claim was made
}

// learn records what another node told. It reports whether that node vouches for its version: the
// version was the newest in the store a short time ago, and this node has not heard of a newer one.
func (s *Syncer) learn(w said) bool {
	s.fresh.Hear(freshness.Report{Version: w.version, Address: w.claim.From, Grace: gossipGrace})
	s.fresh.Hear(freshness.Report{
		Version: w.claim.Newest, Address: w.claim.Address, Relayed: w.claim.Address != w.claim.From, Grace: gossipGrace,
	})

	if !w.claim.isCurrent() {
		return false
	}

	at := w.at.Add(-time.Duration(w.claim.AgeMs) * time.Millisecond)
	s.fresh.Confirm(w.version, at)

	if gap, lacks := s.fresh.Gap(); lacks && gap.Version > w.version && time.Now().After(gap.Due) {
		return false
	}

	s.inform(at, w.claim.Reads)

	return true
}

// inform records that a node vouched for its version as of a moment. A node that stands in for the
// watchers goes on until one of them reads the store again.
func (s *Syncer) inform(at time.Time, reads bool) {
	if s.storeReachable.Load() && !reads {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if at.After(s.informedAt) {
		s.informedAt = at
	}
}

// claimOf returns the claim of a message. A node of an earlier version sends none; its flag says
// that the store answers it.
func claimOf(c *claim, version uint64, address string, current bool) *claim {
	if c != nil {
		return c
	}

	c = &claim{From: address, Newest: version, Address: address, AgeMs: unknownAge, Reads: current}
	if current {
		c.AgeMs = 0
	}

	return c
}
