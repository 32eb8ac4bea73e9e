package configsync

import (
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// The watchers of one failure domain take long to decode a version, but answer other nodes at once.
// The other nodes of the failure domain would wait for them.
func TestLaggingWatchersDoNotHoldBackTheirFailureDomain(t *testing.T) {
	for _, f := range []fleet{smallFleet, mediumFleet, largeFleet} {
		for _, takes := range []time.Duration{1500 * time.Millisecond, 4 * time.Second, 8 * time.Second} {
			t.Run(strconv.Itoa(f.nodes)+" nodes "+takes.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					sim := f.start(t)

					lagging := []string{sim.records[0].ID, sim.records[f.domains].ID}
					sim.lag(takes, lagging...)

					for v := int64(2); v < 6; v++ {
						sim.write(v)
						sim.awaitOthers(t, uint64(v), f.bound, lagging...)
						time.Sleep(5 * time.Second)
					}
				})
			})
		}
	}
}

// The watchers of all failure domains lag at once, so that no node can tell the others of a version.
func TestLaggingWatchersOfAllFailureDomainsAreReplaced(t *testing.T) {
	for _, f := range []fleet{smallFleet, mediumFleet, largeFleet} {
		t.Run(strconv.Itoa(f.nodes)+" nodes", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := f.start(t)

				var lagging []string
				for i := range f.domains * Watchers {
					lagging = append(lagging, sim.records[i].ID)
				}

				sim.lag(8*time.Second, lagging...)
				sim.write(2)
				sim.awaitOthers(t, 2, f.bound, lagging...)
			})
		})
	}
}

// A process restarts while the watchers of its failure domain lag. It must not keep their version.
func TestRestartedNodeDoesNotTrustLaggingWatchers(t *testing.T) {
	for _, f := range []fleet{smallFleet, mediumFleet, largeFleet} {
		t.Run(strconv.Itoa(f.nodes)+" nodes", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := f.start(t)

				lagging := []string{sim.records[0].ID, sim.records[f.domains].ID}
				sim.lag(8*time.Second, lagging...)
				sim.write(2)
				time.Sleep(500 * time.Millisecond)

				id := sim.records[2*f.domains].ID
				sim.replace(t, id)
				time.Sleep(f.bound)
				assert.Equal(t, sim.node(id).holder.Number(), uint64(2))
			})
		})
	}
}

// The store answers none of the watchers of all failure domains, without an error. Their open watches
// must not count as knowledge of the store.
func TestSilentWatchesAreNoProofOfTheNewestVersion(t *testing.T) {
	for _, f := range []fleet{smallFleet, mediumFleet, largeFleet} {
		t.Run(strconv.Itoa(f.nodes)+" nodes", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := f.start(t)
				sim.locked(func() {
					for i := range f.domains * Watchers {
						sim.silent[sim.records[i].ID] = true
					}
				})

				for v := int64(2); v < 6; v++ {
					sim.write(v)
					sim.awaitOthers(t, uint64(v), f.bound)
					time.Sleep(3 * time.Second)
				}
			})
		})
	}
}

// lag lets nodes take long to decode a version.
func (sim *simulation) lag(takes time.Duration, ids ...string) {
	sim.locked(func() {
		for _, id := range ids {
			sim.faults.decodes[id] = takes
		}
	})
}

// awaitOthers waits until the version is active on all nodes but some, and fails after the bound.
func (sim *simulation) awaitOthers(t *testing.T, version uint64, bound time.Duration, but ...string) {
	t.Helper()
	time.Sleep(bound)

	late := 0

	for _, r := range sim.records {
		n := sim.node(r.ID)
		if slices.Contains(but, r.ID) || n.holder.Number() >= version {
			continue
		}

		if late++; late == 1 {
			age, ok := n.syncer.Freshness().Age()
			t.Logf("%s has version %d of %s, up to date %t as of %s ago", r.ID, n.holder.Number(), n.syncer.source(), ok, age)
		}
	}

	if late > 0 {
		for _, id := range but {
			for _, e := range sim.node(id).reported.Entries(timeline.Filter{Event: event.VersionBehind.Name}) {
				t.Logf("%s: %s %d: %s", id, e.Name, e.Version, e.Detail)
			}
		}
	}

	if late > 0 {
		t.Errorf("version %d is not active on %d nodes after %s", version, late, bound)
	}
}
