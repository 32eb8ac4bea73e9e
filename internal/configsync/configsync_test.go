package configsync

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Only the watchers call the store while all is well, however many nodes there are.
func TestAVersionIsInForceSoonAndTheStoreIsCalledByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 20)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(30 * time.Second)
		w.set(func() { w.calls = 0 })

		for v := int64(2); v <= 6; v++ {
			w.write(v)
			w.within(t, uint64(v), 100*time.Millisecond)
			time.Sleep(2 * time.Second)
		}

		w.set(func() {
			t.Logf("%d calls in 10 s with 5 versions, %d open watches", w.calls, w.watchers)
			assert.Assert(t, w.calls < 50)
			assert.Equal(t, w.watchers, Watchers)
		})
	})
}

// The store loses history and no watch hears of a change. A look at its revision
// finds it, and the others are told.
func TestAChangeThatNoWatchHears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		w.set(func() { w.deaf = true })
		w.write(2)
		w.within(t, 2, 4*time.Second)
	})
}

// The read after a look that found a change fails, and no later look finds a change.
func TestALookWhoseReadFailsIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Watchers)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		w.set(func() {
			w.deaf = true

			for _, n := range w.nodes {
				n.unread = 1
			}
		})
		w.write(2)
		w.within(t, 2, 8*time.Second)
	})
}

// The watcher that finds a missed change tells those of the other failure domains, which
// would find it only by looks of their own.
func TestWhoFindsAMissedChangeTellsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldIn(t, 4, 12)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		w.set(func() { w.deaf = true })
		w.write(2)

		first := func() bool {
			for _, n := range w.nodes {
				if n.holder.Number() == 2 {
					return true
				}
			}

			return false
		}
		for !first() {
			time.Sleep(time.Millisecond)
		}

		w.within(t, 2, 100*time.Millisecond)
	})
}

// The store turns both watchers away and serves the others. These notice that nobody
// tells them what is current, and ask by themselves.
func TestWatchersThatAreTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		w.set(func() { w.turned["n0"], w.turned["n1"], w.deaf = true, true, true })
		time.Sleep(25 * time.Second) // the watches end
		w.set(func() { w.deaf = false })
		w.write(2)
		w.within(t, 2, 3*time.Second)
	})
}

// The store stops answering all nodes of a failure domain, whose connections stay
// open: their watches wait on and tell nothing. Callers there would be sent by old
// settings until the connections are found out.
func TestAFailureDomainThatTheStoreDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldIn(t, 3, 12)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		w.set(func() {
			for i := range 4 {
				w.silent[w.record(3*i).ID] = true
			}
		})

		for v := int64(2); v < 6; v++ {
			w.write(v)
			w.within(t, uint64(v), time.Second)
			time.Sleep(time.Second)
		}
	})
}

// The store is away for a while. Each call that it turns away is paid for and tells
// nobody anything, so not every node may ask again and again.
func TestAStoreThatIsAwayIsNotAskedByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldIn(t, 4, 84)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)

		away := func(is bool) {
			w.set(func() {
				w.deaf, w.calls = is, 0
				close(w.changed)
				w.changed = make(chan struct{})

				for id := range w.nodes {
					w.turned[id] = is
				}
			})
		}

		away(true)
		time.Sleep(4500 * time.Millisecond)
		w.set(func() {
			t.Logf("%d calls in 4.5 s", w.calls)
			assert.Assert(t, w.calls < 130)
		})
		away(false)
		w.write(2)
		w.within(t, 2, 3*time.Second)
	})
}

// A node is cut off from all others and still reaches the store.
func TestANodeThatIsCutOffFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		w.set(func() { w.cut["n5"] = true })
		w.write(2)
		w.within(t, 2, 2*time.Second)
	})
}

// A node is turned away by the store and has the version from another node.
func TestANodeThatTheStoreTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6)
		w.set(func() { w.turned["n0"], w.turned["n5"] = true, true })
		w.write(1)
		w.within(t, 1, 3*time.Second)
		time.Sleep(5 * time.Second)
		w.write(2)
		w.within(t, 2, 2*time.Second)
	})
}

