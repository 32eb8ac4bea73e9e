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

// send makes attempts until one must not follow and returns how many it made.
func send(ctx context.Context, b *retry.Budget, c call.Call, try func(call.Call) error) int {
	for n := 1; ; n++ {
		err := try(c.WithAttempt(max(c.Attempt, 1) + n - 1))
		if err == nil {
			b.Answered(c.Route, c.Values.RetryBudget)

			return n
		}

		if !b.Again(ctx, c, n, err) {
			return n
		}
	}
}

// Every backend server of a service is down. Callers that try again at once
// would double the load on what is just coming back.
func TestAFullOutageIsNotMultiplied(t *testing.T) {
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

// One backend server of four dies. The calls that were sent to it until that is
// noticed are to be answered by the others.
func TestAPartialFailureIsCovered(t *testing.T) {
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

// A call goes through twelve layers, each of which makes two attempts. Without
// the rule that only one layer tries again the lowest is called 4,096 times.
func TestAChainOfTwelveLayersIsNotMultiplied(t *testing.T) {
	const depth = 12

	lowest := 0

	// Each layer is a node with a budget that never runs out.
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

func TestWhatIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		write := newCall(3)
		write.Idempotent = false

		hasty, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()

		gone, hangUp := context.WithCancel(t.Context())
		hangUp()

		none := newCall(3)
		none.Values = &settings.Values{Attempts: 3}

		leaving := call.Refuse(admission.ErrClosed, call.RanNo, 0).WithLoad(call.Load{Leaving: true})

		for _, c := range []struct {
			name  string
			ctx   context.Context
			call  call.Call
			n     int
			err   error
			again bool
		}{
			{"an idempotent call without an answer", t.Context(), newCall(3), 1, unknown(), true},
			{"an upload that surely did not run", t.Context(), write, 1, notRun(), true},
			{"an upload without an answer", t.Context(), write, 1, unknown(), false},
			{"the last attempt", t.Context(), newCall(3), 3, notRun(), false},
			{"a layer above tries again", t.Context(), newCall(3).WithAttempt(2), 1, notRun(), false},
			{"no time left", hasty, newCall(3), 1, notRun(), false},
			{"the caller is gone", gone, newCall(3), 1, notRun(), false},
			{"over its share", t.Context(), newCall(3), 1, call.Refuse(admission.ErrShare, call.RanNo, 0), false},
			{"no budget", t.Context(), none, 1, notRun(), false},
			{"no budget, but the gate is leaving", t.Context(), none, 1, leaving, true},
		} {
			assert.Equal(t, retry.New().Again(c.ctx, c.call, c.n, c.err), c.again, c.name)
		}
	})
}
