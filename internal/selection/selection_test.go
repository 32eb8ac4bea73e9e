package selection_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/selection"
	"github.com/pollencart/pollencart/pkg/settings"
)

const saturatingRate = 4 * slots * 25 // calls per second that saturate four servers

// One of four backend servers takes ten times as long (a failing disk, a noisy
// neighbor). Without ejection, a quarter of the calls would take ten times as long.
func TestSlowServerIsAvoided(t *testing.T) {
	var three, four time.Duration

	synctest.Test(t, func(t *testing.T) {
		three = newCluster(12, fourServers()[:3]...).runLoad(t, saturatingRate/2, 10*time.Second).p99()
	})
	synctest.Test(t, func(t *testing.T) {
		servers := fourServers()
		servers[3].serviceTime = 10 * serviceTime
		m := newCluster(12, servers...)
		m.runLoad(t, saturatingRate/2, time.Second)

		before := servers[3].ran
		g := m.runLoad(t, saturatingRate/2, 10*time.Second)
		four = g.p99()
		t.Logf("p99 %s with three fast servers, %s with the slow one, which ran %d of %d", three, four, servers[3].ran-before, g.ok)
	})
	assert.Assert(t, four <= 2*three, "%s and %s", three, four)
}

// An archive sweep (background class) fills the queues of its own class. If an entry node
// counted these as work ahead of a folder open (interactive class), it would send all
// folder opens to the gate with the shortest background queue, where they would queue up.
func TestBackgroundCallsDoNotAffectInteractiveSelection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newCluster(4, fourServers()...)
		sweep := &cluster{servers: m.servers, entries: m.entries, class: settings.ClassBackground, duration: 5 * serviceTime}
		m.runLoad(t, saturatingRate/2, 2*time.Second)

		var (
			wg    sync.WaitGroup
			opens *results
			swept *results
		)

		wg.Go(func() { swept = sweep.runLoad(t, saturatingRate/5, 10*time.Second) })
		wg.Go(func() { opens = m.runLoad(t, saturatingRate/2, 10*time.Second) })
		wg.Wait()
		t.Logf("p99 of folder opens %s, sweep ran %d", opens.p99(), swept.ok)
		assert.Assert(t, opens.p99() <= 3*serviceTime/2, "%s", opens.p99())
		assert.Assert(t, swept.ok > 100)
	})
}

// A slow backend server recovers. Without probes it would stay idle forever.
func TestRecoveredServerRegainsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := fourServers()
		servers[3].serviceTime = 10 * serviceTime
		m := newCluster(4, servers...)
		m.runLoad(t, saturatingRate/2, 5*time.Second)
		servers[3].set(func() { servers[3].serviceTime = serviceTime })
		m.runLoad(t, saturatingRate/2, 30*time.Second)

		before := servers[3].ran
		g := m.runLoad(t, saturatingRate/2, 5*time.Second)
		share := float64(servers[3].ran-before) / float64(g.ok)
		assert.Assert(t, share > 0.15, "share %.2f", share)
	})
}

// A backend server reports that it is idle and fails every call. Selection by reports
// alone would send it the most calls.
func TestFailuresOverrideAReportOfLowLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := fourServers()
		servers[0].fails = true
		servers[0].report = func(l call.Load) call.Load { return call.Load{Slots: l.Slots} }
		m := newCluster(4, servers...)
		g := m.runLoad(t, saturatingRate/2, 10*time.Second)
		share := float64(g.failed) / float64(g.ok+g.failed)
		assert.Assert(t, share < 0.01, "%.3f failed", share)
	})
}

// A backend server reports a long queue that does not exist. If it got no calls, the
// others would have to take its share.
func TestAnswersOverrideAReportOfHighLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := fourServers()
		servers[0].report = func(l call.Load) call.Load {
			l.Work, l.Usual = [3]int{500, 500, 500}, [3]float64{500, 500, 500}

			return l
		}

		g := newCluster(4, servers...).runLoad(t, saturatingRate/2, 10*time.Second)
		share := float64(servers[0].ran) / float64(g.ok)
		t.Logf("share %.3f", share)
		assert.Assert(t, share > 0.05, "share %.3f", share)
	})
}

