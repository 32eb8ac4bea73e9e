package poison

import (
	"slices"
	"time"
)

// known is a crash that the request was in flight in. A crash that the request was
// cleared of stays known as that: a gate that missed the word would otherwise tell of it
// again, and a popular request would be refused for what another one did.
type known struct {
	crash   Crash
	cleared bool
}

type entry struct {
	suspect Suspect
	crashes []known
	until   time.Time
	// began is when the call that crashed here began, zero if it crashed elsewhere.
	began time.Time
	// revision counts what this gate saw by itself and tells the others; 0 if it only
	// heard of the request.
	revision uint64
}

// counted returns the crashes that the request was not cleared of.
func (e *entry) counted() []Crash {
	var out []Crash

	for _, k := range e.crashes {
		if !k.cleared {
			out = append(out, k.crash)
		}
	}

	return out
}

// maxKnown bounds the crashes that are kept of one request. One that is refused has
// two that count; the others are a popular request's, cleared of each.
const maxKnown = 8

// add notes a crash and reports whether it was news.
func (e *entry) add(n known) bool {
	i := slices.IndexFunc(e.crashes, func(k known) bool { return k.crash == n.crash })
	if i >= 0 {
		news := n.cleared && !e.crashes[i].cleared
		e.crashes[i].cleared = e.crashes[i].cleared || n.cleared

		return news
	}

	if len(e.crashes) >= maxKnown {
		i = slices.IndexFunc(e.crashes, func(k known) bool { return k.cleared })
		if i < 0 {
			return false // refused many times over
		}

		e.crashes = slices.Delete(e.crashes, i, i+1)
	}

	e.crashes = append(e.crashes, n)

	return true
}

func before(a, b *entry) bool {
	if x, y := min(len(a.counted()), Limit), min(len(b.counted()), Limit); x != y {
		return x < y
	}

	return a.until.Before(b.until)
}
