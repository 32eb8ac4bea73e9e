package admission_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/pkg/settings"
)

// workload describes calls of one kind that arrive at random times at a fixed mean rate,
// independent of answers.
type workload struct {
	name        string
	class       settings.Class
	caller      string
	rate        float64
	serviceTime time.Duration
	deadline    time.Duration
	queue       int
}

// results counts the outcomes of a workload's calls.
type results struct {
	sent, inTime, late int
	rejected           map[error]int
	rejectedAfter      []time.Duration // time until rejection
	answeredAfter      []time.Duration // time until the answer
}

func (r *results) successRate() float64 { return float64(r.inTime) / float64(max(r.sent, 1)) }

// slotUsage returns the share of all slot time that answered calls used.
func slotUsage(r *results, serviceTime, d time.Duration) float64 {
	return float64(r.inTime) * serviceTime.Seconds() / (slots * d.Seconds())
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}

	slices.Sort(all)

	return all[int(q*float64(len(all)-1))]
}

// runLoad sends the workloads to a queue for the given time of the synctest clock.
func runLoad(t *testing.T, q *admission.Queue, d time.Duration, workloads ...workload) map[string]*results {
	t.Helper()

	var (
		mu  sync.Mutex
		wg  sync.WaitGroup
		out = map[string]*results{}
	)

	for i, s := range workloads {
		r := &results{rejected: map[error]int{}}
		out[s.name] = r
		random := rand.New(rand.NewPCG(1, uint64(i)))
		end := time.Now().Add(d)

		wg.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(random.ExpFloat64() / s.rate * float64(time.Second)))

				r.sent++

				wg.Go(func() { runCall(t.Context(), q, s, r, &mu) })
			}
		})
	}

	wg.Wait()

	return out
}

func runCall(ctx context.Context, q *admission.Queue, s workload, r *results, mu *sync.Mutex) {
	ctx, cancel := context.WithTimeout(ctx, s.deadline)
	defer cancel()

	start := time.Now()

	release, err := q.Admit(ctx, admission.Request{Class: s.class, Caller: s.caller, Queue: s.queue})
	if err == nil {
		time.Sleep(s.serviceTime)
		release()
	}

	mu.Lock()
	defer mu.Unlock()

	switch {
	case err != nil:
		r.rejected[err]++
		r.rejectedAfter = append(r.rejectedAfter, time.Since(start))
	case ctx.Err() != nil:
		r.late++
	default:
		r.inTime++
		r.answeredAfter = append(r.answeredAfter, time.Since(start))
	}
}

const (
	slots          = 10
	serviceTime    = 20 * time.Millisecond
	saturationRate = 500 // calls a second that use all slots
)

func interactive(name string, rate float64) workload {
	return workload{
		name: name, class: settings.ClassInteractive, caller: name, rate: rate, serviceTime: serviceTime, deadline: time.Second, queue: 64,
	}
}

func TestBurstWithinQueueLimitIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := admission.New(admission.Slots(slots), admission.ServiceTime(serviceTime))

		var wg sync.WaitGroup

		r := &results{rejected: map[error]int{}}

		var mu sync.Mutex

		for range 5 * slots {
			wg.Go(func() { runCall(t.Context(), q, interactive("desk", 0), r, &mu) })
		}

		wg.Wait()
		assert.Equal(t, r.inTime, 5*slots)
		assert.Equal(t, quantile(r.answeredAfter, 1), 5*serviceTime)
	})
}

// The load is twice the capacity. With a long queue in order of arrival, every answer comes shortly
// before its caller times out, and all callers see high latency as long as the load lasts.
func TestOverloadKeepsGoodputAndRejectsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const d = 5 * time.Second

		q := admission.New(admission.Slots(slots))
		r := runLoad(t, q, d, interactive("desk", 2*saturationRate))["desk"]
		admitted := r.inTime + r.late

		assert.Assert(t, slotUsage(r, serviceTime, d) >= 0.9, "goodput %.2f", slotUsage(r, serviceTime, d))
		assert.Assert(t, float64(r.inTime) >= 0.95*float64(admitted), "%d of %d", r.inTime, admitted)
		assert.Assert(t, quantile(r.rejectedAfter, 0.99) <= 5*time.Millisecond, "%s", quantile(r.rejectedAfter, 0.99))
		assert.Assert(t, quantile(r.answeredAfter, 0.99) <= time.Second/2, "%s", quantile(r.answeredAfter, 0.99))
	})
}

