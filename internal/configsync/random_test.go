package configsync

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of the random scenarios")
	seeds     = flag.Uint64("seeds", 12, "number of seeds of the random scenarios")
)

// Some sequences of faults, versions and restarts could make a node go back to an older version
// or miss the newest one.
func TestVersionsRiseAndConvergeUnderRandomFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScenario(t, rand.New(rand.NewPCG(seed, seed))) })
		})
	}
}

// scenario is a simulation and the highest version seen at each process.
type scenario struct {
	*simulation

	random  *rand.Rand
	newest  int64
	older   contents
	highest map[*node]uint64
}

// runScenario applies random steps and checks the versions of all nodes after each one.
func runScenario(t *testing.T, random *rand.Rand) {
	t.Helper()

	const steps = 40

	d := &scenario{simulation: newSimulationIn(t, 3, 12), random: random, highest: map[*node]uint64{}}
	d.gossip(t, rand.New(rand.NewPCG(random.Uint64(), 1)))
	d.writeNext()
	d.awaitVersion(t, 1, 2*time.Second)

	for range steps {
		d.step(t)
		d.checkVersions(t)
	}

	d.converge(t)
}

func (d *scenario) step(t *testing.T) {
	t.Helper()

	switch d.random.IntN(10) {
	case 0, 1:
		d.writeNext()
	case 2:
		d.writeOtherKeys(d.snapshot().revision + d.random.Int64N(9))
	case 3:
		d.older = d.snapshot()
	case 4:
		d.restore(d.older)
	case 5:
		d.replace(t, d.any())
	case 6:
		id := d.any()
		d.locked(func() { d.isolated[id] = !d.isolated[id] })
	case 7:
		id := d.any()
		d.locked(func() { d.rejected[id] = !d.rejected[id] })
	case 8:
		time.Sleep(time.Duration(d.random.IntN(3000)) * time.Millisecond)
	case 9:
		d.converge(t)
	}
}

func (d *scenario) any() string { return d.records[d.random.IntN(len(d.records))].ID }

// writeNext writes the operator's next version.
func (d *scenario) writeNext() {
	d.newest++
	d.write(d.newest)
}

// converge ends all faults, in half of the cases restores the store from an older copy, and
// requires that all nodes get the operator's newest version.
func (d *scenario) converge(t *testing.T) {
	t.Helper()

	d.locked(func() {
		clear(d.isolated)
		clear(d.rejected)
	})
	time.Sleep(4 * time.Second) // backoff after errors, and gossip of the epoch
	bound := 2 * time.Second

	if d.random.IntN(2) == 0 {
		bound += 2 * time.Second // a revision check finds the epoch, and gossip spreads it

		older := d.snapshot()

		d.writeOtherKeys(d.snapshot().revision + 9)
		d.writeNext()
		time.Sleep(8 * time.Second) // all watchers have checked the revision

		last := d.snapshot().revision
		d.restore(older)
		d.writeNext()
		d.writeOtherKeys(last)
	} else {
		d.writeNext()
	}

	d.awaitVersion(t, uint64(d.newest), bound)
}

// checkVersions requires that no process has an older version than before.
func (d *scenario) checkVersions(t *testing.T) {
	t.Helper()

	for _, r := range d.records {
		n := d.node(r.ID)
		version := n.holder.Number()

		assert.Assert(t, version >= d.highest[n], r.ID)
		d.highest[n] = version
	}
}
