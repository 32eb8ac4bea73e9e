package pacing_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/pacing"
)

var seeds = flag.Uint64("seeds", 300, "number of random runs")

const (
	window = 4 * time.Second
	tick   = 2 * time.Millisecond
	length = 30 * time.Second
)

// mostInWindow returns the largest number of starts in any window.
func mostInWindow(starts []time.Time) int {
	most, begin := 0, 0

	for i, at := range starts {
		for at.Sub(starts[begin]) > window {
			begin++
		}

		most = max(most, i-begin+1)
	}

	return most
}

// play starts calls whenever the pacer allows it, with idle times and stalls of the process in between.
// It restarts the process the given number of times.
func play(r *rand.Rand, limit float64, restarts int, busy bool) []time.Time {
	var starts []time.Time

	now := time.Unix(0, 0)
	end := now.Add(length)
	p := pacing.New()
	p.Limit(limit, now)

	for now.Before(end) {
		for p.Wait(1, now) == 0 {
			p.Start(now)
			starts = append(starts, now)
		}

		now = now.Add(tick)

		if !busy && r.IntN(500) == 0 {
			now = now.Add(time.Duration(r.Int64N(int64(window))))
		}

		if restarts > 0 && r.IntN(1000) == 0 {
			restarts--
			p = pacing.New()
			p.Limit(limit, now)
		}
	}

	return starts
}

// An allowance saved up while idle, or by a stalled process, lets a burst exceed the limit.
func TestStartsInAnyWindowKeepTheLimit(t *testing.T) {
	for seed := range *seeds {
		r := rand.New(rand.NewPCG(seed, seed))
		limit := r.Float64() * 40
		most := mostInWindow(play(r, limit, 0, false))
		allowed := int(max(limit, pacing.MinRate)*(window+pacing.BurstTime+tick).Seconds()) + 1

		assert.Check(t, most <= allowed, "seed %d: %d starts of %d at %f a second", seed, most, allowed, limit)
	}
}

// A restarted process that begins with a full allowance doubles the calls in a window.
func TestStartsInAnyWindowKeepTheLimitOverRestarts(t *testing.T) {
	for seed := range *seeds {
		r := rand.New(rand.NewPCG(seed, seed))
		limit := r.Float64() * 40
		most := mostInWindow(play(r, limit, 5, true))
		allowed := int(1.5*limit*window.Seconds()) + 5

		assert.Check(t, most <= allowed, "seed %d: %d starts of %d at %f a second", seed, most, allowed, limit)
	}
}

// A limit that is kept but not used wastes the backend server.
func TestLimitIsUsedWhileCallsWait(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 8.2, 12.1, 40, 300} {
		starts := play(rand.New(rand.NewPCG(1, 1)), limit, 0, true)
		used := float64(len(starts)) / length.Seconds()

		t.Logf("limit %g a second: used %.2f, most in %s %d", limit, used, window, mostInWindow(starts))
		assert.Check(t, used >= 0.9*limit, "%f of %f", used, limit)
	}
}

// A limit of 0 without any call would last for ever.
func TestLimitOfZeroAllowsATrialCall(t *testing.T) {
	p := pacing.New()
	now := time.Unix(0, 0)
	p.Limit(0, now)
	assert.Equal(t, p.Wait(1, now), time.Duration(1/pacing.MinRate*float64(time.Second)))
	assert.Equal(t, p.Wait(1, now.Add(2*time.Second)), time.Duration(0))
}

// A limit that falls leaves what was allowed before it.
func TestUsedAllowanceStaysUsedWhenTheLimitChanges(t *testing.T) {
	p := pacing.New()
	now := time.Unix(0, 0)
	p.Limit(100, now)
	assert.Equal(t, p.Wait(1, now), 10*time.Millisecond)

	now = now.Add(time.Second)
	for p.Wait(1, now) == 0 {
		p.Start(now)
	}

	p.Limit(1, now)
	assert.Assert(t, p.Wait(1, now) > time.Second, "%s", p.Wait(1, now))

	_, since, started, ok := p.Limited()
	assert.Assert(t, ok)
	assert.Equal(t, since, time.Unix(0, 0))
	assert.Equal(t, started, 26)

	p.Unlimit()
	assert.Equal(t, p.Wait(1, now), time.Duration(0))
}
