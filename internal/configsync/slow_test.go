package configsync

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Both watchers have a link on which the configuration takes longer than a second. Reads that were
// begun anew after a second never ended.
func TestSlowLinkOfAllWatchersDeliversVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bytesPerSecond = storedBytes / 2 // a read takes two seconds

		sim := newSimulation(t, Watchers)
		sim.locked(func() {
			for _, r := range sim.records {
				sim.faults.links[r.ID] = &link{bytesPerSecond: bytesPerSecond}
			}
		})
		sim.write(1)
		sim.awaitVersion(t, 1, 10*time.Second)
	})
}

// Many nodes that lack the base of a delta pull the whole document from one host with a slow link.
func TestWholeDocumentReachesManyNodesOverOneSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 31

		sim := newSimulation(t, nodes)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)

		// Only n2 reads the store, and its link is slow.
		sim.locked(func() {
			for _, r := range sim.records {
				sim.rejected[r.ID] = r.ID != "n2"
			}

			sim.faults.links["n2"] = &link{bytesPerSecond: 7e6 / 8, shares: true}
			sim.faults.whole = true
			close(sim.changed)
			sim.changed = make(chan struct{})
		})
		time.Sleep(10 * time.Second)
		sim.write(2)
		sim.awaitVersion(t, 2, 10*time.Second)
		assert.Equal(t, sim.lowestVersion(), uint64(2))
	})
}

// A node is cut off, and the watchers of its failure domain stay cut off. Pulls from hosts that
// do not answer, with time limits that grow, would hold it up for seconds when the others are back.
func TestNodeThatWasCutOffGetsVersionSoonAfterwards(t *testing.T) {
	for seconds := 3; seconds < 10; seconds++ {
		t.Run(strconv.Itoa(seconds)+"s", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulationIn(t, 4, 24)
				sim.gossipNearby(t, rand.New(rand.NewPCG(1, 2)))
				sim.write(1)
				sim.awaitVersion(t, 1, 2*time.Second)
				sim.locked(func() { sim.faults.cut["n0"], sim.faults.cut["n4"] = true, true })
				time.Sleep(5 * time.Second)
				sim.locked(func() { sim.faults.cut["n8"], sim.silent["n8"] = true, true })
				sim.write(2)
				sim.node("n8").syncer.ObserveVersion(context.Background(), "n1", 2)
				time.Sleep(time.Duration(seconds) * time.Second)
				sim.locked(func() {
					delete(sim.faults.cut, "n8")
					delete(sim.silent, "n8")
				})
				sim.write(3)
				sim.awaitOthers(t, 3, 2*time.Second, "n0", "n4")
			})
		})
	}
}
