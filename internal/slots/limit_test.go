package slots_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/slots"
)

// short is a call that is worth nothing after a second and a half.
var short = workload{route: "short", rank: 1, took: 20 * ms, target: 500 * ms, deadline: 1500 * ms, interval: 20 * ms}

// More calls than the limit start, or fewer while calls wait.
func TestLimitIsKeptAndUsedUnderOverload(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 8.2, 12.1, 30} {
		synctest.Test(t, func(t *testing.T) {
			const length = 20 * time.Second

			q := newQueue(9)
			q.SetLimit(limit)

			r := runLoad(q, length, short)[0]
			l := q.Limit()
			used := float64(l.Started) / time.Since(l.Since).Seconds()

			t.Logf("limit %g: started %.2f a second, on time %d, late %d, rejected %d", limit, used, r.onTime, r.late, r.rejected)
			assert.Check(t, float64(l.Started) <= limit*(time.Since(l.Since).Seconds()+0.25)+1)
			assert.Check(t, used >= 0.9*limit)
			assert.Check(t, l.Rejected > 0)
		})
	}
}

// Urgent calls wait behind others for the few starts that a limit leaves.
func TestUrgentCallsStartFirstUnderLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		urgent, other := short, short
		urgent.route, urgent.rank, urgent.interval = "urgent", 0, 200*ms

		q := newQueue(9)
		q.SetLimit(8.2)

		r := runLoad(q, 20*time.Second, urgent, other)
		t.Logf("urgent on time %d of %d, others %d of %d", r[0].onTime, r[0].sent, r[1].onTime, r[1].sent)
		assert.Assert(t, r[0].onTimeShare() > 0.9)
	})
}

// Calls that wait when a limit falls to 0 wait until their deadlines pass.
func TestWaitingCallsEndInTimeWhenTheLimitFallsToZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(9)
		q.SetLimit(20)

		var (
			calls   sync.WaitGroup
			mu      sync.Mutex
			started int
			limited int
		)

		began := time.Now()

		for range 20 {
			calls.Go(func() {
				s, err := q.Enter(context.Background(), slots.Work{Route: "a", Target: began.Add(time.Second), Deadline: began.Add(time.Second)})

				mu.Lock()
				defer mu.Unlock()

				if err == nil {
					started++

					s.Leave(20 * ms)
				} else if errors.Is(err, slots.ErrLimited) {
					limited++
				}
			})
		}

		time.Sleep(100 * ms)
		q.SetLimit(0)
		calls.Wait()

		t.Logf("started %d, limited %d after %s", started, limited, time.Since(began))
		assert.Assert(t, started <= 3)
		assert.Assert(t, limited > 0)
		assert.Assert(t, time.Since(began) <= time.Second)

		_, err := q.Enter(context.Background(), slots.Work{Route: "a", Target: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second)})
		assert.ErrorIs(t, err, slots.ErrLimited)
	})
}

// Calls that wait for the pace go on waiting after the limit has ended.
func TestWaitingCallsStartWhenTheLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(9)
		q.SetLimit(1)

		var calls sync.WaitGroup

		began := time.Now()

		for range 3 {
			calls.Go(func() {
				s, err := q.Enter(context.Background(), slots.Work{Route: "a", Target: began.Add(time.Minute), Deadline: began.Add(time.Minute)})
				assert.Check(t, err)
				s.Leave(20 * ms)
			})
		}

		time.Sleep(100 * ms)
		q.ClearLimit()
		calls.Wait()
		assert.Equal(t, time.Since(began), 100*ms)
		assert.Assert(t, !q.Limit().Limited)
	})
}

// Callers that a limit turned away come back at the same moment.
func TestRetryAfterIsSpreadOutUnderLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(9)
		q.SetLimit(2)

		seen := map[time.Duration]bool{}
		for range 20 {
			seen[q.RetryAfter(slots.Work{Route: "a"})] = true
		}

		assert.Assert(t, len(seen) > 10, "%d", len(seen))
	})
}