// Prints the figures of docs/design/0201-admission.md and checks that oldest first, the
// default, rejects early.
func TestOrdersOldestFirstRejectsEarly(t *testing.T) {
	const d = 5 * time.Second

	for _, o := range []struct {
		name  string
		order admission.Order
	}{
		{"oldest first", admission.OldestFirst},
		{"newest first", admission.NewestFirst},
		{"deadline first", admission.DeadlineFirst},
	} {
		synctest.Test(t, func(t *testing.T) {
			q := admission.New(admission.Slots(slots), admission.WithOrder(o.order))
			short := interactive("desk", saturationRate)
			short.deadline = 200 * time.Millisecond
			long := interactive("counter", saturationRate)
			short.queue, long.queue = 256, 256 // large enough that only the order matters
			r := runLoad(t, q, d, short, long)
			a, b := r["desk"], r["counter"]
			rejectedAfter := quantile(append(slices.Clone(a.rejectedAfter), b.rejectedAfter...), 0.99)
			t.Logf("%-14s goodput %.2f, p99 of answers %s and %s, p99 of rejections %s, late %d", o.name,
				slotUsage(a, serviceTime, d)+slotUsage(b, serviceTime, d),
				quantile(a.answeredAfter, 0.99), quantile(b.answeredAfter, 0.99), rejectedAfter, a.late+b.late)

			if o.order == admission.OldestFirst {
				assert.Assert(t, rejectedAfter <= 5*time.Millisecond)
			}
		})
	}
}

// A nightly archive sweep sends as many long calls as it can. Without reserved slots, folder opens
// wait for a sweep call to end.
func TestBackgroundLoadNeitherDelaysInteractiveCallsNorStarves(t *testing.T) {
	const d = 20 * time.Second

	sweep := workload{
		name: "sweep", class: settings.ClassBackground, caller: "sweep", rate: 200, serviceTime: 200 * time.Millisecond,
		deadline: 30 * time.Second, queue: 256,
	}

	var alone, among time.Duration

	synctest.Test(t, func(t *testing.T) {
		q := admission.New(admission.Slots(slots))
		alone = quantile(runLoad(t, q, d, interactive("desk", saturationRate/2))["desk"].answeredAfter, 0.99)
	})
	synctest.Test(t, func(t *testing.T) {
		q := admission.New(admission.Slots(slots))
		r := runLoad(t, q, d, interactive("desk", saturationRate/2), sweep)
		among = quantile(r["desk"].answeredAfter, 0.99)
		share := slotUsage(r["sweep"], sweep.serviceTime, d)
		t.Logf("p99 %s alone, %s with the sweep, which used %.2f of the slots", alone, among, share)
		assert.Assert(t, share >= 0.05, "share %.3f", share)
		assert.Assert(t, r["desk"].successRate() > 0.99)
	})
	assert.Assert(t, float64(among) <= 1.5*float64(alone), "%s and %s", alone, among)
}

// Interactive calls demand every slot all day. With strict priority a sweep never ends, and
// search misses yesterday's data.
func TestWriteAndBackgroundKeepGuaranteedShareInOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const d = 20 * time.Second

		q := admission.New(admission.Slots(slots))
		write := interactive("upload", saturationRate)
		write.class = settings.ClassWrite
		sweep := interactive("sweep", saturationRate)
		sweep.class, sweep.deadline, sweep.queue = settings.ClassBackground, 30*time.Second, 256

		r := runLoad(t, q, d, interactive("desk", 2*saturationRate), write, sweep)
		shares := fmt.Sprintf("desk %.3f upload %.3f sweep %.3f", slotUsage(r["desk"], serviceTime, d),
			slotUsage(r["upload"], serviceTime, d), slotUsage(r["sweep"], serviceTime, d))
		t.Log(shares)
		assert.Assert(t, slotUsage(r["sweep"], serviceTime, d) >= 0.05, shares)
		assert.Assert(t, slotUsage(r["upload"], serviceTime, d) >= 0.15, shares)
		assert.Assert(t, slotUsage(r["desk"], serviceTime, d) >= 0.5, shares)
	})
}

// One caller sends four fifths of all calls. The other callers need less than their share of the
// slots, but could find the queue full.
func TestHotCallerTakesOnlyItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := admission.New(admission.Slots(slots))
		workloads := []workload{interactive("hot", 4*saturationRate)}

		for i := range 5 {
			workloads = append(workloads, interactive(fmt.Sprint("caller-", i), saturationRate/10))
		}

		r := runLoad(t, q, 10*time.Second, workloads...)

		for i := range 5 {
			c := r[fmt.Sprint("caller-", i)]
			assert.Assert(t, c.successRate() > 0.95, "%.3f, rejected %v", c.successRate(), c.rejected)
		}

		assert.Assert(t, r["hot"].inTime > 0)
	})
}

// Many callers open the same folder at once, each within its share. None may starve.
func TestManyCallersShareSlotsEvenly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := admission.New(admission.Slots(slots))

		var workloads []workload
		for i := range 20 {
			workloads = append(workloads, interactive(fmt.Sprint("caller-", i), saturationRate/10))
		}

		r := runLoad(t, q, 10*time.Second, workloads...)

		var least, most float64 = 1, 0
		for _, c := range r {
			least, most = min(least, c.successRate()), max(most, c.successRate())
		}

		assert.Assert(t, least > 0.7*most, "%.2f to %.2f", least, most)
	})
}

