package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/balancer"
	"github.com/pollencart/pollencart/internal/forward"
)

const ms = time.Millisecond

func nodes(near, far int) []balancer.Candidate {
	var out []balancer.Candidate
	for i := range near + far {
		out = append(out, balancer.Candidate{ID: fmt.Sprintf("n%d", i), Near: i < near, Slots: 9})
	}

	return out
}

func need() balancer.Need {
	return balancer.Need{Route: "search", Target: 150 * ms, Deadline: 400 * ms, Idempotent: true}
}

// run sends calls one after the other; held says how long a node takes, or that it
// fails. It returns how many each node got.
func run(p *balancer.Placer, c []balancer.Candidate, calls int, held func(id string) (balancer.Result, time.Duration)) map[string]int {
	got := map[string]int{}

	for range calls {
		chosen, ok := p.Pick(c, need())
		if !ok {
			continue
		}

		got[chosen.ID]++

		a := p.Start(chosen.ID, "search")
		result, took := held(chosen.ID)

		time.Sleep(took)
		a.End(result, forward.Reply{HeldMs: took.Milliseconds(), Load: forward.Load{Slots: 9}})
	}

	return got
}

func well(string) (balancer.Result, time.Duration) { return balancer.Answered, 48 * ms }

// Bytes between failure domains cost more than anything else. While the own failure
// domain is on time, only first tries of nodes that were never used cross.
func TestTheOwnFailureDomainFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := balancer.New()
		c := nodes(1, 3)
		run(p, c, 100, well)

		got := run(p, c, 1000, well)
		assert.Equal(t, got["n0"], 1000)
	})
}

// The near backend server is busy: what it reports is longer than callers can wait.
// Calls go elsewhere until the report is old.
func TestABusyNearNodeSpills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := balancer.New()
		c := nodes(1, 3)
		run(p, c, 200, well)

		a := p.Start("n0", "search")
		a.End(balancer.Busy, forward.Reply{Load: forward.Load{Slots: 9, WaitsMs: [forward.Ranks]int64{300, 300, 300}}})

		chosen, ok := p.Pick(c, need())
		assert.Assert(t, ok)
		assert.Assert(t, chosen.ID != "n0")

		time.Sleep(600 * ms)

		chosen, _ = p.Pick(c, need())
		assert.Equal(t, chosen.ID, "n0")
	})
}

// A backend server fails half of its calls while its health is good. Its calls go
// elsewhere, and some still reach it, so that it is seen to mend.
func TestAFailingNodeIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := balancer.New()
		c := nodes(2, 2)
		run(p, c, 200, well)

		calls := 0
		grey := func(id string) (balancer.Result, time.Duration) {
			if id == "n0" {
				if calls++; calls%2 == 0 {
					return balancer.Failed, 10 * ms
				}
			}

			return well(id)
		}
		run(p, c, 100, grey)
		got := run(p, c, 1000, grey)
		t.Logf("%v", got)
		assert.Assert(t, got["n0"] < 150)
		assert.Assert(t, got["n0"] > 0)

		run(p, c, 500, well)
		got = run(p, c, 1000, well)
		t.Logf("mended: %v", got)
		assert.Assert(t, got["n0"] > 250)
	})
}

// A host is gone. Calls must not find that out again and again.
func TestANodeThatCantBeReachedIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := balancer.New()
		c := nodes(2, 1)
		run(p, c, 100, well)

		start := time.Now()
		got := run(p, c, 400, func(id string) (balancer.Result, time.Duration) {
			if id == "n0" {
				return balancer.Unreached, 0
			}

			return well(id)
		})
		t.Logf("%v in %s", got, time.Since(start))
		assert.Assert(t, got["n0"] <= 20) // of 20 s, at one to two seconds between tries
	})
}

// All that is left could not be reached twice in a row: a call is refused rather than
// sent on a dead route.
func TestADeadRouteIsNotTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := balancer.New()
		c := nodes(1, 0)

		for range 2 {
			p.Start("n0", "search").End(balancer.Unreached, forward.Reply{})
			time.Sleep(400 * ms)
		}

		p.Start("n0", "search").End(balancer.Unreached, forward.Reply{})

		_, ok := p.Pick(c, need())
		assert.Assert(t, !ok)
	})
}

// A backend server joins in another failure domain and would stay idle, since all
// others are preferred to it.
func TestANewNodeGetsSomething(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := balancer.New()
		run(p, nodes(2, 2), 200, well)

		got := run(p, nodes(2, 3), 100, well)
		assert.Assert(t, got["n4"] > 0)
	})
}

// One of two near backend servers is three times slower. It gets what it can do on
// time beside the other, not the half.
func TestASlowNodeGetsLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := balancer.New()
		c := nodes(2, 0)
		slow := func(id string) (balancer.Result, time.Duration) {
			if id == "n0" {
				return balancer.Answered, 144 * ms
			}

			return well(id)
		}
		run(p, c, 100, slow)
		got := run(p, c, 500, slow)
		assert.Assert(t, got["n0"] < 100, "%v", got)
	})
}

// BenchmarkPick is one choice among the nodes that a large fleet has for a service.
func BenchmarkPick(b *testing.B) {
	p := balancer.New()
	c := nodes(9, 6)

	for _, n := range c {
		p.Start(n.ID, "search").End(balancer.Answered, forward.Reply{HeldMs: 48})
	}

	b.ReportAllocs()

	for b.Loop() {
		p.Pick(c, need())
	}
}

// The near backend server is half as fast as one elsewhere, and late now and then. Calls
// with small answers cross to be on time; for those with large ones the bytes would cost
// more than the few late ones do.
func TestASmallCallCrossesForLess(t *testing.T) {
	for name, bytes := range map[string]int{"small": 200, "large": 20_000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := balancer.New()
				c := nodes(1, 1)
				random := rand.New(rand.NewPCG(1, 2))
				got := map[string]int{}

				for range 500 {
					chosen, _ := p.Pick(c, balancer.Need{Route: "search", Target: 150 * ms, Deadline: 400 * ms})
					got[chosen.ID]++

					mean := 48.0
					if chosen.Near {
						mean = 100
					}

					took := time.Duration(mean * math.Exp(0.6*random.NormFloat64()) * float64(ms))
					a := p.Start(chosen.ID, "search")
					time.Sleep(took)
					a.End(balancer.Answered, forward.Reply{HeldMs: took.Milliseconds(), Body: make([]byte, bytes)})
				}

				t.Logf("%v", got)
				assert.Equal(t, got["n1"] > 250, name == "small")
			})
		})
	}
}
