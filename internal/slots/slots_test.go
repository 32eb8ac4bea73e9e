package slots_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/slots"
)

// Calls that have passed their target before they arrive still wait for a slot until their
// deadline. Rechecking them immediately would find nothing new, and many such rechecks in one
// synctest bubble crash the race detector.
func TestCallsPastTheirTargetWaitForASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 200

		now := time.Now()
		late := slots.Work{Target: now.Add(-ms), Deadline: now.Add(time.Minute)}
		start := make(chan struct{})

		var wg sync.WaitGroup

		for range nodes {
			q := newQueue(1)
			running, err := q.Enter(t.Context(), late)
			assert.NilError(t, err)

			wg.Go(func() {
				<-start

				waited, err := q.Enter(t.Context(), late)
				if assert.Check(t, err) {
					assert.Check(t, time.Since(now) == time.Second)
					waited.Leave(ms)
				}
			})

			time.AfterFunc(time.Second, func() { running.Leave(ms) })
		}

		synctest.Wait()
		close(start)
		wg.Wait()
	})
}

// A backend server with more calls than slots resets connections, and it is unknown which
// calls ran.
func TestNeverMoreThanTheSlotsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(9)

		var (
			wg   sync.WaitGroup
			mu   sync.Mutex
			most int
		)

		for range 100 {
			wg.Go(func() {
				s, err := q.Enter(context.Background(), slots.Work{Target: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute)})
				assert.NilError(t, err)

				mu.Lock()
				most = max(most, q.Load().Running)
				mu.Unlock()

				time.Sleep(10 * ms)
				s.Leave(10 * ms)
			})
		}

		wg.Wait()
		assert.Equal(t, most, 9)
	})
}

// At twice the capacity, a queue that lets all calls wait makes all of them late. Most of the
// capacity must still serve calls on time, and rejections must come early.
func TestSaturatedQueueKeepsServingOnTimeAndRejectsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load := folderOpen
		load.interval = load.took / 9 / 2
		g := runLoad(newQueue(9), 10*time.Second, load)[0]

		slices.Sort(g.took)
		t.Logf("sent %d, on time %d, late %d, rejected %d, median time to rejection %s, 90th percentile %s",
			g.sent, g.onTime, g.late, g.rejected, g.took[len(g.took)/2], g.took[len(g.took)*9/10])
		assert.Assert(t, g.onTimeShare() > 0.20, "%.2f", g.onTimeShare())
		assert.Assert(t, float64(g.onTime+g.late) > 0.45*float64(g.sent))
		assert.Assert(t, g.took[len(g.took)*9/10] < 300*ms)
		assert.Assert(t, g.took[len(g.took)/2] < 10*ms)
	})
}

// A burst fills the queue for a short time. It drains without rejecting calls that can be
// served.
func TestBurstIsServedWithoutRejections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(9)
		g := &results{}

		runCall(q, folderOpen, g) // records the service time

		var wg sync.WaitGroup
		for range 27 {
			wg.Go(func() { runCall(q, folderOpen, g) })
		}

		wg.Wait()
		assert.Equal(t, g.onTime, 28)
	})
}

// Searches are short and urgent, sweep calls long. Searches get the next free slot instead of
// waiting behind queued sweep calls, and don't starve the sweep.
func TestUrgentShortCallsPassLongCallsWithoutStarvingThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := search, sweep
		s.interval, l.interval = 8*ms, 35*ms // together about 1.6 times the capacity

		g := runLoad(newQueue(9), 20*time.Second, s, l)
		t.Logf("searches on time %.2f, sweep served %.2f", g[0].onTimeShare(), float64(g[1].onTime+g[1].late)/float64(g[1].sent))
		assert.Assert(t, g[0].onTimeShare() > 0.9)
		assert.Assert(t, float64(g[1].onTime+g[1].late) > 0.25*float64(g[1].sent))
	})
}

// Urgent callers come back past their target, while less urgent calls wait that can't be on time
// either. The urgent ones must not be refused for those.
func TestLateUrgentCallsReplaceLessUrgentOnes(t *testing.T) {
	const wantServed = 0.9

	synctest.Test(t, func(t *testing.T) {
		r := runLoad(newQueue(9), 30*time.Second,
			workload{route: "search", rank: 1, took: 75 * ms, target: -ms, deadline: 400 * ms, interval: 30 * ms, spread: 0.8},
			workload{route: "sweep", rank: 2, took: 470 * ms, target: 1200 * ms, deadline: 2 * time.Second, interval: 45 * ms, spread: 0.8})
		search, sweep := r[0], r[1]
		served := float64(search.onTime+search.late) / float64(search.sent)

		t.Logf("searches: %.3f served; sweeps: %.3f on time, %.3f late", served, sweep.onTimeShare(), float64(sweep.late)/float64(sweep.sent))
		assert.Assert(t, served > wantServed)
	})
}

