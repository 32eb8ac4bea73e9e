package membership

import (
	"slices"
	"time"
)

// CountKnown returns the number of nodes that are live, or are dead for less than a time. Nodes that
// left are not counted, nor dead ones whose address a live node has: it took their place.
func (t *Table) CountKnown(dead time.Duration) int {
	t.mu.RLock()
	defer t.mu.RUnlock()

	now, known := time.Now(), 0

	for _, m := range t.members {
		if m.record.Live() || m.record.State == StateDead && now.Sub(m.since) < dead && !t.isReplaced(m.record) {
			known++
		}
	}

	return known
}

// isReplaced reports whether a live node has the address of a dead one. t.mu must be held.
func (t *Table) isReplaced(r Record) bool {
	return slices.ContainsFunc(t.addresses[r.PeerAddress], func(id string) bool { return t.members[id].record.Live() })
}
