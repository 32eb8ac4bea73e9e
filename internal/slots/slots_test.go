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

// Calls reach busy backend servers when they can't be on time any more, and their callers
// still want the answers. They wait for a slot, as long as it can be answered at all; a look
// at once whether it is in vain would find nothing that was not known when they were let in,
// and many such looks in one bubble end the race detector.
func TestCallsThatAreLateFromTheStartWait(t *testing.T) {
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

// More calls than slots reach a backend server, which then resets connections, and
// nobody can say what ran.
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

// Twice as many calls come as the slots take. If all of them wait, all are late; so
// most of what the slots can do is still done on time, and who is turned away is
// told soon.
func TestSaturation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load := folderOpen
		load.every = load.held / 9 / 2
		g := play(newQueue(9), 10*time.Second, load)[0]

		slices.Sort(g.held)
		t.Logf("asked %d, on time %d, late %d, refused %d, half of them within %s, nine tenths within %s",
			g.asked, g.onTime, g.late, g.refused, g.held[len(g.held)/2], g.held[len(g.held)*9/10])
		assert.Assert(t, g.share() > 0.20, "%.2f", g.share())
		assert.Assert(t, float64(g.onTime+g.late) > 0.45*float64(g.asked))
		assert.Assert(t, g.held[len(g.held)*9/10] < 300*ms)
		assert.Assert(t, g.held[len(g.held)/2] < 10*ms)
	})
}

// A burst fills the queue for a moment. It is worked off, and nobody is turned away
// who could have been served.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(9)
		g := &got{}

		one(q, folderOpen, g) // the usual time is known

		var wg sync.WaitGroup
		for range 27 {
			wg.Go(func() { one(q, folderOpen, g) })
		}

		wg.Wait()
		assert.Equal(t, g.onTime, 28)
	})
}

// A sweep has long calls, searches are short and urgent. Searches wait for a slot
// that gets free, not for the sweep's queue, and the sweep is not starved by them.
func TestLongWorkAmongShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := search, sweep
		s.every, l.every = 8*ms, 35*ms // together about 1.6 times the slots

		g := play(newQueue(9), 20*time.Second, s, l)
		t.Logf("searches on time %.2f, sweep served %.2f", g[0].share(), float64(g[1].onTime+g[1].late)/float64(g[1].asked))
		assert.Assert(t, g[0].share() > 0.9)
		assert.Assert(t, float64(g[1].onTime+g[1].late) > 0.25*float64(g[1].asked))
	})
}

// All that come are more urgent than the sweep and want all slots. One start in four
// still goes to whoever has to start soonest of all.
func TestTheLeastUrgentAreNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		urgent := folderOpen
		urgent.rank, urgent.every = 0, 10*ms

		g := play(newQueue(9), 20*time.Second, urgent, sweep)
		served := float64(g[1].onTime+g[1].late) / float64(g[1].asked)
		t.Logf("urgent on time %.2f, sweep served %.2f", g[0].share(), served)
		assert.Assert(t, served > 0.25)
	})
}

// onTime plays calls of a kind that want so much of six slots, and returns the part that is
// on time.
func onTime(t *testing.T, k kind, use float64) float64 {
	t.Helper()

	const slots = 6

	k.every = time.Duration(float64(k.held) / slots / use)
	g := play(newQueue(slots), time.Minute, k)[0]

	t.Logf("%s: on time %.3f, late %.2f", k.route, g.share(), float64(g.late)/float64(g.asked))

	return g.share()
}

// Calls of one route differ in length, and 1.3 times as many come as the slots take. One
// that starts at the last moment at which a call of usual length would be on time is
// late in half of all cases, and has taken the slot of one that would have been on time.
func TestCallsThatDifferInLength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Assert(t, onTime(t, listing, 1.3) > 0.72)
		assert.Assert(t, onTime(t, export, 1.3) > 0.64)
	})
}

// The slots suffice, but not at each moment. A call that waits then is on time unless it is
// long; turned away for more time to spare, as in overload, it would have been refused with a
// slot about to get free.
func TestCallsThatDifferInLengthWhereSlotsSuffice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Assert(t, onTime(t, listing, 0.85) > 0.93)
		assert.Assert(t, onTime(t, export, 0.85) > 0.85)
	})
}

// After a restart of everything backend servers are slow for some seconds, and twice as
// many calls come as they take. No call is sure to be on time even if it starts at once.
// Starting the one that has waited longest makes all late; the newest has a chance.
func TestNoCallIsSureToBeOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const over, slots = 2, 6

		cold := listing
		cold.held = 220 * ms
		cold.every = cold.held / slots / over

		q := newQueue(slots)
		play(q, 5*time.Second, cold)
		g := play(q, 30*time.Second, cold)[0]

		slices.Sort(g.held)
		t.Logf("on time %.2f, late %.2f, half of the refusals within %s, all within %s", g.share(), float64(g.late)/float64(g.asked),
			g.held[len(g.held)/2], g.held[len(g.held)-1])
		assert.Assert(t, g.share() > 0.3)
	})
}

