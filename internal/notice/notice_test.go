package notice_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/internal/notice"
)

const instance = "i-1"

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

func limit(l float64) header.Signals { return header.Signals{Limited: true, Limit: l} }

func newKeeper() *notice.Keeper {
	k := notice.New()
	k.Reset(instance, 0)

	return k
}

// limitOf returns the limit in force, or -1.
func limitOf(k *notice.Keeper) float64 {
	if n := k.Current(at(10_000)); n != nil && n.Limited {
		return n.Limit
	}

	return -1
}

// An answer that was made before the limit and read after it ends or raises the limit.
func TestOlderAnswerNeitherEndsNorRaisesLimit(t *testing.T) {
	k := newKeeper()

	for _, step := range []struct {
		sent, read int
		signals    header.Signals
		limit      float64
	}{
		{0, 100, limit(8), 8},
		{50, 110, header.Signals{}, 8},                    // sent before the limit was read
		{60, 120, limit(12), 8},                           // likewise
		{70, 130, limit(4), 4},                            // a lower one counts at once
		{140, 150, limit(12), 12},                         // sent after it
		{160, 170, header.Signals{Invalid: `"many"`}, 12}, // says nothing
		{180, 190, header.Signals{}, -1},
	} {
		k.Heard(instance, at(step.sent), at(step.read), step.signals)
		assert.Equal(t, limitOf(k), step.limit, "%v", step)
	}
}

// A departure is taken back by a later answer.
func TestLeavingIsNotTakenBack(t *testing.T) {
	k := newKeeper()
	change, ok := k.Heard(instance, at(0), at(10), header.Signals{Leaving: true})
	assert.Assert(t, ok && change.After.Leaving)

	_, ok = k.Heard(instance, at(20), at(30), header.Signals{})
	assert.Assert(t, !ok)
	assert.Assert(t, k.Current(at(40)).Leaving)
}

// A limit of one instance holds for the next one at the same address.
func TestNextInstanceHasNoNotice(t *testing.T) {
	k := newKeeper()
	k.Heard(instance, at(0), at(10), header.Signals{Limited: true, Limit: 8, Leaving: true})
	k.Reset("i-2", 0)
	assert.Assert(t, k.Current(at(20)) == nil)

	k.Heard(instance, at(0), at(30), limit(8))
	k.Told(&forward.Notice{Instance: instance, Limited: true, Limit: 8}, at(40))
	assert.Assert(t, k.Current(at(50)) == nil)
}

// A start time that becomes known later loses the notice.
func TestNoticeSurvivesLearningOfTheStartTime(t *testing.T) {
	k := newKeeper()
	k.Heard(instance, at(0), at(10), limit(8))
	k.Reset(instance, 5)
	assert.Equal(t, limitOf(k), 8.0)
	k.Reset(instance, 6)
	assert.Equal(t, limitOf(k), -1.0)
}

// After a restart, what other nodes know counts only until the backend server has answered.
func TestOtherNodesAreHeardUntilTheFirstAnswer(t *testing.T) {
	told := func(l float64, ageMs int64) *forward.Notice {
		return &forward.Notice{Instance: instance, Limited: true, Limit: l, AgeMs: ageMs}
	}

	k := newKeeper()
	k.Told(told(8, 500), at(1000))
	assert.Equal(t, limitOf(k), 8.0)
	k.Told(told(12, 900), at(1010)) // older
	assert.Equal(t, limitOf(k), 8.0)
	k.Told(told(6, 100), at(1020)) // newer
	assert.Equal(t, limitOf(k), 6.0)

	k.Heard(instance, at(1030), at(1040), header.Signals{})
	assert.Equal(t, limitOf(k), -1.0)
	k.Told(told(6, 200), at(1050))
	assert.Equal(t, limitOf(k), -1.0)

	change, ok := k.Told(&forward.Notice{Instance: instance, Leaving: true}, at(1060))
	assert.Assert(t, ok && change.After.Leaving)
}
