package dispatch_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// allKnown places calls as no fleet can: it sees every slot at no cost, keeps one queue for
// all, and knows how fast each node is, though not how long a call will take. It starts the
// oldest call that has its usual time left, so only a better order gives callers more.
type allKnown struct {
	slots   []knownSlot
	waiting []time.Duration // when they came, the oldest first
	onTime  int
}

// knownSlot is a slot of a node and from when on it is free.
type knownSlot struct {
	free  time.Duration
	speed float64
}

// bound returns the part of the calls that allKnown has answered by their target, of a load
// of the kind that is played.
func (p played) bound() float64 {
	a := allKnown{slots: knownSlots()}
	random := rand.New(rand.NewPCG(1, 2))
	gap := float64(time.Second) / (p.use * loadCapacity())
	asked := 0

	for now := time.Duration(0); now < loadLength; asked++ {
		now += time.Duration(random.ExpFloat64() * gap)
		a.until(now, random)
		a.waiting = append(a.waiting, now)
	}

	a.until(loadLength+listingTarget, random)

	return float64(a.onTime) / float64(asked)
}

func knownSlots() []knownSlot {
	var out []knownSlot

	for i := range loadNodes {
		for range loadSlots {
			out = append(out, knownSlot{speed: loadSpeed(i)})
		}
	}

	return out
}

// until starts the calls that wait, as slots get free, up to a time.
func (a *allKnown) until(end time.Duration, random *rand.Rand) {
	for len(a.waiting) > 0 {
		s := a.soonest()
		now := max(s.free, a.waiting[0])

		if now > end {
			return
		}

		a.start(a.fastest(now), now, random)
	}
}

func (a *allKnown) soonest() *knownSlot {
	out := &a.slots[0]

	for i := range a.slots {
		if a.slots[i].free < out.free {
			out = &a.slots[i]
		}
	}

	return out
}

// fastest returns the fastest of the slots that are free.
func (a *allKnown) fastest(now time.Duration) *knownSlot {
	out := a.soonest()

	for i := range a.slots {
		if a.slots[i].free <= now && a.slots[i].speed < out.speed {
			out = &a.slots[i]
		}
	}

	return out
}

// start gives the slot to the oldest call that would be on time there if it takes as long
// as most do. The others are turned away.
func (a *allKnown) start(s *knownSlot, now time.Duration, random *rand.Rand) {
	usual := time.Duration(float64(listingLength) * s.speed)
	a.waiting = slices.DeleteFunc(a.waiting, func(came time.Duration) bool { return now-came+usual > listingTarget })

	if len(a.waiting) == 0 {
		return
	}

	came := a.waiting[0]
	a.waiting = a.waiting[1:]
	s.free = now + drawListing(random, s.speed)

	if s.free-came <= listingTarget {
		a.onTime++
	}
}

// Many entries see a few replies a second of each node, and more calls come than the backend
// servers take. Callers must get as much as from one that sees every slot at each moment and
// serves in the order of arrival; nearly as much while the slots just suffice. Without time to
// spare in standing queues one call in eight that is started is late.
func TestHowFarFromAPlacerThatKnowsAll(t *testing.T) {
	for _, c := range []struct {
		load played
		part float64 // of what the other gets, at least
	}{
		{played{use: 0.95}, 0.98},
		{played{use: 1.2, comeBack: true}, 1},
		{played{use: 1.5, comeBack: true}, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			got, _ := c.load.play(t)
			most := c.load.bound()

			t.Logf("%.2f of the slots: %.3f on time, %.3f if all were known", c.load.use, got.share(), most)
			assert.Check(t, got.share() >= c.part*most)
		})
	}
}
