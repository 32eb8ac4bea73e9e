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
	firstSeed = flag.Uint64("seed", 1, "first seed of the random drills")
	seeds     = flag.Uint64("seeds", 12, "number of seeds of the random drills")
)

// In some order of drills, versions, restarts and cuts a node goes back, or stays behind.
func TestNoNodeGoesBackOrStaysBehindInRandomDrills(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { drills(t, rand.New(rand.NewPCG(seed, seed))) })
		})
	}
}

// drill is a fleet, and the versions that its nodes were seen at.
type drill struct {
	*world

	random  *rand.Rand
	newest  int64
	older   contents
	highest map[*node]uint64
}

// drills plays some steps on a fleet, and after some of them looks whether all have the newest.
func drills(t *testing.T, random *rand.Rand) {
	t.Helper()

	const steps = 40

	d := &drill{world: newWorldIn(t, 3, 12), random: random, highest: map[*node]uint64{}}
	d.gossip(t, rand.New(rand.NewPCG(random.Uint64(), 1)))
	d.operate()
	d.within(t, 1, 2*time.Second)

	for range steps {
		d.step(t)
		d.look(t)
	}

	d.settle(t)
}

func (d *drill) step(t *testing.T) {
	t.Helper()

	switch d.random.IntN(10) {
	case 0, 1:
		d.operate()
	case 2:
		d.others(d.copied().revision + d.random.Int64N(9))
	case 3:
		d.older = d.copied()
	case 4:
		d.back(d.older)
	case 5:
		d.replace(t, d.any())
	case 6:
		id := d.any()
		d.set(func() { d.cut[id] = !d.cut[id] })
	case 7:
		id := d.any()
		d.set(func() { d.turned[id] = !d.turned[id] })
	case 8:
		time.Sleep(time.Duration(d.random.IntN(3000)) * time.Millisecond)
	case 9:
		d.settle(t)
	}
}

func (d *drill) any() string { return d.records[d.random.IntN(len(d.records))].ID }

// operate is the operator's next version.
func (d *drill) operate() {
	d.newest++
	d.write(d.newest)
}

// settle ends cuts, and has the operator write what the store lost, or go on.
func (d *drill) settle(t *testing.T) {
	t.Helper()

	d.set(func() {
		clear(d.cut)
		clear(d.turned)
	})
	time.Sleep(4 * time.Second) // pauses after errors, and gossip of the epoch
	bound := 2 * time.Second

	if d.random.IntN(2) == 0 {
		bound += 2 * time.Second // until a look has found the epoch, and gossip told of it

		older := d.copied()

		d.others(d.copied().revision + 9)
		d.operate()
		time.Sleep(8 * time.Second) // all have looked

		last := d.copied().revision
		d.back(older)
		d.operate()
		d.others(last)
	} else {
		d.operate()
	}

	d.within(t, uint64(d.newest), bound)
}

// look has no process be at an older version than before.
func (d *drill) look(t *testing.T) {
	t.Helper()

	for _, r := range d.records {
		n := d.node(r.ID)
		version := n.holder.Number()

		assert.Assert(t, version >= d.highest[n], r.ID)
		d.highest[n] = version
	}
}
