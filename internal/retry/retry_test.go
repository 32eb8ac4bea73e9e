package retry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/retry"
	"github.com/pollencart/pollencart/internal/upstream"
	"github.com/pollencart/pollencart/pkg/settings"
)

func newCall(attempts int) call.Call {
	return call.Call{
		Route: "midlands/browse/open-folder", Idempotent: true,
		Values: &settings.Values{Attempts: attempts, RetryBudget: 0.1},
	}
}

func notRun() error { return call.Refuse(upstream.ErrUnreached, call.RanNo, time.Second) }

func unknown() error { return call.Refuse(upstream.ErrNoAnswer, call.RanUnknown, time.Second) }

// send makes attempts until the budget allows no other one and returns how many it made.
func send(ctx context.Context, b *retry.Budget, c call.Call, try func(call.Call) error) int {
	for n := 1; ; n++ {
		err := try(c.WithAttempt(max(c.Attempt, 1) + n - 1))
		if err == nil {
			b.Answered(c.Route, c.Values.RetryBudget)

			return n
		}

		if !b.Allow(ctx, c, n, err) {
			return n
		}
	}
}

// All backend servers of a service are down. Unbounded retries would double the load on
// them while they come back.
func TestFullOutageAddsFewRetries(t *testing.T) {
	b := retry.New()
	attempts := 0

	for range 1000 {
		send(t.Context(), b, newCall(2), func(call.Call) error { return nil })
	}

	const calls = 1000
	for range calls {
		attempts += send(t.Context(), b, newCall(3), func(call.Call) error { return notRun() })
	}

	assert.Assert(t, float64(attempts) <= 1.1*calls, "%d attempts of %d calls", attempts, calls)
}

// Some calls fail before they run, as when one of several backend servers terminates.
// Retries must cover all of them.
func TestPartialFailureIsRetried(t *testing.T) {
	b := retry.New()
	lost := 0

	for n := range 1000 {
		tries := 0
		send(t.Context(), b, newCall(2), func(call.Call) error {
			tries++
			if n%20 == 0 && tries == 1 {
				return notRun()
			}

			return nil
		})

		if n%20 == 0 && tries == 1 {
			lost++
		}
	}

	assert.Equal(t, lost, 0)
}

// A call goes through twelve layers, each of which makes two attempts. If every layer
// retried, the lowest would be called 4,096 times.
func TestChainOfTwelveLayersRetriesInOneLayer(t *testing.T) {
	const depth = 12

	lowest := 0

	// Each layer is a node with its own full budget.
	var layer func(level, attempt int) error

	layer = func(level, attempt int) error {
		if level == depth {
			lowest++

			return unknown()
		}

		b := retry.New()
		c := newCall(2).WithAttempt(attempt)

		var last error

		send(t.Context(), b, c, func(c call.Call) error {
			last = layer(level+1, c.Attempt)

			return last
		})

		return last
	}

	_ = layer(0, 0)

	t.Logf("%d calls of the lowest layer", lowest)
	assert.Assert(t, lowest <= depth+1, "%d", lowest)
}

func TestWhichFailedCallsAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		write := newCall(3)
		write.Idempotent = false

		shortCtx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()

		canceledCtx, cancelCall := context.WithCancel(t.Context())
		cancelCall()

		noBudget := newCall(3)
		noBudget.Values = &settings.Values{Attempts: 3}

		draining := call.Refuse(admission.ErrClosed, call.RanNo, 0).WithLoad(call.Load{Leaving: true})

		for _, c := range []struct {
			name    string
			ctx     context.Context
			call    call.Call
			n       int
			err     error
			retried bool
		}{
			{"an idempotent call without an answer", t.Context(), newCall(3), 1, unknown(), true},
			{"an upload that certainly did not run", t.Context(), write, 1, notRun(), true},
			{"an upload without an answer", t.Context(), write, 1, unknown(), false},
			{"the last attempt", t.Context(), newCall(3), 3, notRun(), false},
			{"a layer above retries", t.Context(), newCall(3).WithAttempt(2), 1, notRun(), false},
			{"no time left", shortCtx, newCall(3), 1, notRun(), false},
			{"the caller canceled", canceledCtx, newCall(3), 1, notRun(), false},
			{"over its share", t.Context(), newCall(3), 1, call.Refuse(admission.ErrShare, call.RanNo, 0), false},
			{"no budget", t.Context(), noBudget, 1, notRun(), false},
			{"no budget, but the gate is draining", t.Context(), noBudget, 1, draining, true},
		} {
			assert.Equal(t, retry.New().Allow(c.ctx, c.call, c.n, c.err), c.retried, c.name)
		}
	})
}