// Urgent calls demand all slots. One start in four still goes to the starved rank of the sweep.
func TestLeastUrgentRankIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		urgent := folderOpen
		urgent.rank, urgent.interval = 0, 10*ms

		g := runLoad(newQueue(9), 20*time.Second, urgent, sweep)
		served := float64(g[1].onTime+g[1].late) / float64(g[1].sent)
		t.Logf("urgent on time %.2f, sweep served %.2f", g[0].onTimeShare(), served)
		assert.Assert(t, served > 0.25)
	})
}

// runOnTimeShare runs a workload that demands the given multiple of six slots and returns the
// share of calls that are on time.
func runOnTimeShare(t *testing.T, w workload, load float64) float64 {
	t.Helper()

	const slots = 6

	w.interval = time.Duration(float64(w.took) / slots / load)
	g := runLoad(newQueue(slots), time.Minute, w)[0]

	t.Logf("%s: on time %.3f, late %.2f", w.route, g.onTimeShare(), float64(g.late)/float64(g.sent))

	return g.onTimeShare()
}

// Service times vary, and the load is 1.3 times the capacity. A call started at the last
// moment for the expected service time is late in half of all cases, and has taken the slot of
// a call that would have been on time.
func TestOverloadWithVaryingServiceTimesKeepsCallsOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Assert(t, runOnTimeShare(t, listing, 1.3) > 0.72)
		assert.Assert(t, runOnTimeShare(t, export, 1.3) > 0.64)
	})
}

// Capacity suffices on average, with short queues. A waiting call is on time unless it is long;
// with the larger margin for overload it would be rejected just before a slot becomes free.
func TestVaryingServiceTimesWithoutOverloadKeepCallsOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Assert(t, runOnTimeShare(t, listing, 0.85) > 0.93)
		assert.Assert(t, runOnTimeShare(t, export, 0.85) > 0.85)
	})
}

// After a full restart, backend servers are slow for some seconds while the load is twice their
// capacity, and no call is sure to be on time even if it starts at once. Starting the oldest
// call first makes all of them late; the newest may still be on time.
func TestDoubtfulCallsStartNewestFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const over, slots = 2, 6

		cold := listing
		cold.took = 220 * ms
		cold.interval = cold.took / slots / over

		q := newQueue(slots)
		runLoad(q, 5*time.Second, cold)
		g := runLoad(q, 30*time.Second, cold)[0]

		slices.Sort(g.took)
		t.Logf("on time %.2f, late %.2f, median time to rejection %s, maximum %s", g.onTimeShare(), float64(g.late)/float64(g.sent),
			g.took[len(g.took)/2], g.took[len(g.took)-1])
		assert.Assert(t, g.onTimeShare() > 0.3)
	})
}

// Running calls of another service make nested permission checks here, while uploads of the
// same rank demand all slots. Rejecting a check fails the call that waits for it and wastes
// the slot that this call holds.
func TestNestedCallsStartFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upload := workload{route: "upload", rank: 1, took: 240 * ms, target: 400 * ms, deadline: 1000 * ms, interval: 40 * ms, spread: 0.5}
		check := workload{route: "check", rank: 1, took: 44 * ms, target: 230 * ms, deadline: 230 * ms, interval: 20 * ms, spread: 0.5, nested: true}

		g := runLoad(newQueue(6), 20*time.Second, upload, check)
		t.Logf("uploads on time %.2f, checks %.2f", g[0].onTimeShare(), g[1].onTimeShare())
		assert.Assert(t, g[1].onTimeShare() > 0.97)
	})
}

// The backend server becomes five times slower. Calls that can't end in time are rejected at
// once instead of at their deadline.
func TestSlowBackendServerRejectsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(9)

		healthy, slow := folderOpen, folderOpen
		healthy.interval, slow.interval = 20*ms, 20*ms
		slow.took *= 5

		runLoad(q, 3*time.Second, healthy)
		runLoad(q, 2*time.Second, slow)
		g := runLoad(q, 5*time.Second, slow)[0]

		slices.Sort(g.took)
		t.Logf("rejected %d of %d, median time to rejection %s", g.rejected, g.sent, g.took[len(g.took)/2])
		assert.Assert(t, g.took[len(g.took)/2] < 50*ms)
	})
}

// A waiting call that can no longer end before its deadline is rejected at that moment, not at
// the deadline.
func TestWaitingCallIsRejectedOnceItCannotMeetItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1)
		runCall(q, sweep, &results{}) // records a service time of 300 ms

		s, err := q.Enter(context.Background(), slots.Work{Route: "sweep", Deadline: time.Now().Add(time.Minute)})
		assert.NilError(t, err)

		time.Sleep(290 * ms) // the running call is expected to end soon

		start := time.Now()
		_, err = q.Enter(context.Background(), slots.Work{
			Route: "sweep", Target: start.Add(500 * ms), Deadline: start.Add(1000 * ms),
		})
		assert.ErrorIs(t, err, slots.ErrTooLate)
		assert.Equal(t, time.Since(start), 700*ms)
		s.Leave(0)
	})
}

