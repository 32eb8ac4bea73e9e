package configsync

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// In normal operation only the watchers call the store, whatever the number of nodes.
func TestVersionReachesAllNodesWithFewStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 20)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)
		time.Sleep(30 * time.Second)
		sim.locked(func() { sim.calls = 0 })

		for v := int64(2); v <= 6; v++ {
			sim.write(v)
			sim.awaitVersion(t, uint64(v), 100*time.Millisecond)
			time.Sleep(2 * time.Second)
		}

		sim.locked(func() {
			t.Logf("%d calls in 10 s with 5 versions, %d open watches", sim.calls, sim.watchers)
			assert.Assert(t, sim.calls < 50)
			assert.Equal(t, sim.watchers, Watchers)
		})
	})
}

// The store loses history and no watch returns the change. A check of the revision finds it.
func TestChangeMissedByAllWatchesIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 6)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		sim.locked(func() { sim.watchesSilent = true })
		sim.write(2)
		sim.awaitVersion(t, 2, 4*time.Second)
	})
}

// A check finds a changed revision, but the read that follows fails. Unless the read is
// retried, the change is lost: the next check sees no difference.
func TestFailedReadAfterRevisionCheckIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, Watchers)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		sim.locked(func() {
			sim.watchesSilent = true

			for _, n := range sim.nodes {
				n.failingReads = 1
			}
		})
		sim.write(2)
		sim.awaitVersion(t, 2, 8*time.Second)
	})
}

// Without the hint, watchers of other failure domains find a missed change only by their own
// revision checks.
func TestWatcherThatFindsMissedChangeNotifiesOtherDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulationIn(t, 4, 12)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		sim.locked(func() { sim.watchesSilent = true })
		sim.write(2)

		first := func() bool {
			for _, n := range sim.nodes {
				if n.holder.Number() == 2 {
					return true
				}
			}

			return false
		}
		for !first() {
			time.Sleep(time.Millisecond)
		}

		sim.awaitVersion(t, 2, 100*time.Millisecond)
	})
}

// The store rejects both watchers and answers the other nodes. These get no answer from an
// up-to-date watcher and read the store themselves.
func TestNodesReplaceWatchersRejectedByStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 6)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		sim.locked(func() { sim.rejected["n0"], sim.rejected["n1"], sim.watchesSilent = true, true, true })
		time.Sleep(25 * time.Second) // longer than a watch
		sim.locked(func() { sim.watchesSilent = false })
		sim.write(2)
		sim.awaitVersion(t, 2, 3*time.Second)
	})
}

// The store stops answering all nodes of a failure domain while their connections stay open.
// Their watches return neither a change nor an error, and nodes there would route by an
// outdated configuration until the dead connections are detected.
func TestFailureDomainWithoutStoreAnswersGetsVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulationIn(t, 3, 12)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		sim.locked(func() {
			for i := range 4 {
				sim.silent[sim.record(3*i).ID] = true
			}
		})

		for v := int64(2); v < 6; v++ {
			sim.write(v)
			sim.awaitVersion(t, uint64(v), time.Second)
			time.Sleep(time.Second)
		}
	})
}

// During an outage each call to the store fails and still has to be paid for, so only a few
// nodes may retry.
func TestUnavailableStoreGetsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulationIn(t, 4, 84)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)

		setOutage := func(down bool) {
			sim.locked(func() {
				sim.watchesSilent, sim.calls = down, 0
				close(sim.changed)
				sim.changed = make(chan struct{})

				for id := range sim.nodes {
					sim.rejected[id] = down
				}
			})
		}

		setOutage(true)
		time.Sleep(4500 * time.Millisecond)
		sim.locked(func() {
			t.Logf("%d calls in 4.5 s", sim.calls)
			assert.Assert(t, sim.calls < 130)
		})
		setOutage(false)
		sim.write(2)
		sim.awaitVersion(t, 2, 3*time.Second)
	})
}

// A node that reaches no other node still reaches the store.
func TestNodeIsolatedFromPeersReadsStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 6)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		sim.locked(func() { sim.isolated["n5"] = true })
		sim.write(2)
		sim.awaitVersion(t, 2, 2*time.Second)
	})
}

