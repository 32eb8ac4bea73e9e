package backend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A backend server closes connections that were idle for the time that it states. A
// call sent in that moment is reset, and nobody knows whether it ran. So connections
// are given up well before, and a call that must not run twice takes none that was
// idle for long.
func TestIdleConnectionsAreGivenUpInTime(t *testing.T) {
	for _, c := range []struct {
		idle       time.Duration
		idempotent bool
		used       bool
	}{
		{time.Second, false, true},
		{3 * time.Second, false, false},
		{3 * time.Second, true, true},
		{8 * time.Second, true, false},
	} {
		kept := &conn{keep: defaultIdle}
		kept.learnKeep("timeout=10, max=100")
		assert.Equal(t, kept.keep, 7*time.Second)
		assert.Equal(t, kept.fresh(c.idle, c.idempotent), c.used, "%v", c)
	}
}
