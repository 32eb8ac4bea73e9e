package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// drainTimes are the times of the steps of a drain, from its start.
type drainTimes struct {
	handedOver, left, ended time.Duration
}

// simulateDrain runs a drain with a timeout of 15 s. The calls end after the given time, the
// keys after the given time from the start of the handover.
func simulateDrain(calls, pendingKeys time.Duration) drainTimes {
	var out drainTimes

	start := time.Now()
	since := func() time.Duration { return time.Since(start) }

	drainSequence{
		timeout:           15 * time.Second,
		retireConnections: func(time.Time) {},
		gateCalls:         func() int64 { return 0 },
		close:             func() {},
		stopListening:     func() {},
		abandon:           func(context.Context) {},
		inFlight: func() int64 {
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
		pendingKeys: func() int64 {
			if since() < out.handedOver+pendingKeys {
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

// A call hangs at the backend server for longer than the DrainTimeout. Without a reserved part
// of the timeout, no key is handed over and callers that wait for keys lose their connections.
func TestDrainReservesTimeForHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := simulateDrain(time.Minute, 2*time.Second)
		assert.Equal(t, d.handedOver, 11*time.Second)
		assert.Equal(t, d.left, 13*time.Second)

		d = simulateDrain(time.Minute, time.Minute)
		assert.Equal(t, d.left, 14500*time.Millisecond)
		assert.Equal(t, d.ended, 15*time.Second)
	})
}

// A call that ends within the timeout must be answered, also after the keys are handed over.
func TestDrainWaitsForCallsAfterHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := simulateDrain(13*time.Second, time.Second)
		assert.Equal(t, d.handedOver, 11*time.Second)
		assert.Equal(t, d.left, 12*time.Second)
		assert.Equal(t, d.ended, 13500*time.Millisecond)
	})
}

// Callers' requests are rejected only once the backend server runs no call, since a running
// call may depend on calls that the backend server makes through the node.
func TestDrainAdmitsCallersWhileBackendServerRunsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct{ gateCalls, closed time.Duration }{
			{0, time.Second}, {3 * time.Second, 3 * time.Second}, {time.Minute, 11 * time.Second},
		} {
			var retired, end, closed time.Duration

			start := time.Now()
			noop := func(context.Context) {}
			none := func() int64 { return 0 }

			drainSequence{
				timeout:           15 * time.Second,
				retireConnections: func(at time.Time) { retired, end = time.Since(start), at.Sub(start) },
				gateCalls:         func() int64 { return max(0, int64(c.gateCalls-time.Since(start))) },
				close:             func() { closed = time.Since(start) },
				inFlight:          none, pendingKeys: none, handOver: noop, leave: noop, stopListening: func() {}, abandon: noop,
			}.run(context.Background())

			assert.Equal(t, retired, time.Second)
			assert.Equal(t, end, 14500*time.Millisecond)
			assert.Equal(t, closed, c.closed)
		}
	})
}

// If no call hangs, the drain ends soon after its last call and doesn't use up its timeout.
func TestDrainEndsAfterLastCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := simulateDrain(3*time.Second, 0)
		assert.Equal(t, d.handedOver, 3*time.Second)
		assert.Equal(t, d.left, 3*time.Second)
		assert.Equal(t, d.ended, 3500*time.Millisecond)
	})
}