// A backend server has become slow while its reports are stuck at an empty queue.
func TestStaleReportDoesNotAttractCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := fourServers()
		servers[0].serviceTime = 5 * serviceTime
		servers[0].report = func(l call.Load) call.Load { return call.Load{Slots: slots, Waited: l.Waited, Held: l.Held} }

		g := newCluster(4, servers...).runLoad(t, saturatingRate/2, 10*time.Second)
		assert.Assert(t, float64(servers[0].ran)/float64(g.ok) < 0.1)
	})
}

// All backend servers of a service fail at once because a shared dependency fails. If all
// were ejected, their recovery would go unnoticed.
func TestEjectionKeepsGatesWhenAllFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := fourServers()
		for _, s := range servers {
			s.fails = true
		}

		m := newCluster(1, servers...)
		g := m.runLoad(t, saturatingRate/4, 5*time.Second)
		assert.Equal(t, g.refused, 0)

		ejected := m.entries[0].(*selection.Selector).Ejected(service)
		assert.Assert(t, len(ejected) <= 2, "%v", ejected)

		for _, s := range servers {
			s.set(func() { s.fails = false })
		}

		g = m.runLoad(t, saturatingRate/4, time.Second)
		assert.Assert(t, float64(g.ok) > 0.99*float64(g.ok+g.failed))
	})
}

// A backend server has restarted: it looks idle to every entry node, and its caches are
// cold.
func TestColdServerGetsCallsGradually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := fourServers()
		m := newCluster(12, servers...)
		time.Sleep(time.Minute)
		m.runLoad(t, saturatingRate/2, 5*time.Second)

		servers[0].ready = time.Now()
		servers[0].ran = 0
		first := m.runLoad(t, saturatingRate/2, time.Second)
		early := float64(servers[0].ran) / float64(first.ok)

		m.runLoad(t, saturatingRate/2, 15*time.Second)

		before := servers[0].ran
		later := m.runLoad(t, saturatingRate/2, 5*time.Second)
		late := float64(servers[0].ran-before) / float64(later.ok)
		t.Logf("share %.3f in the first second, %.3f after the ramp", early, late)
		assert.Assert(t, early < 0.1 && late > 0.2, "%.3f and %.3f", early, late)
	})
}

// All callers of a region enter through one failure domain, as with a public address that
// resolves to one site. The domain's backend server alone can't handle them.
func TestCallsOverflowWhenTheLocalWaitExceedsTheRoundTrip(t *testing.T) {
	localShare := func(rate float64) (share float64, p99 time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			servers := fourServers()
			m := newCluster(4, servers...)
			m.entries = m.entries[:1]
			g := m.runLoad(t, rate, 10*time.Second)
			share, p99 = float64(servers[0].ran)/float64(g.ok), g.p99()
		})

		return share, p99
	}

	quiet, _ := localShare(saturatingRate / 40)
	busy, p99 := localShare(saturatingRate * 6 / 10)
	t.Logf("local share %.2f at 10%% of the local server's capacity, %.2f at 240%%, p99 %s", quiet, busy, p99)
	assert.Assert(t, quiet > 0.8)
	assert.Assert(t, busy < 0.5)
	assert.Assert(t, p99 < 3*serviceTime)
}

// TestCompareStrategies prints the figures of docs/design/0202-selection.md.
func TestCompareStrategies(t *testing.T) {
	random := &lockedRand{r: rand.New(rand.NewPCG(9, 9))}
	tail := map[string]time.Duration{}

	for _, w := range []struct {
		name string
		of   func(*cluster) func(*selection.Selector) strategy
	}{
		{"two choices by cost", func(*cluster) func(*selection.Selector) strategy {
			return func(s *selection.Selector) strategy { return s }
		}},
		{"at random", func(*cluster) func(*selection.Selector) strategy {
			return func(s *selection.Selector) strategy { return atRandom{s, random} }
		}},
		{"least reported", func(m *cluster) func(*selection.Selector) strategy {
			load := delayedReports(m)

			return func(s *selection.Selector) strategy { return leastReported{s, load} }
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			m := newCluster(12, fourServers()...)
			wrap := w.of(m)

			for i := range m.entries {
				m.entries[i] = wrap(m.entries[i].(*selection.Selector))
			}

			g := m.runLoad(t, saturatingRate*8/10, 10*time.Second)
			tail[w.name] = g.p99()
			t.Logf("%-20s mean %s p99 %s, answered %d, rejected %d", w.name, g.mean(), g.p99(), g.ok, g.refused)
		})
	}

	assert.Assert(t, tail["two choices by cost"] < tail["at random"], "%v", tail)
	assert.Assert(t, tail["two choices by cost"] < tail["least reported"]/2, "%v", tail)
}

