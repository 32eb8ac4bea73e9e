package slots_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/slots"
)

// warmShares runs calls of two workspaces one after the other, mostly of "a", and then many of "hot".
// They take 100 ms, more or less.
func warmShares(q *slots.Queue) {
	count := 0
	run := func(workspace string) {
		s, err := q.Enter(context.Background(), slots.Work{
			Route: "status", Target: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute), Workspace: workspace,
		})
		if err == nil {
			count++
			took := time.Duration(60+count%2*80) * ms

			time.Sleep(took)
			s.Leave(took)
		}
	}

	for range 40 {
		for _, workspace := range []string{"a", "a", "a", "a", "hot"} {
			run(workspace)
		}
	}

	for range 40 {
		run("hot")
	}
}

// startOrder lets calls wait behind a running one and returns the names in the order of their start.
func startOrder(t *testing.T, q *slots.Queue, waiting map[string]slots.Work) []string {
	t.Helper()

	hold, err := q.Enter(context.Background(), slots.Work{Target: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute)})
	assert.NilError(t, err)

	var wg sync.WaitGroup
	defer wg.Wait()

	started := make(chan string, len(waiting))

	for name, w := range waiting {
		wg.Go(func() {
			s, err := q.Enter(context.Background(), w)
			assert.Check(t, err)

			started <- name
			time.Sleep(100 * ms)
			s.Leave(100 * ms)
		})
	}

	synctest.Wait()
	hold.Leave(0)

	var order []string
	for range waiting {
		order = append(order, <-started)
	}

	return order
}

// A hot workspace's call has the earlier deadline and would go first.
func TestCallsOfHotWorkspaceGoAfterOthersOfTheirRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1)
		warmShares(q)

		now := time.Now()
		order := startOrder(t, q, map[string]slots.Work{
			"hot":    {Route: "status", Rank: 1, Target: now.Add(10 * time.Second), Deadline: now.Add(20 * time.Second), Workspace: "hot"},
			"other":  {Route: "status", Rank: 1, Target: now.Add(11 * time.Second), Deadline: now.Add(20 * time.Second), Workspace: "a"},
			"none":   {Route: "status", Rank: 1, Target: now.Add(12 * time.Second), Deadline: now.Add(20 * time.Second)},
			"later":  {Route: "status", Rank: 2, Target: now.Add(5 * time.Second), Deadline: now.Add(20 * time.Second), Workspace: "a"},
			"nested": {Route: "check", Rank: 2, Target: now.Add(20 * time.Second), Deadline: now.Add(20 * time.Second), Workspace: "hot", Nested: true},
		})

		assert.DeepEqual(t, order, []string{"nested", "other", "none", "hot", "later"})
		assert.Equal(t, q.PassedOver(), 2)
	})
}

// Calls without a workspace must be ordered as in a queue that knows no workspaces.
func TestCallsWithoutWorkspaceKeepTheirOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1)
		warmShares(q)

		now := time.Now()
		work := func(rank int, target time.Duration) slots.Work {
			return slots.Work{Route: "status", Rank: rank, Target: now.Add(target), Deadline: now.Add(20 * time.Second)}
		}
		order := startOrder(t, q, map[string]slots.Work{
			"first": work(1, 5*time.Second), "second": work(1, 6*time.Second), "third": work(2, 2*time.Second), "fourth": work(2, 3*time.Second),
		})

		assert.DeepEqual(t, order, []string{"first", "second", "third", "fourth"})
		assert.Equal(t, q.PassedOver(), 0)
	})
}

// A workspace that is above its share still gets every slot that nobody else wants.
func TestHotWorkspaceUsesSlotsThatNobodyElseWants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(2)
		warmShares(q)

		start := time.Now()
		w := slots.Work{Route: "status", Target: start.Add(10 * time.Second), Deadline: start.Add(20 * time.Second), Workspace: "hot"}

		var took []time.Duration

		done := make(chan time.Duration)

		for range 6 {
			go func() {
				s, err := q.Enter(context.Background(), w)
				assert.Check(t, err)
				time.Sleep(100 * ms)
				s.Leave(100 * ms)
				done <- time.Since(start)
			}()
		}

		for range 6 {
			took = append(took, <-done)
		}

		assert.Equal(t, slices.Max(took), 300*ms)
	})
}

// A full queue refuses the call of a hot workspace, though it would start before the new one without
// shares.
func TestCallOfHotWorkspaceIsReplacedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1)
		warmShares(q)

		hold, err := q.Enter(context.Background(), slots.Work{Route: "status", Deadline: time.Now().Add(time.Minute)})
		assert.NilError(t, err)

		enter := func(workspace string, target time.Duration) <-chan error {
			done, now := make(chan error, 1), time.Now()
			w := slots.Work{Route: "status", Target: now.Add(target), Deadline: now.Add(5 * time.Second), Workspace: workspace}

			go func() {
				s, err := q.Enter(context.Background(), w)
				if err == nil {
					s.Leave(0)
				}
				done <- err
			}()

			synctest.Wait()

			return done
		}

		hot := enter("hot", 234*ms)

		time.Sleep(100 * ms)

		other := enter("a", 132*ms)
		assert.ErrorIs(t, <-hot, slots.ErrTooLate)
		hold.Leave(0)
		assert.NilError(t, <-other)
		assert.Equal(t, q.PassedOver(), 1)
	})
}
