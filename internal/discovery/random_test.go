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
	firstSeed = flag.Uint64("seed", 1, "first seed of the random drills")
	seeds     = flag.Uint64("seeds", 12, "number of seeds of the random drills")
)

// In some order of drills, outages and starts a node's record stays away, and it renews another's lease.
func TestRecordsComeBackInRandomDrills(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { drills(t, rand.New(rand.NewPCG(seed, seed))) })
		})
	}
}

// drills plays some steps on a fleet of which some nodes start later than others.
func drills(t *testing.T, random *rand.Rand) {
	t.Helper()

	const (
		steps = 40
		soon  = 2500 * time.Millisecond // with the time until all have heard
	)

	s := newStore()
	s.delay = 4 * time.Millisecond
	g := newMeetings(2, 4) // all of which have to have records

	waiting := slices.Sorted(maps.Keys(g.domains))
	older := s.copied()

	for range steps {
		switch random.IntN(6) {
		case 0, 1:
			if len(waiting) > 0 {
				g.run(t, s, waiting[0], g.domains[waiting[0]])
				waiting = waiting[1:]
			}
		case 2:
			older = s.copied()
		case 3:
			s.back(older)
			g.hear(s, 500*time.Millisecond)
		case 4:
			s.set(func() { s.away = random.IntN(2) == 0 })
		case 5:
			time.Sleep(time.Duration(random.IntN(9000)) * time.Millisecond)
		}
	}

	for _, id := range waiting {
		g.run(t, s, id, g.domains[id])
	}

	time.Sleep(20 * time.Second)
	s.back(older)
	g.hear(s, 500*time.Millisecond)
	time.Sleep(soon)
	assert.Equal(t, s.size(), len(g.domains))

	// Each holds a lease of its own: all records outlast it.
	time.Sleep(2 * time.Minute)
	assert.Equal(t, s.size(), len(g.domains))
}
