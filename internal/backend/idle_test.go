package backend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A backend server closes connections after its Keep-Alive timeout. A call sent at that
// moment is reset, and it is unknown whether it ran. So a connection is not reused near the
// timeout, and non-idempotent calls have a shorter limit.
func TestIdleConnectionIsNotReusedPastItsIdleLimit(t *testing.T) {
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
		idleConn := &conn{idleLimit: defaultIdleLimit}
		idleConn.updateIdleLimit("timeout=10, max=100")
		assert.Equal(t, idleConn.idleLimit, 7*time.Second)
		assert.Equal(t, idleConn.reusableAfter(c.idle, c.idempotent), c.used, "%v", c)
	}
}