// TestHedging prints the figures of docs/design/0203-retries.md: one of 50 calls takes ten
// times as long, and a second attempt is made when the first has taken twice the usual
// service time.
func TestHedging(t *testing.T) {
	for _, load := range []float64{0.3, 0.5, 0.7} {
		for _, hedge := range []time.Duration{0, 2 * serviceTime} {
			synctest.Test(t, func(t *testing.T) {
				servers := fourServers()
				for i, s := range servers {
					s.outliers = rand.New(rand.NewPCG(5, uint64(i)))
				}

				m := newCluster(4, servers...)
				m.hedge = hedge
				g := m.runLoad(t, saturatingRate*load, 20*time.Second)
				time.Sleep(time.Second) // let the slower attempts end

				ran := 0
				for _, s := range servers {
					s.set(func() { ran += s.ran })
				}

				work := float64(ran) / float64(g.ok)
				t.Logf("load %.1f, hedge after %-4s: p99 %s, ran %.3f of the calls", load, hedge, g.p99(), work)

				if hedge > 0 && load > 0.6 {
					assert.Assert(t, work > 1.5, "hedging at high load was rejected because of its extra work")
				}
			})
		}
	}
}

// delayedReports returns reports that are up to 100 ms old, like those sent with heartbeats.
func delayedReports(m *cluster) func(string) int {
	var (
		mu   sync.Mutex
		at   time.Time
		seen = map[string]int{}
	)

	return func(id string) int {
		mu.Lock()
		defer mu.Unlock()

		if time.Since(at) > 100*time.Millisecond {
			at = time.Now()

			for _, s := range m.servers {
				l := s.queue.Load()
				seen[s.id] = l.InFlight + l.Queued
			}
		}

		return seen[id]
	}
}

func TestDrainingGateGetsNoNewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := selection.New()
		two := []selection.Candidate{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}}
		s.Start(service, "a", settings.ClassWrite).End(selection.Outcome{
			Result: selection.Refused, Load: call.Load{Slots: 1, Leaving: true},
		})

		for range 100 {
			c, ok := s.Pick(service, two, selection.Need{})
			assert.Assert(t, ok && c.ID == "b")
		}

		_, ok := s.Pick(service, two[:1], selection.Need{})
		assert.Assert(t, !ok)

		two[0].ReadySince = time.Now().Add(time.Second)
		_, ok = s.Pick(service, two[:1], selection.Need{})
		assert.Assert(t, ok, "not picked after the restart")
	})
}

// A caller with a timeout of one millisecond gets no answer in time from any gate. Such
// timeouts must not count as failures of the gates.
func TestShortTimeoutsDoNotEjectGates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := selection.New()
		two := []selection.Candidate{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}}

		for n := range 100 {
			c, _ := s.Pick(service, two, selection.Need{})
			a := s.Start(service, c.ID, settings.ClassInteractive)
			time.Sleep(time.Millisecond)
			a.End(selection.Outcome{Result: []selection.Result{selection.TimedOut, selection.Abandoned}[n%2]})
		}

		assert.Equal(t, len(s.Ejected(service)), 0)
	})
}

func candidates(n int) []selection.Candidate {
	var out []selection.Candidate
	for i := range n {
		out = append(out, selection.Candidate{ID: fmt.Sprint("server-", i), FailureDomain: fmt.Sprint(i % 4), Slots: slots})
	}

	return out
}

func TestPickDoesNotAllocate(t *testing.T) {
	s := selection.New(selection.FailureDomain("1"))
	all := candidates(14)
	s.Pick(service, all, selection.Need{})

	n := testing.AllocsPerRun(1000, func() {
		c, _ := s.Pick(service, all, selection.Need{})
		s.Start(service, c.ID, settings.ClassInteractive).End(selection.Outcome{Load: call.Load{Slots: slots}})
	})
	assert.Assert(t, n < 1, "%.1f allocations", n)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{4, 14, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := selection.New(selection.FailureDomain("1"), selection.WithRandom(rand.New(rand.NewPCG(1, 1))))
			all := candidates(n)

			for b.Loop() {
				c, _ := s.Pick(service, all, selection.Need{})
				s.Start(service, c.ID, settings.ClassInteractive).End(selection.Outcome{Load: call.Load{Slots: slots}})
			}
		})
	}
}
