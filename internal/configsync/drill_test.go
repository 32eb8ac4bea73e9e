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

// gossip exchanges epochs and versions between the nodes until the end of the test.
func (sim *simulation) gossip(t *testing.T, random *rand.Rand) {
	t.Helper()

	const round = 200 * time.Millisecond

	ctx, cancel := context.WithCancel(context.Background())

	var wg sync.WaitGroup

	wg.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(round)

			for i := range sim.records {
				one, other := sim.node(sim.records[i].ID), sim.node(sim.records[random.IntN(len(sim.records))].ID)

				if sim.reaches(one, other) {
					one.epoch.Observe(other.epoch.Number())
					other.epoch.Observe(one.epoch.Number())
					wg.Go(func() { one.syncer.ObserveVersion(ctx, other.id, other.holder.Number()) })
					wg.Go(func() { other.syncer.ObserveVersion(ctx, one.id, one.holder.Number()) })
				}
			}
		}
	})

	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

func (sim *simulation) reaches(one, other *node) (can bool) {
	sim.locked(func() { can = !sim.isolated[one.id] && !sim.isolated[other.id] })

	return can
}

func (n *node) lastCheck() (at time.Time) {
	n.simulation.locked(func() { at = n.checkedAt })

	return at
}

// announceEpoch lets every node observe the store's epoch at a random time within a bound.
func (sim *simulation) announceEpoch(within time.Duration) {
	epochNumber := sim.snapshot().epochNumber

	for i := range sim.records {
		time.AfterFunc(rand.N(within), func() { sim.node(sim.records[i].ID).epoch.Observe(epochNumber) })
	}
}

// A restored store assigns revisions again. A new version may get the revision that a watch
// of the earlier epoch already waits behind.
func TestVersionAtReusedRevisionIsNotMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulationIn(t, 3, 12)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)

		older := sim.snapshot()

		sim.writeOtherKeys(100)
		sim.write(2)
		sim.awaitVersion(t, 2, 2*time.Second)
		time.Sleep(30 * time.Second) // all watches wait behind the last revision

		last := sim.snapshot().revision

		sim.restore(older)
		sim.write(3)
		sim.writeOtherKeys(last)
		sim.announceEpoch(500 * time.Millisecond)
		sim.awaitVersion(t, 3, 2*time.Second)
	})
}

// A restored store reaches the revision of the last check again, in another epoch, while no
// watch returns changes. The check must not take the revisions for the same.
func TestRevisionCheckDistinguishesEpochs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const atOnce = 100 * time.Millisecond

		sim := newSimulation(t, Watchers)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)

		older := sim.snapshot()

		sim.writeOtherKeys(100)

		for time.Since(sim.node("n0").lastCheck()) > atOnce || time.Since(sim.node("n1").lastCheck()) > atOnce {
			time.Sleep(time.Millisecond)
		}

		sim.locked(func() { sim.watchesSilent = true })
		sim.restore(older)
		sim.announceEpoch(time.Millisecond)
		time.Sleep(epochRereadJitter + 50*time.Millisecond) // all nodes have read again, and none has checked the revision
		sim.write(2)
		sim.writeOtherKeys(100)
		sim.awaitVersion(t, 2, 4*time.Second)
	})
}

// replace restarts a node; the new process runs until the end of the test.
func (sim *simulation) replace(t *testing.T, id string) {
	t.Helper()

	sim.node(id).stop()

	n, stop := sim.restart(id)
	n.stop = stop
	t.Cleanup(stop)
	sim.locked(func() { sim.nodes[id] = n })
}

// Nodes that start while the store has an older version must not keep it, nor make other nodes
// go back to it.
func TestNodesStartedOnRestoredStoreGetNewestVersion(t *testing.T) {
	for _, starts := range [][]string{
		{"n0"}, {"n0", "n3"}, {"n9"}, {"n0", "n3", "n6", "n9"}, {"n0", "n3", "n1", "n4", "n2", "n5"},
		{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9", "n10"},
	} {
		t.Run(strings.Join(starts, " "), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulationIn(t, 3, 12)
				sim.gossip(t, rand.New(rand.NewPCG(1, 2)))
				sim.write(1)
				sim.awaitVersion(t, 1, 2*time.Second)

				older := sim.snapshot()

				sim.write(2)
				sim.awaitVersion(t, 2, 2*time.Second)
				time.Sleep(3 * time.Second)
				sim.restore(older)

				for _, id := range starts {
					sim.replace(t, id)
				}

				sim.awaitVersion(t, 2, 2*time.Second)
			})
		})
	}
}

// A store that has an older version than the nodes must be reported, but only once.
func TestOlderVersionInStoreIsReportedOnceAndNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulationIn(t, 3, 12)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)

		older := sim.snapshot()

		sim.write(2)
		sim.awaitVersion(t, 2, 2*time.Second)
		sim.restore(older)
		sim.announceEpoch(500 * time.Millisecond)
		time.Sleep(time.Minute)

		for _, r := range sim.records {
			reported := 0
			if slices.Contains(sim.node("n0").FirstOf(r.FailureDomain, Watchers), r) {
				reported = 1
			}

			n := sim.node(r.ID)
			assert.Equal(t, n.holder.Number(), uint64(2))
			assert.Equal(t, len(n.reported.Entries(timeline.Filter{Event: event.VersionOlder.Name})), reported, r.ID)
		}
	})
}

// A change of the epoch must not make every host of a large fleet call the store at once.
func TestEpochChangeCausesFewStoreCallsInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			domains, hosts = 14, 295
			mostCalls      = hosts / 4  // in the first second
			mostInATenth   = hosts / 10 // of a second
			mostAfterwards = 8          // revision checks, in a second
		)

		sim := newSimulationIn(t, domains, hosts)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)
		time.Sleep(2 * time.Second)
		sim.restore(sim.snapshot())
		sim.locked(func() { sim.calls = 0 })
		sim.announceEpoch(10 * time.Millisecond)

		total, most := 0, 0

		for range 10 {
			time.Sleep(100 * time.Millisecond)
			sim.locked(func() {
				total, most = total+sim.calls, max(most, sim.calls)
				sim.calls = 0
			})
		}

		t.Logf("%d calls in a second, at most %d in a tenth of one", total, most)
		assert.Assert(t, total <= mostCalls, "%d calls", total)
		assert.Assert(t, most <= mostInATenth, "%d calls", most)

		time.Sleep(time.Second)
		sim.locked(func() { assert.Assert(t, sim.calls <= mostAfterwards, "%d calls in the second after", sim.calls) })
	})
}
