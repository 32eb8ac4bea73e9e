package feed

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func (w *world) at(i int) (n *node) {
	w.set(func() { n = w.nodes["n"+strconv.Itoa(i)] })

	return n
}

func (n *node) lookedAt() (at time.Time) {
	n.world.set(func() { at = n.looked })

	return at
}

// hear has every node hear of the store's epoch within a time.
func (w *world) hear(within time.Duration) {
	number := w.copied().number

	for i := range len(w.nodes) {
		time.AfterFunc(rand.N(within), func() { w.at(i).epoch.Observe(number) })
	}
}

// The store gave out the revisions that a watch waits behind again, one of them to a version.
func TestAVersionAtARevisionThatWasGivenOutBeforeIsNotMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldIn(t, 3, 12)
		w.write(1)
		w.within(t, 1, 2*time.Second)

		older := w.copied()

		w.others(100)
		w.write(2)
		w.within(t, 2, 2*time.Second)
		time.Sleep(30 * time.Second) // all watches wait behind the last revision

		last := w.copied().revision

		w.back(older)
		w.write(3)
		w.others(last)
		w.hear(500 * time.Millisecond)
		w.within(t, 3, 2*time.Second)
	})
}

// The store's revision is what it was at the last look, in another epoch, and no watch hears.
func TestALookTellsARevisionFromTheSameOneOfAnotherEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const atOnce = 100 * time.Millisecond

		w := newWorld(t, Watchers)
		w.write(1)
		w.within(t, 1, 2*time.Second)

		older := w.copied()

		w.others(100)

		for time.Since(w.at(0).lookedAt()) > atOnce || time.Since(w.at(1).lookedAt()) > atOnce {
			time.Sleep(time.Millisecond)
		}

		w.set(func() { w.deaf = true })
		w.back(older)
		w.hear(time.Millisecond)
		time.Sleep(spreadChange + 50*time.Millisecond) // all have read again, and none has looked
		w.write(2)
		w.others(100)
		w.within(t, 2, 4*time.Second)
	})
}

// A change of the epoch that sends every host of a large fleet to the store at once.
func TestAChangeOfTheEpochBringsFewCallsOfALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			domains, hosts = 14, 295
			mostCalls      = hosts / 4  // in the first second
			mostInATenth   = hosts / 10 // of a second
			mostAfterwards = 8          // looks at the revision, in a second
		)

		w := newWorldIn(t, domains, hosts)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(2 * time.Second)
		w.back(w.copied())
		w.set(func() { w.calls = 0 })
		w.hear(10 * time.Millisecond)

		total, most := 0, 0

		for range 10 {
			time.Sleep(100 * time.Millisecond)
			w.set(func() {
				total, most = total+w.calls, max(most, w.calls)
				w.calls = 0
			})
		}

		t.Logf("%d calls in a second, at most %d in a tenth of one", total, most)
		assert.Assert(t, total <= mostCalls, "%d calls", total)
		assert.Assert(t, most <= mostInATenth, "%d calls", most)

		time.Sleep(time.Second)
		w.set(func() { assert.Assert(t, w.calls <= mostAfterwards, "%d calls in the second after", w.calls) })
	})
}