// Contacting another node takes a millisecond, waiting here would exceed the target. The call
// is rejected at once.
func TestLateCallIsRejectedAtOnceWhenAnotherNodeCanTakeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1)
		runCall(q, sweep, &results{})

		_, err := q.Enter(context.Background(), slots.Work{Route: "sweep", Deadline: time.Now().Add(time.Minute)})
		assert.NilError(t, err)

		start := time.Now()
		_, err = q.Enter(context.Background(), slots.Work{
			Route: "sweep", Target: start.Add(400 * ms), Deadline: start.Add(2000 * ms), Elsewhere: true,
		})
		assert.ErrorIs(t, err, slots.ErrElsewhere)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

// A queue has built up here while another node of the failure domain has a free slot, since
// load data of entry nodes is never current. The call would be on time here, but would delay
// all calls behind it.
func TestLongWaitIsRejectedWhenANearbyNodeMayHaveAFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1)
		runCall(q, sweep, &results{})

		now := time.Now()
		w := slots.Work{Route: "sweep", Target: now.Add(2000 * ms), Deadline: now.Add(4000 * ms), Nearby: true}

		running, err := q.Enter(context.Background(), w)
		assert.NilError(t, err)

		done := make(chan error, 2)
		enter := func(w slots.Work) {
			s, err := q.Enter(context.Background(), w)
			if err == nil {
				s.Leave(0)
			}
			done <- err
		}

		// A wait of about one service time is accepted.
		go enter(w)

		synctest.Wait()
		assert.Equal(t, q.Load().Waiting, 1)

		w.Target = w.Target.Add(ms)
		_, err = q.Enter(context.Background(), w)
		assert.ErrorIs(t, err, slots.ErrWouldWait)
		assert.Equal(t, time.Since(now), time.Duration(0))

		// Without a node in the same failure domain, the call waits.
		w.Nearby = false

		go enter(w)

		synctest.Wait()
		assert.Equal(t, q.Load().Waiting, 2)

		running.Leave(0)
		assert.NilError(t, <-done)
		assert.NilError(t, <-done)
	})
}

// A call waits because it is expected to be on time; then urgent calls take the free slots. It
// must be rejected while it can still be on time on another node.
func TestWaitingCallIsRejectedWhileAnotherNodeCanBeOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const serviceTime = 100 * ms

		q := slots.New()
		q.Resize(1)

		run := func() {
			now := time.Now()
			s, err := q.Enter(context.Background(), slots.Work{Route: "lookup", Target: now.Add(time.Minute), Deadline: now.Add(time.Minute)})
			assert.Check(t, err)
			time.Sleep(serviceTime)
			s.Leave(serviceTime)
		}

		for range 20 {
			run() // records the route's service time
		}

		var urgent sync.WaitGroup
		defer urgent.Wait()

		urgent.Go(run)
		time.AfterFunc(10*ms, func() {
			for range 20 {
				urgent.Go(run)
			}
		})
		time.Sleep(ms)

		began := time.Now()
		_, err := q.Enter(context.Background(), slots.Work{
			Route: "lookup", Rank: 1, Target: began.Add(600 * ms), Deadline: began.Add(1500 * ms), Elsewhere: true,
		})
		assert.ErrorIs(t, err, slots.ErrElsewhere)
		assert.Assert(t, time.Since(began) <= 600*ms-serviceTime, "%s", time.Since(began))
	})
}

// A draining backend server takes no calls. All waiting calls are rejected at once.
func TestResizeToZeroRejectsWaitingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1)
		w := slots.Work{Route: "a", Target: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute)}

		s, err := q.Enter(context.Background(), w)
		assert.NilError(t, err)

		errs := make(chan error, 3)
		for range 3 {
			go func() {
				_, err := q.Enter(context.Background(), w)
				errs <- err
			}()
		}

		synctest.Wait()
		q.Resize(0)

		for range 3 {
			assert.ErrorIs(t, <-errs, slots.ErrClosed)
		}

		s.Leave(0)

		_, err = q.Enter(context.Background(), w)
		assert.ErrorIs(t, err, slots.ErrClosed)
	})
}

// A caller cancels at the moment its call gets a slot. The slot must be released.
func TestSlotGrantedToACanceledCallIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1)
		w := slots.Work{Route: "a", Target: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute)}

		for range 50 {
			s, err := q.Enter(context.Background(), w)
			assert.NilError(t, err)

			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})

			go func() {
				defer close(done)

				if s, err := q.Enter(ctx, w); err == nil {
					s.Leave(0)
				} else {
					assert.Assert(t, errors.Is(err, slots.ErrCanceled))
				}
			}()

			synctest.Wait()

			go cancel()
			go s.Leave(0)

			<-done
			synctest.Wait()
			assert.Equal(t, q.Busy(), 0)
		}
	})
}

// BenchmarkEnter measures one call through an idle queue.
func BenchmarkEnter(b *testing.B) {
	q := newQueue(9)
	w := slots.Work{Route: "a", Target: time.Now().Add(time.Hour), Deadline: time.Now().Add(time.Hour)}

	b.ReportAllocs()

	for b.Loop() {
		s, err := q.Enter(context.Background(), w)
		if err != nil {
			b.Fatal(err)
		}

		s.Leave(ms)
	}
}