// A node that the store rejects gets the version from another node.
func TestNodeRejectedByStoreGetsVersionFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 6)
		sim.locked(func() { sim.rejected["n0"], sim.rejected["n5"] = true, true })
		sim.write(1)
		sim.awaitVersion(t, 1, 3*time.Second)
		time.Sleep(5 * time.Second)
		sim.write(2)
		sim.awaitVersion(t, 2, 2*time.Second)
	})
}

// The store sends the configuration uncompressed, which is slow on a small link; a watcher
// sends it compressed. Only a watcher that the store answers is accepted as source, so that
// the process does not start with an outdated version.
func TestRestartedProcessGetsFirstVersionFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 6)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)

		restart := func(fromStore bool) {
			t.Helper()

			n, stop := sim.restart("n5")

			time.Sleep(firstPullTimeout + 50*time.Millisecond)
			stop()
			assert.Equal(t, n.holder.Number(), uint64(1))
			assert.Equal(t, n.calls > 0, fromStore)
		}

		restart(false)
		sim.locked(func() { sim.isolated["n0"], sim.isolated["n1"] = true, true })
		restart(true)
	})
}

// A process restarts while the host of a watcher has no power, so that connections to it are
// neither made nor refused. With one pull at a time, the node would wait for that host and
// reject its callers although another watcher answers at once.
func TestRestartedProcessDoesNotWaitForUnresponsiveWatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 6)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		sim.locked(func() { sim.hung["n0"] = true })

		n, stop := sim.restart("n5")
		defer stop()

		time.Sleep(5 * firstPullInterval)
		assert.Equal(t, n.holder.Number(), uint64(1))
		assert.Equal(t, n.calls, 0)
	})
}

// A process that is stopped during its first pull must not loop until the timeout.
func TestStopDuringFirstPullReturnsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 6)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)
		sim.locked(func() { sim.isolated["n5"] = true })

		_, stop := sim.restart("n5")

		time.Sleep(5 * time.Millisecond)

		began := time.Now()

		stop()
		assert.Assert(t, time.Since(began) < firstPullInterval, time.Since(began))
	})
}

// All processes restart at the same time and none has a version. Watchers must not wait for
// each other, because all callers are rejected meanwhile.
func TestWatchersReadStoreAfterRestartOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 12)
		sim.write(1)
		sim.awaitVersion(t, 1, 100*time.Millisecond)
		sim.locked(func() { assert.Assert(t, sim.calls < 4*Watchers, "%d", sim.calls) })
	})
}

// An operator writes five versions a second. Without a pause between watches, each version
// costs a call of every watcher and a push to all other nodes, although most versions are
// outdated before they are decoded.
func TestRapidVersionsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			versions = 26
			gap      = 200 * time.Millisecond
			domains  = 4
			// Includes one revision check every 0.8 s by all watchers together.
			mostCalls = domains*Watchers*versions*6/10 + 10
		)

		sim := newSimulationIn(t, domains, 24)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		sim.locked(func() { sim.calls = 0 })

		for v := int64(2); v < versions; v++ {
			sim.write(v)
			time.Sleep(gap)
		}

		sim.write(versions)
		sim.awaitVersion(t, versions, 500*time.Millisecond)
		sim.locked(func() {
			t.Logf("%d calls for %d versions", sim.calls, versions)
			assert.Assert(t, sim.calls <= mostCalls, "%d calls", sim.calls)
		})
	})
}

// All hosts start for the first time, long before the operator writes the first version. If
// each node watched the store, a large fleet would make hundreds of useless calls.
func TestFirstStartOfFleetLeavesStoreToWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const domains = 3

		sim := newSimulationIn(t, domains, 60, func(o *Options) { o.FirstStart = true })

		time.Sleep(5 * time.Second)
		sim.locked(func() {
			t.Logf("%d calls", sim.calls)
			assert.Assert(t, sim.calls <= 10*domains*Watchers, "%d calls", sim.calls)
		})
		sim.write(1)
		sim.awaitVersion(t, 1, time.Second)
	})
}

// With twenty versions a second, all nodes soon reach the last one and no node ever goes back
// to an older one.
func TestRapidVersionsNeverLowerTheActiveVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 10)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)

		before := sim.lowestVersion()

		for v := int64(2); v <= 60; v++ {
			sim.write(v)
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, sim.lowestVersion() >= before)
			before = sim.lowestVersion()
		}

		sim.awaitVersion(t, 60, 700*time.Millisecond)
	})
}
