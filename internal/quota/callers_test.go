package quota_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/workspace"
)

// Callers that move could be refused while the limit is granted where they were.
func TestMovedCallersAreServed(t *testing.T) {
	each(t, func(t *testing.T, seed uint64) {
		t.Helper()

		p := newPlay(t, *fleet, seed, spaces()...)
		const moved = 6 * time.Second

		p.place = func(_ *workspace.Workspace, since time.Duration) *node {
			for {
				n := p.nodes[p.random.IntN(len(p.nodes))]
				if since < moved || n.record.FailureDomain != "d1" || p.random.Float64() > 0.7 {
					return n
				}
			}
		}

		from := time.Now().Add(moved)

		p.run(9 * time.Second)
		p.stopAll()

		offered, refused := 0, 0
		for _, a := range p.accounts {
			offered += within(a.offered, from, from.Add(2*time.Second))
			refused += within(a.refused, from, from.Add(2*time.Second))
		}

		if *verbose {
			t.Logf("%d of %d refused in the 2 s after callers moved", refused, offered)
		}

		p.assertBounded(t)
		assert.Assert(t, refused*20 <= offered, "%d of %d", refused, offered)
	})
}

// Calls could be refused while a home is stopped as planned.
func TestPlannedStopOfTheHomeIsNotNoticed(t *testing.T) {
	each(t, func(t *testing.T, seed uint64) {
		t.Helper()

		p := newPlay(t, *fleet, seed, spaces()...)
		h := p.home()

		time.Sleep(3 * time.Second)
		p.run(4 * time.Second)
		h.leaving.Store(true)
		p.run(2500 * time.Millisecond)
		h.kill()

		p.place = func(*workspace.Workspace, time.Duration) *node {
			for {
				if n := p.nodes[p.random.IntN(len(p.nodes))]; n != h {
					return n
				}
			}
		}

		p.run(8 * time.Second)
		p.stopAll()
		p.assertBounded(t)

		offered, refused := 0, 0
		for _, a := range p.accounts {
			offered, refused = offered+len(a.offered), refused+len(a.refused)
		}

		if *verbose {
			t.Logf("%d of %d refused", refused, offered)
		}

		assert.Assert(t, refused*100 <= offered, "%d of %d", refused, offered)
	})
}

// The only caller of a workspace could be refused below the limit, and a rate below one a second never grant anything.
func TestSmallWorkspacesAreServed(t *testing.T) {
	each(t, func(t *testing.T, seed uint64) {
		t.Helper()

		p := newPlay(t, *fleet, seed, &workspace.Workspace{Name: "one", Rate: 20, Burst: 20}, &workspace.Workspace{Name: "slow", Rate: 0.2})
		p.place = func(*workspace.Workspace, time.Duration) *node { return p.nodes[len(p.nodes)-1] }
		p.demand = func(s *workspace.Workspace, _ time.Duration) float64 {
			if s.Name == "slow" {
				return 5
			}

			return 0.6 * s.Rate
		}

		time.Sleep(3 * time.Second)
		p.run(30 * time.Second)
		p.stopAll()
		p.assertBounded(t)

		one, slow := p.accounts["one"], p.accounts["slow"]
		assert.Assert(t, len(one.refused)*200 <= len(one.offered), "%d of %d", len(one.refused), len(one.offered))
		assert.Assert(t, len(slow.ran) >= 5 && len(slow.ran) <= 8, "%d", len(slow.ran))
	})
}

// Memory could grow with every workspace that once had a call.
func TestIdleWorkspacesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 10_000

		var limits []*workspace.Workspace
		for i := range count {
			limits = append(limits, &workspace.Workspace{Name: fmt.Sprint(i), Rate: 5, Burst: 5})
		}

		p := newPlay(t, 4, 1, limits...)
		p.demand = func(*workspace.Workspace, time.Duration) float64 { return 0.05 }

		time.Sleep(3 * time.Second)
		p.run(time.Second)

		held := func() (wallets, buckets int) {
			for _, n := range p.nodes {
				w, b := n.running().Held()
				wallets, buckets = wallets+w, buckets+b
			}

			return wallets, buckets
		}

		wallets, buckets := held()
		assert.Assert(t, wallets > 100 && buckets > 100)
		time.Sleep(15 * time.Second)

		wallets, buckets = held()
		assert.Equal(t, wallets+buckets, 0)
		p.stopAll()
	})
}

// Deployments without limits could pay for them.
func TestNoMessagesWithoutLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		free := &workspace.Workspace{Name: "free"}
		p := newPlay(t, 10, 1, free)
		p.demand = func(*workspace.Workspace, time.Duration) float64 { return 50 }
		p.run(5 * time.Second)
		p.stopAll()
		assert.Equal(t, p.messages, 0)
		assert.Equal(t, len(p.accounts["free"].refused), 0)
	})
}

// A sequence of faults that nobody thought of could let more calls run than the limit.
func TestLimitHoldsUnderRandomFaults(t *testing.T) {
	each(t, func(t *testing.T, seed uint64) {
		t.Helper()

		p := newPlay(t, *fleet, seed, spaces()...)
		hot := map[string]float64{}

		p.demand = func(s *workspace.Workspace, _ time.Duration) float64 { return max(0.6, hot[s.Name]) * s.Rate }

		for range 8 {
			p.fault(hot)
			p.run(time.Duration(500+p.random.IntN(4500)) * time.Millisecond)
		}

		p.run(8 * time.Second)
		p.stopAll()

		if *verbose {
			offered, refused, worst := 0, 0, 0.0
			for _, a := range p.accounts {
				offered, refused, worst = offered+len(a.offered), refused+len(a.refused), max(worst, a.worst())
			}

			t.Logf("%d of %d refused, largest window %.3f of its bound", refused, offered, worst)
		}

		p.assertBounded(t)
	})
}

// fault brings about a random fault, beside demand that is several times the usual.
func (p *play) fault(hot map[string]float64) {
	r := p.random
	clear(hot)

	for _, a := range p.sorted() {
		if r.IntN(3) == 0 {
			hot[a.space.Name] = 0.6 * float64(3+r.IntN(6))
		}
	}

	domain := fmt.Sprintf("d%d", r.IntN(testDomains))

	chosen := map[int]bool{}
	for i := range p.nodes {
		chosen[i] = r.Float64() < 0.35
	}

	switch r.IntN(6) {
	case 0:
		p.cut(6*time.Second, false, func(_ int, n *node) bool { return n.record.FailureDomain == domain })
	case 1:
		p.cut(12*time.Second, true, func(i int, _ *node) bool { return chosen[i] })
	case 2:
		p.bounce(time.Second, func(int) bool { return true })
	case 3:
		p.bounce(time.Duration(500+r.IntN(3000))*time.Millisecond, func(i int) bool { return chosen[i] })
	case 4:
		p.home().freeze()
	default:
		p.nodes[r.IntN(len(p.nodes))].freeze()
	}
}
