package usage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/workspace/usage"
)

func TestCallsAreCountedByWorkspace(t *testing.T) {
	u := usage.New()
	u.Add(usage.Call{Workspace: "a", Held: 40 * time.Millisecond})
	u.Add(usage.Call{Workspace: "a", OverLimit: true, BelowLimit: true})
	u.Add(usage.Call{Workspace: "b", OverLimit: true})

	assert.DeepEqual(t, u.Largest(), []usage.Count{
		{Workspace: "a", Calls: 2, OverLimit: 1, BelowLimit: 1, HeldMs: 40},
		{Workspace: "b", Calls: 1, OverLimit: 1},
	}, cmpopts.IgnoreUnexported(usage.Count{}))
}

// Names come from the configuration; with many of them metrics must not grow, and no call may be lost.
func TestManyWorkspacesAreNamedUpToABound(t *testing.T) {
	u := usage.New()
	total := usage.MaxCounted + 500

	for i := range total {
		for range 1 + i/usage.MaxCounted {
			u.Add(usage.Call{Workspace: fmt.Sprintf("w-%d", i)})
		}
	}

	for range 5 {
		u.Add(usage.Call{Workspace: "w-7"})
	}

	counts := u.Largest()
	assert.Equal(t, len(counts), usage.MaxNamed+1)
	assert.Equal(t, counts[0].Workspace, "w-7")
	assert.Equal(t, counts[usage.MaxNamed].Workspace, usage.Rest)

	sum := uint64(0)
	for _, c := range counts {
		sum += c.Calls
	}

	assert.Equal(t, sum, uint64(total+500+5))
}

// The sum of the others is the largest of all; it must not take the place of a workspace.
func TestRestIsNoWorkspace(t *testing.T) {
	counts := usage.Largest([]usage.Count{{Workspace: usage.Rest, Calls: 9}, {Workspace: "a", Calls: 1}})
	assert.Equal(t, counts[0].Workspace, "a")
	assert.Equal(t, counts[1].Calls, uint64(9))
	assert.Equal(t, len(usage.Largest(nil)), 0)
}
