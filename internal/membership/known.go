package membership

import "time"

// CountKnown returns the number of nodes that are live, or are dead for less than a time. Nodes that
// left are not counted.
func (t *Table) CountKnown(dead time.Duration) int {
	t.mu.RLock()
	defer t.mu.RUnlock()

	now, known := time.Now(), 0

	for _, m := range t.members {
		if m.record.Live() || m.record.State == StateDead && now.Sub(m.since) < dead {
			known++
		}
	}

	return known
}
