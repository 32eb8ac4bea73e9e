package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// played is when what happened in a stop, from its start.
type played struct {
	handedOver, left, ended time.Duration
}

// playStop plays a stop of 15 s with calls that end after some time, and with keys that
// end after some time from when no more are started.
func playStop(calls, keys time.Duration) played {
	var out played

	start := time.Now()
	since := func() time.Duration { return time.Since(start) }

	stop{
		timeout: 15 * time.Second,
		retire:  func(time.Time) {},
		runs:    func() int64 { return 0 },
		close:   func() {},
		settle:  func() {},
		abandon: func(context.Context) {},
		inside: func() int64 {
			if since() < calls {
				return 1
			}

			return 0
		},
		handOver: func(ctx context.Context) {
			if ctx.Err() == nil {
				out.handedOver = since()
			}
		},
		keys: func() int64 {
			if since() < out.handedOver+keys {
				return 1
			}

			return 0
		},
		leave: func(ctx context.Context) {
			if ctx.Err() == nil {
				out.left = since()
			}
		},
	}.run(context.Background())

	out.ended = since()

	return out
}

// A call hangs at the backend server for longer than the stop may take. Without a part of
// the time that is kept, nothing is handed over, and who waits for keys is cut off.
func TestAStopKeepsTimeToHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := playStop(time.Minute, 2*time.Second)
		assert.Equal(t, p.handedOver, 11*time.Second)
		assert.Equal(t, p.left, 13*time.Second)

		p = playStop(time.Minute, time.Minute)
		assert.Equal(t, p.left, 14500*time.Millisecond)
		assert.Equal(t, p.ended, 15*time.Second)
	})
}

// A call that ends in time must not be cut off because the keys were handed over before.
func TestAStopWaitsForCallsAfterItsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := playStop(13*time.Second, time.Second)
		assert.Equal(t, p.handedOver, 11*time.Second)
		assert.Equal(t, p.left, 12*time.Second)
		assert.Equal(t, p.ended, 13500*time.Millisecond)
	})
}

// Callers are refused only once the backend server, which may call others, runs no call.
func TestCallersAreTakenWhileTheBackendServerRunsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct{ runs, closed time.Duration }{
			{0, time.Second}, {3 * time.Second, 3 * time.Second}, {time.Minute, 11 * time.Second},
		} {
			var retired, end, closed time.Duration

			start := time.Now()
			nothing := func(context.Context) {}
			none := func() int64 { return 0 }

			stop{
				timeout: 15 * time.Second,
				retire:  func(at time.Time) { retired, end = time.Since(start), at.Sub(start) },
				runs:    func() int64 { return max(0, int64(c.runs-time.Since(start))) },
				close:   func() { closed = time.Since(start) },
				inside:  none, keys: none, handOver: nothing, leave: nothing, settle: func() {}, abandon: nothing,
			}.run(context.Background())

			assert.Equal(t, retired, time.Second)
			assert.Equal(t, end, 14500*time.Millisecond)
			assert.Equal(t, closed, c.closed)
		}
	})
}

// Nothing hangs, and the stop ends with its last call.
func TestAStopEndsWithItsLastCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := playStop(3*time.Second, 0)
		assert.Equal(t, p.handedOver, 3*time.Second)
		assert.Equal(t, p.left, 3*time.Second)
		assert.Equal(t, p.ended, 3500*time.Millisecond)
	})
}
