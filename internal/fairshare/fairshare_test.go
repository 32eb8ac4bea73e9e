package fairshare_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/fairshare"
)

// use charges calls of 100 ms for the given seconds: the number of calls a second by workspace.
func use(s *fairshare.Shares, now time.Time, seconds int, calls map[string]int) time.Time {
	const slotTime = 100 * time.Millisecond

	for range seconds {
		now = now.Add(time.Second)

		for name, count := range calls {
			for range count {
				s.Charge(name, slotTime, now)
				s.Record(name, true)
			}
		}
	}

	return now
}

// A large workspace that keeps to its usual must not pay for its size.
func TestLargeWorkspaceThatKeepsToItsUsualIsNotAbove(t *testing.T) {
	s := fairshare.New(10)
	now := use(s, time.Unix(0, 0), 60, map[string]int{"large": 100, "small": 2})

	assert.Assert(t, !s.Above("large", 1, now))
	assert.Assert(t, !s.Above("small", 1, now))
	assert.Assert(t, s.Share("large", now) > 0.97)
}

// A workspace that sends seven times its usual takes the slots of the others.
func TestHotWorkspaceIsAbove(t *testing.T) {
	s := fairshare.New(10)
	now := use(s, time.Unix(0, 0), 60, map[string]int{"a": 100, "hot": 10, "small": 2})
	now = use(s, now, 3, map[string]int{"a": 100, "hot": 70, "small": 2})

	assert.Assert(t, s.Above("hot", 1, now))
	assert.Assert(t, !s.Above("a", 1, now))
	assert.Assert(t, !s.Above("small", 1, now))

	now = use(s, now, 10, map[string]int{"a": 100, "hot": 10, "small": 2})
	assert.Assert(t, !s.Above("hot", 1, now))
}

// All send three times their usual, as when demand moves to another failure domain.
func TestNobodyIsAboveWhenAllSendMore(t *testing.T) {
	s := fairshare.New(10)
	now := use(s, time.Unix(0, 0), 60, map[string]int{"a": 30, "b": 10, "c": 1})
	now = use(s, now, 3, map[string]int{"a": 90, "b": 30, "c": 3})

	for _, name := range []string{"a", "b", "c"} {
		assert.Assert(t, !s.Above(name, 1, now), name)
	}
}

// A hot workspace must not be held back until nothing of it is served.
func TestStarvedWorkspaceIsNotHeldBack(t *testing.T) {
	s := fairshare.New(10)
	now := use(s, time.Unix(0, 0), 60, map[string]int{"a": 100, "hot": 10})
	now = use(s, now, 3, map[string]int{"a": 100, "hot": 70})
	assert.Assert(t, s.Above("hot", 0.8, now))

	for range 32 {
		s.Record("hot", false)
	}

	assert.Assert(t, !s.Above("hot", 0.8, now))
}

// The share of a workspace that sends nothing must pass to those that use its slot time.
func TestShareOfSilentWorkspaceEnds(t *testing.T) {
	s := fairshare.New(10)
	now := use(s, time.Unix(0, 0), 60, map[string]int{"a": 50, "silent": 50})
	now = use(s, now, 60, map[string]int{"a": 100})

	assert.Assert(t, !s.Above("a", 1, now))
	assert.Assert(t, s.Share("a", now) > 0.99)
}

// Names of workspaces change for months, and memory must not grow.
func TestMemoryIsBounded(t *testing.T) {
	s := fairshare.New(100)
	now := time.Unix(0, 0)

	for i := range 10_000 {
		s.Charge(strconv.Itoa(i), time.Millisecond, now)
	}

	assert.Equal(t, s.Len(), 100)
	assert.Assert(t, !s.Above("9999", 1, now))

	now = now.Add(time.Hour)
	s.Charge("new", time.Millisecond, now)
	assert.Equal(t, s.Len(), 1)
}

// A call that ends sooner than expected must not leave use below zero.
func TestUseStaysAboveZero(t *testing.T) {
	s := fairshare.New(10)
	now := time.Unix(0, 0)
	s.Charge("a", time.Second, now)
	s.Charge("a", -time.Minute, now)
	assert.Equal(t, s.Share("a", now), 0.0)
	assert.Assert(t, !s.Above("a", 1, now))
}

func BenchmarkAbove(b *testing.B) {
	s := fairshare.New(100)
	now := use(s, time.Unix(0, 0), 5, map[string]int{"a": 5, "b": 5})

	b.ReportAllocs()

	for b.Loop() {
		now = now.Add(time.Millisecond)
		s.Above("a", 1, now)
	}
}
