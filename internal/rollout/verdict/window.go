package verdict

import (
	"time"

	"github.com/pollencart/pollencart/internal/rollout/evidence"
)

const (
	// windowSlots of slotLength make up the window over which calls are compared.
	windowSlots  = 8
	slotLength   = 500 * time.Millisecond
	windowLength = windowSlots * slotLength
)

// window holds the counts of the last seconds, and all earlier ones as a fallback.
type window struct {
	began time.Time
	slots [windowSlots]evidence.Counts
	now   int64
	total evidence.Counts
}

func (w *window) add(at time.Time, c evidence.Counts) {
	if w.began.IsZero() {
		w.began = at
	}

	w.advance(at)

	// Counts that arrive out of order belong to the current slot.
	i := w.now % windowSlots
	w.slots[i] = w.slots[i].Plus(c)
	w.total = w.total.Plus(c)
}

func (w *window) advance(at time.Time) {
	if w.began.IsZero() {
		return
	}

	next := int64(at.Sub(w.began) / slotLength)
	if next-w.now >= windowSlots {
		w.slots = [windowSlots]evidence.Counts{}
		w.now = next
	}

	for ; w.now < next; w.now++ {
		w.slots[(w.now+1)%windowSlots] = evidence.Counts{}
	}
}

func (w *window) sum() evidence.Counts {
	w.advance(time.Now())

	var out evidence.Counts

	for _, s := range w.slots {
		out = out.Plus(s)
	}

	return out
}

// reference is what the baseline is like: its rate of bad calls and the class of service times from
// which a call is slow. For the comparison of hosts, calls from a lower class on are bad, and the
// rate is the one that the calls show without assuming a least one.
type reference struct {
	rate     float64
	slowFrom int
	lateRate float64
	lateFrom int
}

func (w *window) reference() reference { return w.referenceOf(w.sum()) }

// referenceAt returns what the baseline is like around a time, at which a fault may strike both
// versions. Counts of one slot arrive in it or in the next one.
func (w *window) referenceAt(at time.Time) reference {
	w.advance(time.Now())

	return w.referenceOf(w.around(at))
}

// around returns the counts around a time, or those of the whole window if they are few.
func (w *window) around(at time.Time) evidence.Counts {
	var c evidence.Counts

	slot := int64(at.Sub(w.began) / slotLength)
	for s := max(slot-1, w.now-windowSlots+1, 0); s <= min(slot+1, w.now); s++ {
		c = c.Plus(w.slots[s%windowSlots])
	}

	if c.Calls < minSlowSample {
		c = w.sum()
	}

	return c
}

// lateRateAt returns the rate of bad calls around a time, by the lower bound of the reference;
// that of the reference if there were too few calls.
func (w *window) lateRateAt(at time.Time, r reference) float64 {
	w.advance(time.Now())

	c := w.around(at)
	if c.Calls < minSlowSample {
		return r.lateRate
	}

	return lateRate(c, r.lateFrom)
}

func lateRate(c evidence.Counts, from int) float64 {
	return (float64(c.Failed+c.Slow(from)) + 1) / (float64(c.Calls) + observedPrior)
}

func (w *window) referenceOf(c evidence.Counts) reference {
	if c.Calls < minSlowSample {
		c = w.total
	}

	out := reference{slowFrom: evidence.Buckets, lateFrom: evidence.Buckets}

	if answered := c.Calls - c.Failed; answered >= minSlowSample {
		for out.slowFrom > 0 && float64(c.Slow(out.slowFrom-1)) <= slowTail*float64(answered) {
			out.slowFrom--
		}

		out.lateFrom = out.slowFrom + lateBuckets
		out.slowFrom += slowBuckets
	}

	bad := float64(c.Failed + c.Slow(out.slowFrom))
	out.lateRate = lateRate(c, out.lateFrom)
	out.rate = max((bad+minBaselineRate*baselinePrior)/(float64(c.Calls)+baselinePrior), minBaselineRate)

	return out
}