// Backend servers of another service check permissions here while they run calls, among
// uploads of the same rank that want all slots. A check that is turned away fails the
// call that waits for it, which has held a slot elsewhere for nothing.
func TestCallsThatRunningCallsWaitForGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upload := kind{route: "upload", rank: 1, held: 240 * ms, target: 400 * ms, deadline: 1000 * ms, every: 40 * ms, spread: 0.5}
		check := kind{route: "check", rank: 1, held: 44 * ms, target: 230 * ms, deadline: 230 * ms, every: 20 * ms, spread: 0.5, nested: true}

		g := play(newQueue(6), 20*time.Second, upload, check)
		t.Logf("uploads on time %.2f, checks %.2f", g[0].share(), g[1].share())
		assert.Assert(t, g[1].share() > 0.97)
	})
}

// The backend server turns five times slower. Callers whose calls can't end any more
// are told at once instead of at their deadline.
func TestASlowBackendServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(9)

		healthy, slow := folderOpen, folderOpen
		healthy.every, slow.every = 20*ms, 20*ms
		slow.held *= 5

		play(q, 3*time.Second, healthy)
		play(q, 2*time.Second, slow)
		g := play(q, 5*time.Second, slow)[0]

		slices.Sort(g.held)
		t.Logf("refused %d of %d, half of them within %s", g.refused, g.asked, g.held[len(g.held)/2])
		assert.Assert(t, g.held[len(g.held)/2] < 50*ms)
	})
}

// A call waits and can't end in time any more, because more urgent ones went first.
// It is turned away then, not at its deadline.
func TestNothingWaitsInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1)
		one(q, sweep, &got{}) // 300 ms is known

		s, err := q.Enter(context.Background(), slots.Work{Route: "sweep", Deadline: time.Now().Add(time.Minute)})
		assert.NilError(t, err)

		time.Sleep(290 * ms) // nearly done, as far as is known

		start := time.Now()
		_, err = q.Enter(context.Background(), slots.Work{
			Route: "sweep", Target: start.Add(500 * ms), Deadline: start.Add(1000 * ms),
		})
		assert.ErrorIs(t, err, slots.ErrTooLate)
		assert.Equal(t, time.Since(start), 700*ms)
		s.Leave(0)
	})
}

// Others can take the call in time. It is sent back at once, since asking them takes
// a millisecond and waiting here a target.
func TestACallThatWouldBeLateGoesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1)
		one(q, sweep, &got{})

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

// A queue has built up at one backend server while another near it has a slot free: entries
// know loads of a while ago. The call would be on time here, but behind the others, and all
// that come after it would wait for it too.
func TestACallThatWouldWaitLooksForAFreeSlotNearby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1)
		one(q, sweep, &got{})

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

		// A wait for one call is none to speak of.
		go enter(w)

		synctest.Wait()
		assert.Equal(t, q.Load().Waiting, 1)

		w.Target = w.Target.Add(ms)
		_, err = q.Enter(context.Background(), w)
		assert.ErrorIs(t, err, slots.ErrWaits)
		assert.Equal(t, time.Since(now), time.Duration(0))

		// Nobody else is near, and it waits.
		w.Nearby = false

		go enter(w)

		synctest.Wait()
		assert.Equal(t, q.Load().Waiting, 2)

		running.Leave(0)
		assert.NilError(t, <-done)
		assert.NilError(t, <-done)
	})
}

// A call may wait since it would be on time, and has other nodes to go to. Urgent calls
// come meanwhile and take the slots that get free. It must go elsewhere while it can be on
// time there, not wait until it can't even end before its deadline.
func TestACallThatWaitsGoesElsewhereWhileItCanBeOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const held = 100 * ms

		q := slots.New()
		q.Resize(1)

		run := func() {
			now := time.Now()
			s, err := q.Enter(context.Background(), slots.Work{Route: "lookup", Target: now.Add(time.Minute), Deadline: now.Add(time.Minute)})
			assert.Check(t, err)
			time.Sleep(held)
			s.Leave(held)
		}

		for range 20 {
			run() // the route's time is known
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
		assert.Assert(t, time.Since(began) <= 600*ms-held, "%s", time.Since(began))
	})
}

// The backend server says that it leaves while calls wait. None of them is sent to
// it any more, and all are told at once.
func TestLeavingTurnsAwayAllThatWait(t *testing.T) {
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

// A caller goes away in the moment in which its call gets a slot. The slot must not
// be lost for good.
func TestASlotOfACallerThatLeftIsGivenBack(t *testing.T) {
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
					assert.Assert(t, errors.Is(err, slots.ErrGone))
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

// BenchmarkEnter is one call through an idle queue.
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
