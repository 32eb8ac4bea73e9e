package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/slots"
)

// Without workspaces a line must not grow.
func TestLineNamesTheWorkspaceOnlyIfThereIsOne(t *testing.T) {
	const want = "answered status 200 rank 1 ms 5 held 0 remaining 900 target 400 running 0 waiting 0 slots 0"

	in, reply := &forward.Request{Rank: 1, RemainingMs: 900, TargetMs: 400}, forward.Reply{Result: forward.Answered, Status: 200}
	r := New(Options{Queue: slots.New()})

	assert.Equal(t, r.describe(in, slots.Work{}, reply, 5*time.Millisecond), want)
	assert.Equal(t, r.describe(in, slots.Work{Workspace: "acme"}, reply, 5*time.Millisecond), want+" workspace acme share 0.000")
}
