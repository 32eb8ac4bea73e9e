package soak_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/soak"
)

func schedule(t *testing.T, seed uint64) string {
	t.Helper()

	d, err := harness.LoadDeployment("../../examples/midlands/deployment.jsonc")
	assert.NilError(t, err)

	hosts, err := d.Hosts()
	assert.NilError(t, err)

	return soak.Print(soak.Schedule(seed, 2, soak.Lengths{
		Random: 10 * time.Second, Planned: 5 * time.Second, Gap: time.Second,
	}, d, hosts))
}

// A seed that found a fault must play the same faults a year later; the golden
// file notices a change of the generator.
func TestScheduleIsMadeFromTheSeedAlone(t *testing.T) {
	golden.Assert(t, schedule(t, 1), "schedule-1.golden")
	assert.Assert(t, schedule(t, 2) != schedule(t, 1))
}
