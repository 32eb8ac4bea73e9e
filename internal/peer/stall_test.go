package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The process stalls for a second while its calls run on other nodes. When it resumes, the
// answers are in its socket buffers, but its timers fire first: without the correction it closes
// all its connections, and callers get an unknown outcome. After a stall of 1.09 s,
// for example, 403 calls fail with peer.broken although their gates report that they did not run or
// succeeded.
func TestStallDoesNotCountAsSilence(t *testing.T) {
	const stall = 1100 * time.Millisecond

	start := int64(time.Hour)
	at := func(after time.Duration) int64 { return start + int64(after) }

	var l liveness

	l.lastRead.Store(start)
	l.pingedAt.Store(at(pingAfter))
	l.excludeStall(at(pingAfter+stall), int64(stall))
	assert.Equal(t, l.classify(at(pingAfter+stall)), stateAlive)
	assert.Equal(t, l.classify(at(pingAfter+stall+suspectAfter)), stateSuspect)
	assert.Equal(t, l.classify(at(pingAfter+stall+failAfter)), stateFailed)

	// Without an unanswered ping, data in the socket buffer gets the usual time.
	l.lastRead.Store(start)
	l.pingedAt.Store(0)
	l.excludeStall(at(stall), int64(stall))
	assert.Equal(t, l.classify(at(stall)), stateAlive)
	assert.Equal(t, l.classify(at(stall+pingAfter)), stateQuiet)
}

// After a stall, a new call pings the peer before the delayed check runs. If the stall were added
// to the time of that ping as well, it would lie in the future, and a connection silenced by a
// partition would be closed a second late, with its calls waiting.
func TestPingSentAfterStallCountsFromThen(t *testing.T) {
	const stall = 1100 * time.Millisecond

	resumed := int64(time.Hour)

	var l liveness

	l.lastRead.Store(resumed - int64(stall))
	l.pingedAt.Store(resumed)
	l.excludeStall(resumed, int64(stall))
	assert.Equal(t, l.classify(resumed+int64(suspectAfter)), stateSuspect)
	assert.Equal(t, l.classify(resumed+int64(failAfter)), stateFailed)
}

// On a busy host each check runs some milliseconds late. These delays must not add up so that a
// silent connection is never closed.
func TestSlightlyDelayedCheckIsNoStall(t *testing.T) {
	start := int64(time.Hour)

	var l liveness

	l.pingedAt.Store(start)

	for range 100 {
		l.excludeStall(start+int64(time.Second), int64(20*time.Millisecond))
	}

	assert.Equal(t, l.classify(start+int64(failAfter)), stateFailed)
}