// A process starts again. The store gives it the settings as text, which is slow on a
// small link; a watcher gives them packed. It must not begin behind the others, so only
// a watcher that the store answers will do.
func TestAProcessThatStartsAgainHasTheVersionFromAnotherNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)

		restart := func(fromStore bool) {
			t.Helper()

			n, stop := w.restart("n5")

			time.Sleep(peersFirst + 50*time.Millisecond)
			stop()
			assert.Equal(t, n.holder.Number(), uint64(1))
			assert.Equal(t, n.calls > 0, fromStore)
		}

		restart(false)
		w.set(func() { w.cut["n0"], w.cut["n1"] = true, true })
		restart(true)
	})
}

// A process starts again while the host of a watcher has no power: connections to it are
// neither made nor refused. Asked one after the other, the node waits for that host while
// its callers are turned away, and another watcher would have answered at once.
func TestAProcessThatStartsAgainDoesNotWaitForAHostWithoutPower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		w.set(func() { w.hung["n0"] = true })

		n, stop := w.restart("n5")
		defer stop()

		time.Sleep(5 * peersPause)
		assert.Equal(t, n.holder.Number(), uint64(1))
		assert.Equal(t, n.calls, 0)
	})
}

// A process that is stopped while it looks for its first version spins until the time for that is up.
func TestAProcessThatStopsWhileItLooksForAVersionEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		w.set(func() { w.cut["n5"] = true })

		_, stop := w.restart("n5")

		time.Sleep(5 * time.Millisecond)

		began := time.Now()

		stop()
		assert.Assert(t, time.Since(began) < peersPause, time.Since(began))
	})
}

// All processes start again at the same time and none holds a version. Those that will
// watch the store must not wait for each other, or all callers are turned away meanwhile.
func TestAfterARestartOfAllTheWatchersGoToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 12)
		w.write(1)
		w.within(t, 1, 100*time.Millisecond)
		w.set(func() { assert.Assert(t, w.calls < 4*Watchers, "%d", w.calls) })
	})
}

// An operator changes settings five times a second. Each answer of a watch that is asked
// for again at once is a call of each watcher, and a push to all others, for a version
// that is out of date before most have read it.
func TestVersionsThatComeFastAreTakenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			versions = 26
			gap      = 200 * time.Millisecond
			domains  = 4
			// A look at the revision each 0.8 s by one of all watchers comes with them.
			mostCalls = domains*Watchers*versions*6/10 + 10
		)

		w := newWorldIn(t, domains, 24)
		w.write(1)
		w.within(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		w.set(func() { w.calls = 0 })

		for v := int64(2); v < versions; v++ {
			w.write(v)
			time.Sleep(gap)
		}

		w.write(versions)
		w.within(t, versions, 500*time.Millisecond)
		w.set(func() {
			t.Logf("%d calls for %d versions", w.calls, versions)
			assert.Assert(t, w.calls <= mostCalls, "%d calls", w.calls)
		})
	})
}

// All hosts start for the first time, long before the operator writes the first version.
// If each asks the store and waits there, a large fleet makes hundreds of calls that tell
// nobody anything.
func TestAFleetThatStartsForTheFirstTimeWaitsAtItsWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const domains = 3

		w := newWorldIn(t, domains, 60, func(o *Options) { o.FirstStart = true })

		time.Sleep(5 * time.Second)
		w.set(func() {
			t.Logf("%d calls", w.calls)
			assert.Assert(t, w.calls <= 10*domains*Watchers, "%d calls", w.calls)
		})
		w.write(1)
		w.within(t, 1, time.Second)
	})
}

// Versions come twenty times a second. All nodes are at the last one soon after, and
// none was ever taken back.
func TestAStormOfVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 10)
		w.write(1)
		w.within(t, 1, 2*time.Second)

		before := w.lowest()

		for v := int64(2); v <= 60; v++ {
			w.write(v)
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, w.lowest() >= before)
			before = w.lowest()
		}

		w.within(t, 60, 700*time.Millisecond)
	})
}
