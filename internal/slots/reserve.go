package slots

import "time"

const (
	// reservedUsage is the number of slots that nested calls must use on average for one to be kept for
	// them. With fewer, the slot would mostly be idle.
	reservedUsage = 1.0
	// reservedFactor is how many times as long as a nested call the running calls must take on average.
	// Otherwise one of them ends soon enough.
	reservedFactor = 6
	// nestedSamples is the number of calls over which the slot time of nested calls is smoothed.
	nestedSamples = 16
)

// nested is the recent use of slots by nested calls.
type nested struct {
	usage    usage
	slotTime time.Duration // of one call
}

func (n *nested) add(slotTime time.Duration, now time.Time) {
	n.usage.add(slotTime, now)
	n.slotTime += (slotTime - n.slotTime) / nestedSamples
}

// slotReserved reports whether the next slot stays free for nested calls. It is the last, none of them
// runs though they used one all the time, and those that run take much longer.
func (q *Queue) slotReserved(now time.Time) bool {
	if len(q.running) != q.slots-1 || q.nested.usage.now(now) < time.Duration(reservedUsage*float64(usageWindow)) {
		return false
	}

	total := time.Duration(0)

	for s := range q.running {
		if s.work.Nested {
			return false
		}

		total += s.serviceTime
	}

	return total > reservedFactor*q.nested.slotTime*time.Duration(len(q.running))
}

// held reports whether no waiting call may take the next slot, because it is reserved.
func (q *Queue) held(now time.Time) bool {
	if !q.slotReserved(now) {
		return false
	}

	for _, s := range q.waiting {
		if s.work.Nested {
			return false
		}
	}

	return true
}

// countUsage adds the slot time of a call that ended to the usage of its rank.
func (q *Queue) countUsage(s *Slot, now time.Time) {
	q.usage[rankIndex(s.work)].add(now.Sub(s.started), now)

	if s.work.Nested {
		q.nested.add(now.Sub(s.started), now)
	}
}
