package admission

// Order says which of a caller's waiting calls goes next. They are kept in the
// order of arrival.
type Order int

// The orders that were weighed; docs/design/0201-admission.md has the figures.
const (
	// OldestFirst serves in the order of arrival.
	OldestFirst Order = iota
	// NewestFirst gives most calls a short wait and lets the others run out.
	NewestFirst
	// DeadlineFirst serves the call with the least time left.
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
