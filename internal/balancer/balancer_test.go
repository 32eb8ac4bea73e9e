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

// run sends calls sequentially; handle returns a node's result and service time. It
// returns the number of calls per node.
func run(p *balancer.Balancer, c []balancer.Candidate, calls int, handle func(id string) (balancer.Result, time.Duration)) map[string]int {
	got := map[string]int{}

	for range calls {
		chosen, ok := p.Pick(c, need())
		if !ok {
			continue
		}

		got[chosen.ID]++

		a := p.Start(chosen.ID, "search")
		result, took := handle(chosen.ID)

		time.Sleep(took)
		a.End(result, forward.Reply{HeldMs: took.Milliseconds(), Load: forward.Load{Slots: 9}})
	}

	return got
}

func healthy(string) (balancer.Result, time.Duration) { return balancer.Answered, 48 * ms }

// Traffic between failure domains is the most expensive resource. While the own failure
// domain answers within the target, only probes of unused nodes leave it.
func TestOwnFailureDomainIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := balancer.New()
		c := nodes(1, 3)
		run(p, c, 100, healthy)

		got := run(p, c, 1000, healthy)
		assert.Equal(t, got["n0"], 1000)
	})
}

// The backend server of the same failure domain is busy: it reports a wait longer than
// callers can wait. Calls go to another failure domain until the report expires.
func TestBusyNearNodeOverflowsToOtherDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := balancer.New()
		c := nodes(1, 3)
		run(p, c, 200, healthy)

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

// A backend server fails half of its calls while its health checks pass. Its calls go
// to other nodes, and a few probes still reach it, so that its recovery is detected.
func TestFailingNodeGetsOnlyProbesUntilItRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := balancer.New()
		c := nodes(2, 2)
		run(p, c, 200, healthy)

		calls := 0
		partiallyFailing := func(id string) (balancer.Result, time.Duration) {
			if id == "n0" {
				if calls++; calls%2 == 0 {
					return balancer.Failed, 10 * ms
				}
			}

			return healthy(id)
		}
		run(p, c, 100, partiallyFailing)
		got := run(p, c, 1000, partiallyFailing)
		t.Logf("%v", got)
		assert.Assert(t, got["n0"] < 150)
		assert.Assert(t, got["n0"] > 0)

		run(p, c, 500, healthy)
		got = run(p, c, 1000, healthy)
		t.Logf("after recovery: %v", got)
		assert.Assert(t, got["n0"] > 250)
	})
}

// A host is down. Without backoff, calls would repeatedly be sent to it and fail.
func TestUnreachableNodeIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := balancer.New()
		c := nodes(2, 1)
		run(p, c, 100, healthy)

		start := time.Now()
		got := run(p, c, 400, func(id string) (balancer.Result, time.Duration) {
			if id == "n0" {
				return balancer.Unreached, 0
			}

			return healthy(id)
		})
		t.Logf("%v in %s", got, time.Since(start))
		assert.Assert(t, got["n0"] <= 20) // in 20 s, with a backoff of one to two seconds
	})
}

// The only candidate was unreachable several times in a row: Pick returns none rather
// than a node on a dead route.
func TestRepeatedlyUnreachableNodeIsNotPicked(t *testing.T) {
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

// A backend server joins in another failure domain. Without probes it would stay idle,
// since all others are preferred.
func TestUnusedNodeGetsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := balancer.New()
		run(p, nodes(2, 2), 200, healthy)

		got := run(p, nodes(2, 3), 100, healthy)
		assert.Assert(t, got["n4"] > 0)
	})
}

// One of two backend servers of the same failure domain is three times slower. It gets
// the calls that it can answer in time, not half of all calls.
func TestSlowNodeGetsSmallerShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := balancer.New()
		c := nodes(2, 0)
		slow := func(id string) (balancer.Result, time.Duration) {
			if id == "n0" {
				return balancer.Answered, 144 * ms
			}

			return healthy(id)
		}
		run(p, c, 100, slow)
		got := run(p, c, 500, slow)
		assert.Assert(t, got["n0"] < 100, "%v", got)
	})
}

// BenchmarkPick picks among the nodes that a large fleet has for a service.
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

// The backend server of the same failure domain is half as fast as one of another domain
// and sometimes misses the target. Calls with small answers go to the other domain; for
// large answers the cross-domain cost exceeds the loss by late calls.
func TestOnlySmallCallsGoToFasterOtherDomain(t *testing.T) {
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
