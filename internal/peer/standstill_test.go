package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A busy host stands still for a second while its calls run elsewhere. The answers are in
// its sockets when it wakes, but its timers are due first: it took all its connections for
// lost, and callers were told that nobody knows whether their uploads ran. The nodes' lines
// have none for 1.09 s, then 403 with peer.broken for calls whose gates say that they did
// not run, or ran well.
func TestTimeInWhichTheProcessStoodStillDoesNotCount(t *testing.T) {
	const standstill = 1100 * time.Millisecond

	start := int64(time.Hour)
	at := func(after time.Duration) int64 { return start + int64(after) }

	var s silence

	s.last.Store(start)
	s.asked.Store(at(askAfter))
	s.discount(at(askAfter+standstill), int64(standstill))
	assert.Equal(t, s.judge(at(askAfter+standstill)), heardOf)
	assert.Equal(t, s.judge(at(askAfter+standstill+doubtAfter)), doubtful)
	assert.Equal(t, s.judge(at(askAfter+standstill+giveUpAfter)), lost)

	// Not asked yet: what is in the socket gets the usual time.
	s.last.Store(start)
	s.asked.Store(0)
	s.discount(at(standstill), int64(standstill))
	assert.Equal(t, s.judge(at(standstill)), heardOf)
	assert.Equal(t, s.judge(at(standstill+askAfter)), quiet)
}

// A host wakes, and a new call asks on a connection before the late look at it. The time of
// the standstill was added to that question too: it lay in the future, and a connection that
// a cut had silenced was given up a second late, which its calls waited for.
func TestAQuestionAskedAfterWakingCountsFromThen(t *testing.T) {
	const standstill = 1100 * time.Millisecond

	woke := int64(time.Hour)

	var s silence

	s.last.Store(woke - int64(standstill))
	s.asked.Store(woke)
	s.discount(woke, int64(standstill))
	assert.Equal(t, s.judge(woke+int64(doubtAfter)), doubtful)
	assert.Equal(t, s.judge(woke+int64(giveUpAfter)), lost)
}

// A host that is only busy is late by some milliseconds each time. These must not add up
// until a silent connection is never given up.
func TestALateLookIsNoStandstill(t *testing.T) {
	start := int64(time.Hour)

	var s silence

	s.asked.Store(start)

	for range 100 {
		s.discount(start+int64(time.Second), int64(20*time.Millisecond))
	}

	assert.Equal(t, s.judge(start+int64(giveUpAfter)), lost)
}
