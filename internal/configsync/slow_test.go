package configsync

import (
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
