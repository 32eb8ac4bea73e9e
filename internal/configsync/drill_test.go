package configsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// gossip has nodes tell each other of epochs and versions until the end of the test.
func (w *world) gossip(t *testing.T, random *rand.Rand) {
	t.Helper()

	const round = 200 * time.Millisecond

	ctx, cancel := context.WithCancel(context.Background())

	var wg sync.WaitGroup

	wg.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(round)

			for i := range w.records {
				one, other := w.node(w.records[i].ID), w.node(w.records[random.IntN(len(w.records))].ID)

				if w.reaches(one, other) {
					one.epoch.Observe(other.epoch.Number())
					other.epoch.Observe(one.epoch.Number())
					wg.Go(func() { one.feed.Hear(ctx, other.id, other.holder.Number()) })
					wg.Go(func() { other.feed.Hear(ctx, one.id, one.holder.Number()) })
				}
			}
		}
	})

	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

func (w *world) reaches(one, other *node) (can bool) {
	w.set(func() { can = !w.cut[one.id] && !w.cut[other.id] })

	return can
}

func (n *node) lookedAt() (at time.Time) {
	n.world.set(func() { at = n.looked })

	return at
}

// hear has every node hear of the store's epoch within a time.
func (w *world) hear(within time.Duration) {
	number := w.copied().number

	for i := range w.records {
		time.AfterFunc(rand.N(within), func() { w.node(w.records[i].ID).epoch.Observe(number) })
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

		for time.Since(w.node("n0").lookedAt()) > atOnce || time.Since(w.node("n1").lookedAt()) > atOnce {
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

// replace runs another life of a node in place of the one before, until the end of the test.
func (w *world) replace(t *testing.T, id string) {
	t.Helper()

	w.node(id).stop()

	n, stop := w.restart(id)
	n.stop = stop
	t.Cleanup(stop)
	w.set(func() { w.nodes[id] = n })
}

// Nodes that start while the store holds an older version serve on with it, or have others go back.
func TestNodesThatStartOnAnOlderStoreGetTheNewestVersion(t *testing.T) {
	for _, starts := range [][]string{
		{"n0"}, {"n0", "n3"}, {"n9"}, {"n0", "n3", "n6", "n9"}, {"n0", "n3", "n1", "n4", "n2", "n5"},
		{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9", "n10"},
	} {
		t.Run(strings.Join(starts, " "), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorldIn(t, 3, 12)
				w.gossip(t, rand.New(rand.NewPCG(1, 2)))
				w.write(1)
				w.within(t, 1, 2*time.Second)

				older := w.copied()

				w.write(2)
				w.within(t, 2, 2*time.Second)
				time.Sleep(3 * time.Second)
				w.back(older)

				for _, id := range starts {
					w.replace(t, id)
				}

				w.within(t, 2, 2*time.Second)
			})
		})
	}
}

// Nobody is told that the store holds an older version than the nodes, or is told all the time.
func TestAnOlderVersionInTheStoreIsToldOnceAndNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldIn(t, 3, 12)
		w.write(1)
		w.within(t, 1, 2*time.Second)

		older := w.copied()

		w.write(2)
		w.within(t, 2, 2*time.Second)
		w.back(older)
		w.hear(500 * time.Millisecond)
		time.Sleep(time.Minute)

		for _, r := range w.records {
			told := 0
			if slices.Contains(w.node("n0").FirstOf(r.FailureDomain, Watchers), r) {
				told = 1
			}

			n := w.node(r.ID)
			assert.Equal(t, n.holder.Number(), uint64(2))
			assert.Equal(t, len(n.told.Entries(timeline.Filter{Event: event.VersionOlder.Name})), told, r.ID)
		}
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
