package draining_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/draining"
)

func TestDrainAcceptsCallsByTheirTimeLimit(t *testing.T) {
	i := draining.New()
	now := time.Now()
	end := now.Add(time.Second)

	assert.Assert(t, i.Takes(now.Add(time.Hour)))
	assert.Assert(t, !i.Leaving())

	i.Leave()
	assert.Assert(t, i.Leaving())
	assert.Assert(t, i.Takes(now.Add(time.Hour)))

	i.LimitTo(end)
	assert.Assert(t, i.Takes(end))
	assert.Assert(t, !i.Takes(end.Add(time.Nanosecond)))

	i.Close()
	assert.Assert(t, !i.Takes(now))
}
