package admission

// Order determines which of a caller's waiting calls, kept in order of arrival, goes next.
type Order int

// Supported orders; docs/design/0201-admission.md compares them.
const (
	// OldestFirst serves in the order of arrival.
	OldestFirst Order = iota
	// NewestFirst gives most calls a short wait and lets the others time out.
	NewestFirst
	// DeadlineFirst serves the call with the earliest deadline.
	DeadlineFirst
)

func (o Order) next(waiters []*waiter) int {
	switch o {
	case NewestFirst:
		return len(waiters) - 1
	case DeadlineFirst:
		first := 0

		for i, w := range waiters {
			if w.deadline < waiters[first].deadline {
				first = i
			}
		}

		return first
	case OldestFirst:
	}

	return 0
}
