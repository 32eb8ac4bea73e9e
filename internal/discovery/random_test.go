package discovery_test

import (
	"flag"
	"maps"
	"math/rand/v2"
	"slices"
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

// Guards against a record that stays missing, or a node that renews the lease of another
// one, after some order of store restores, outages and starts.
func TestRecordsAreRestoredInRandomScenarios(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomSteps(t, rand.New(rand.NewPCG(seed, seed))) })
		})
	}
}

// runRandomSteps runs random steps on a fleet whose nodes start at different times.
func runRandomSteps(t *testing.T, random *rand.Rand) {
	t.Helper()

	const (
		steps       = 40
		rewriteTime = 2500 * time.Millisecond // including the time until all nodes observe the epoch
	)

	s := newStore()
	s.delay = 4 * time.Millisecond
	g := newFleet(2, 4) // every node needs a record

	waiting := slices.Sorted(maps.Keys(g.domains))
	older := s.snapshot()

	for range steps {
		switch random.IntN(6) {
		case 0, 1:
			if len(waiting) > 0 {
				g.startNode(t, s, waiting[0], g.domains[waiting[0]])
				waiting = waiting[1:]
			}
		case 2:
			older = s.snapshot()
		case 3:
			s.restore(older)
			g.announceEpoch(s, 500*time.Millisecond)
		case 4:
			s.set(func() { s.unavailable = random.IntN(2) == 0 })
		case 5:
			time.Sleep(time.Duration(random.IntN(9000)) * time.Millisecond)
		}
	}

	for _, id := range waiting {
		g.startNode(t, s, id, g.domains[id])
	}

	time.Sleep(20 * time.Second)
	s.restore(older)
	g.announceEpoch(s, 500*time.Millisecond)
	time.Sleep(rewriteTime)
	assert.Equal(t, s.size(), len(g.domains))

	// Each record has its own lease, so all records outlast the lease TTL.
	time.Sleep(2 * time.Minute)
	assert.Equal(t, s.size(), len(g.domains))
}
