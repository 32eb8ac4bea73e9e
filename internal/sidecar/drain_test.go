package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// runDrain runs a drain with callers that wait for their last responses for some time, and calls from
// other nodes that run for some time after the gate is closed. It returns when the gate was closed,
// when the drain ended, and what it left unfinished.
func runDrain(callers, peerCalls time.Duration) (gateClosed, ended time.Duration, unfinished remainder) {
	start := time.Now()

	within := func(d time.Duration) int {
		if time.Since(start) < d {
			return 1
		}

		return 0
	}

	unfinished = drainSequence{
		grace:    6 * time.Second,
		callers:  func() int { return within(callers) },
		running:  func() int { return 0 },
		inFlight: func() int { return within(gateClosed + peerCalls) },
		retire:   func() {}, withdraw: func() {}, report: func(string) {}, closeIntake: func() {}, limitIntake: func(time.Time) {},
		closeGate: func() { gateClosed = time.Since(start) },
	}.run()

	return gateClosed, time.Since(start), unfinished
}

// Rejecting calls from other nodes while callers still wait for responses leaves a running backend
// server idle, and other nodes without it.
func TestDrainAcceptsPeerCallsWhileCallersWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gateClosed, ended, unfinished := runDrain(2700*time.Millisecond, 100*time.Millisecond)
		assert.Assert(t, gateClosed >= 2800*time.Millisecond, "%s", gateClosed)
		assert.Assert(t, ended < 3100*time.Millisecond, "%s", ended)
		assert.Equal(t, unfinished, remainder{})
	})
}

// A caller waits long for its last response. Calls from other nodes that start meanwhile must still
// end within the grace time, so the gate closes before that response.
func TestDrainBoundsTimeForPeerCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gateClosed, ended, unfinished := runDrain(4*time.Second, 100*time.Millisecond)
		assert.Assert(t, gateClosed < 3100*time.Millisecond, "%s", gateClosed)
		assert.Assert(t, ended < 4100*time.Millisecond, "%s", ended)
		assert.Equal(t, unfinished, remainder{})
	})
}

// A call never ends. The drain ends before the process is killed, and reports the unfinished call and
// connection, which explains the closed connection to the caller.
func TestDrainEndsWithinGraceTimeDespiteEndlessCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ended, unfinished := runDrain(time.Minute, time.Minute)
		assert.Assert(t, ended < 6*time.Second, "%s", ended)
		assert.Equal(t, unfinished, remainder{callers: 1, inFlight: 1})
	})
}

// runEndlessDrain runs a drain whose calls never end. It returns when the intake was limited, when the
// drain ended, and the end that the intake was limited to.
func runEndlessDrain(grace time.Duration) (bounded, ended, end time.Duration) {
	start := time.Now()
	nothing := func() {}

	drainSequence{
		grace: grace, callers: func() int { return 1 }, running: func() int { return 1 }, inFlight: func() int { return 1 },
		retire: nothing, withdraw: nothing, closeGate: nothing, closeIntake: nothing, report: func(string) {},
		limitIntake: func(at time.Time) { bounded, end = time.Since(start), at.Sub(start) },
	}.run()

	return bounded, time.Since(start), end
}

// A drain with a short grace time must end before the process is killed.
func TestDrainEndsWithinShortGraceTime(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			_, ended, end := runEndlessDrain(grace)
			after := drainSequence{grace: grace}.scale(max(leaveTimeout, finalResponseTimeout))

			assert.Check(t, ended-end <= pollInterval, "%s", ended)
			assert.Check(t, ended+after < grace, "%s", ended)
		})
	}
}

// A call that may outlast the drain must not be accepted late in it.
func TestDrainLimitsCallDurationWithinThreeSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bounded, _, _ := runEndlessDrain(6 * time.Second)
		assert.Check(t, bounded <= 3*time.Second, "%s", bounded)
	})
}
