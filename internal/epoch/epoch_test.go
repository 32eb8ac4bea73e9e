package epoch_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/epoch"
)

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func TestFirstObservedEpochIsNoChange(t *testing.T) {
	c := epoch.New()
	changed := c.Changed()

	assert.Assert(t, c.Observe(3))
	assert.Equal(t, c.Number(), uint64(3))
	assert.Assert(t, !closed(changed))
}

func TestAnswerOfEarlierEpochIsRejected(t *testing.T) {
	c := epoch.New()
	c.Observe(3)

	changed := c.Changed()

	assert.Assert(t, c.Observe(3))
	assert.Assert(t, !c.Observe(2))
	assert.Equal(t, c.Number(), uint64(3))
	assert.Assert(t, !closed(changed))
}

func TestChangeWakesAllWaiters(t *testing.T) {
	c := epoch.New()
	c.Observe(3)

	one, other := c.Changed(), c.Changed()

	assert.Assert(t, c.Observe(4))
	assert.Assert(t, closed(one))
	assert.Assert(t, closed(other))
	assert.Assert(t, !closed(c.Changed()))
}

func TestChangeFromEpochZeroIsObserved(t *testing.T) {
	c := epoch.New()
	changed := c.Changed()

	assert.Assert(t, c.Observe(0))
	assert.Assert(t, !closed(changed))
	assert.Assert(t, c.Observe(1))
	assert.Assert(t, closed(changed))
}

func TestBeforeReturnsEpochEndedByLastChange(t *testing.T) {
	c := epoch.New()
	c.Observe(3)
	assert.Equal(t, c.Before(), uint64(0))

	c.Observe(5)
	c.Observe(4)
	assert.Equal(t, c.Before(), uint64(3))
}
