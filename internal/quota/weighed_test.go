package quota_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/workspace"
)

// simple is an entry of the designs that were weighed against delegated shares: its own token bucket
// with a part of the limit.
type simple struct {
	tokens, demand float64
	at             time.Time
}

// take decides on a call with a share of the limit.
func (s *simple) take(l *workspace.Workspace, share float64) bool {
	now := time.Now()
	dt := now.Sub(s.at).Seconds()
	s.demand = s.demand*math.Exp(-dt) + 1
	s.tokens = min(s.tokens+l.Rate*share*dt, max(l.Burst*share, 1))
	s.at = now

	if s.tokens < 1 {
		return false
	}

	s.tokens--

	return true
}

// proportional are entries that tell each other their demand every interval, and share the limit by it.
type proportional struct {
	entries []*simple
	told    []float64
	at      time.Time
}

// share returns the part of an entry. After a cut each side knows only its own demand.
func (p *proportional) share(i int, reaches func(i, j int) bool) float64 {
	const interval = 300 * time.Millisecond

	if time.Since(p.at) > interval {
		p.at = time.Now()
		for j, e := range p.entries {
			p.told[j] = e.demand * math.Exp(-time.Since(e.at).Seconds())
		}
	}

	total := 0.0

	for j, d := range p.told {
		if reaches(i, j) {
			total += d
		}
	}

	return min(p.entries[i].demand/max(total, p.entries[i].demand), 1)
}

// weigh plays one workspace over entries for 20 s and returns what was counted. reaches is asked for
// the demand that an entry knows.
func weigh(nodes int, limit *workspace.Workspace, even bool, place func(r *rand.Rand, since time.Duration) int,
	factor float64, reaches func(since time.Duration, i, j int) bool,
) *account {
	random := rand.New(rand.NewPCG(1, 1))
	p := &proportional{told: make([]float64, nodes)}

	for range nodes {
		p.entries = append(p.entries, &simple{at: time.Now(), tokens: random.Float64()})
	}

	a, began := &account{space: limit}, time.Now()

	for since := time.Duration(0); since < 20*time.Second; since = time.Since(began) {
		time.Sleep(time.Duration(random.ExpFloat64() / (factor * limit.Rate) * float64(time.Second)))

		i, share := place(random, since), 1/float64(nodes)
		if !even {
			share = p.share(i, func(i, j int) bool { return reaches(since, i, j) })
		}

		a.add(time.Now(), p.entries[i].take(limit, share))
	}

	return a
}

// The designs that delegated shares were weighed against could turn out to be good enough: even shares
// refuse callers that are not spread evenly, and proportional shares double the limit in a cut.
func TestSimplerDesignsFallShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 80

		limit := &workspace.Workspace{Name: "w", Rate: 40, Burst: 40}
		all := func(r *rand.Rand, _ time.Duration) int { return r.IntN(nodes) }
		few := func(r *rand.Rand, _ time.Duration) int { return r.IntN(nodes / 8) }
		whole := func(time.Duration, int, int) bool { return true }
		cut := func(since time.Duration, i, j int) bool { return since < 5*time.Second || i%3 == j%3 }

		for _, c := range []struct {
			name    string
			place   func(*rand.Rand, time.Duration) int
			factor  float64
			reaches func(time.Duration, int, int) bool
		}{
			{"spread evenly, 0.6 of the limit", all, 0.6, whole},
			{"at an eighth of the nodes, 0.6 of the limit", few, 0.6, whole},
			{"three times the limit, domains cut off", all, 3, cut},
		} {
			even, gossiped := weigh(nodes, limit, true, c.place, c.factor, c.reaches), weigh(nodes, limit, false, c.place, c.factor, c.reaches)
			if *verbose {
				for name, a := range map[string]*account{"even": even, "proportional": gossiped} {
					t.Logf("%s: %s: %d of %d missing, largest window %.2f", c.name, name, a.missing(), len(a.offered), a.worst())
				}
			}

			if c.factor > 1 {
				assert.Assert(t, gossiped.worst() > 1)
			} else {
				assert.Assert(t, even.missing()*20 > len(even.offered))
			}
		}
	})
}
