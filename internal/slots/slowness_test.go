package slots_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/slots"
)

// newStatedQueue returns a queue that has learned calls of 100 ms on a host that states a slowness
// of 1.
func newStatedQueue(t *testing.T) *slots.Queue {
	t.Helper()

	q := slots.New()
	q.Resize(4)

	for range 32 {
		q.SetSlowness(1)
		assert.NilError(t, enter(q, 400*ms, true, 100*ms))
	}

	return q
}

func enter(q *slots.Queue, target time.Duration, elsewhere bool, took time.Duration) error {
	return enterAs(q, slots.Work{Elsewhere: elsewhere}, target, took)
}

func enterAs(q *slots.Queue, w slots.Work, target, took time.Duration) error {
	now := time.Now()
	w.Route, w.Target, w.Deadline = "tile", now.Add(target), now.Add(4*target)

	s, err := q.Enter(context.Background(), w)
	if err == nil {
		time.Sleep(took)
		s.Leave(took)
	}

	return err
}

// A call takes a free slot on a host that is slow at this moment and is late, though another node
// could run it in time.
func TestCallLeavesSlowHost(t *testing.T) {
	for _, test := range []struct {
		name      string
		slowness  float64
		age       time.Duration
		target    time.Duration
		elsewhere bool
		want      error
	}{
		{"usual", 1, 0, 200 * ms, true, nil},
		{"late", 2.5, 0, 200 * ms, true, slots.ErrElsewhere},
		{"late after 0.1 s", 2.5, 100 * ms, 200 * ms, true, slots.ErrElsewhere},
		{"forgotten after 0.6 s", 2.5, 600 * ms, 200 * ms, true, nil},
		{"in time", 2.5, 0, 300 * ms, true, nil},
		{"nowhere else", 2.5, 0, 200 * ms, false, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newStatedQueue(t)
				q.SetSlowness(test.slowness)
				time.Sleep(test.age)

				assert.ErrorIs(t, enter(q, test.target, test.elsewhere, 100*ms), test.want)
			})
		})
	}
}

// Calls leave a slow host that others would need: near capacity they find no room elsewhere, while the
// slots they left stay free.
func TestCallStaysOnSlowHostInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newStatedQueue(t)

		for range 2 {
			go func() { assert.Check(t, enter(q, time.Second, false, 300*ms) == nil) }()
		}

		synctest.Wait()
		q.SetSlowness(2.5)
		assert.NilError(t, enter(q, 200*ms, true, 300*ms))
		synctest.Wait()
	})
}

// A nested call runs on a host that is slow at this moment, and the call that waits for it is late.
func TestNestedCallLeavesSlowHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newStatedQueue(t)
		q.SetSlowness(1.1)
		assert.NilError(t, enterAs(q, slots.Work{Elsewhere: true, Nested: true}, time.Second, 100*ms))
		q.SetSlowness(2.5)
		assert.ErrorIs(t, enterAs(q, slots.Work{Elsewhere: true, Nested: true}, time.Second, 100*ms), slots.ErrElsewhere)
		assert.NilError(t, enterAs(q, slots.Work{Nested: true}, time.Second, 100*ms))
	})
}

// Calls of a slow moment are taken for the speed of the host, or a host that stays slow is
// never believed.
func TestSlowMomentIsNotLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newStatedQueue(t)
		work := slots.Work{Route: "tile"}

		for range 4 {
			q.SetSlowness(2.5)
			assert.Equal(t, q.EstimateWait(work, 0), 150*ms)

			s, err := q.Enter(context.Background(), slots.Work{Route: "tile", Target: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second)})
			assert.NilError(t, err)
			time.Sleep(250 * ms)
			q.SetSlowness(2.5)
			assert.Equal(t, s.AtUsualSpeed(250*ms), 100*ms)
			s.Leave(250 * ms)
		}

		for range 32 {
			q.SetSlowness(2.5)
			assert.NilError(t, enter(q, time.Second, false, 250*ms))
		}

		assert.Equal(t, q.Slowness().Usual, 2.5)
		assert.Assert(t, q.EstimateWait(work, 0) < ms)
	})
}