// The backend server hangs: no call ends, so no service time is observed. Calls must not wait
// until their deadlines.
func TestHungBackendServerRejectsCallsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := admission.New(admission.Slots(slots), admission.ServiceTime(2*time.Millisecond))

		for range slots {
			_, err := q.Admit(t.Context(), admission.Request{Class: settings.ClassInteractive, Queue: 64})
			assert.NilError(t, err)
		}

		time.Sleep(20 * time.Second)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()

		start := time.Now()
		_, err := q.Admit(ctx, admission.Request{Class: settings.ClassInteractive, Queue: 64})
		assert.ErrorIs(t, err, admission.ErrWait)
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Assert(t, q.RetryAfter() >= 100*time.Millisecond)
	})
}

// A caller cancels while its call waits. The call must be removed and must not run.
func TestCanceledCallIsRemovedFromTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := admission.New(admission.Slots(1))
		release, err := q.Admit(t.Context(), admission.Request{Queue: 4})
		assert.NilError(t, err)

		ctx, cancel := context.WithCancel(t.Context())
		result := make(chan error)

		go func() {
			_, err := q.Admit(ctx, admission.Request{Queue: 4})
			result <- err
		}()

		synctest.Wait()
		assert.Equal(t, q.Load().Queued, 1)
		cancel()
		assert.ErrorIs(t, <-result, admission.ErrCanceled)
		assert.Equal(t, q.Load().Queued, 0)
		release()
		assert.Equal(t, q.Load().InFlight, 0)
	})
}

// A node drains while calls hang at its backend server and others wait behind them. If waiting
// calls were kept until the drain ends, their connections would be cut with an unknown outcome.
// Rejected at once, they have the whole drain time to run on another node.
func TestClosedQueueRejectsWaitingCallsAndFinishesRunningOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := admission.New(admission.Slots(1))
		release, err := q.Admit(t.Context(), admission.Request{Queue: 4})
		assert.NilError(t, err)

		waited := make(chan error, len(settings.Classes()))

		for _, class := range settings.Classes() {
			go func() {
				_, err := q.Admit(t.Context(), admission.Request{Class: class, Queue: 4})
				waited <- err
			}()
		}

		synctest.Wait()
		assert.Equal(t, q.Load().Queued, len(settings.Classes()))
		q.Close()

		for range settings.Classes() {
			assert.ErrorIs(t, <-waited, admission.ErrClosed)
		}

		_, err = q.Admit(t.Context(), admission.Request{Queue: 4})
		assert.ErrorIs(t, err, admission.ErrClosed)

		assert.Equal(t, q.Load().Queued, 0)
		assert.Equal(t, q.Load().InFlight, 1)
		release()
		assert.Equal(t, q.Load().InFlight, 0)
		assert.Assert(t, q.Load().Leaving)

		q.Open()

		release, err = q.Admit(t.Context(), admission.Request{Queue: 4})
		assert.NilError(t, err)
		release()
	})
}

// A backend server with more calls than slots may shed calls or slow down for all of them.
func TestNeverMoreThanTheSlotsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := admission.New(admission.Slots(slots))
		random := rand.New(rand.NewPCG(7, 7))

		var (
			wg            sync.WaitGroup
			mu            sync.Mutex
			running, most int
		)

		for range 2000 {
			class := settings.Classes()[random.IntN(3)]
			runTime, limit := time.Duration(random.IntN(40))*time.Millisecond, time.Duration(random.IntN(300))*time.Millisecond
			time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)

			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()

				release, err := q.Admit(ctx, admission.Request{Class: class, Caller: fmt.Sprint(runTime % 7), Queue: 64})
				if err != nil {
					return
				}

				mu.Lock()
				running++
				most = max(most, running)
				mu.Unlock()
				time.Sleep(runTime)
				mu.Lock()
				running--
				mu.Unlock()
				release()
			})
		}

		wg.Wait()
		assert.Equal(t, most, slots)

		l := q.Load()
		assert.Assert(t, l.InFlight == 0 && l.Queued == 0, "%+v", l)
	})
}

func TestAdmitAllocatesAtMostTwice(t *testing.T) {
	q := admission.New(admission.Slots(slots))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)

	defer cancel()

	n := testing.AllocsPerRun(1000, func() {
		release, err := q.Admit(ctx, admission.Request{Class: settings.ClassInteractive, Caller: "desk", Queue: 64})
		if err != nil {
			t.Error(err)
		}

		release()
	})
	assert.Assert(t, n <= 2, "%.1f allocations", n)
}

func BenchmarkAdmit(b *testing.B) {
	q := admission.New(admission.Slots(slots))

	for b.Loop() {
		release, err := q.Admit(b.Context(), admission.Request{Class: settings.ClassInteractive, Caller: "desk", Queue: 64})
		if err != nil && !errors.Is(err, admission.ErrFull) {
			b.Fatal(err)
		}

		release()
	}
}
