package quota

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"github.com/pollencart/pollencart/internal/dispatch"
)

const (
	// maxLines bounds the workspaces with a line of their own in a second.
	maxLines = 10
	// maxCounted bounds the workspaces that are told apart.
	maxCounted = 10_000
)

// Rest is the name under which lines sum up all other workspaces.
const Rest = "(rest)"

// Count is the number of calls of a workspace at this entry since the last lines.
type Count struct {
	Workspace string
	Calls     uint64
	Refused   uint64
	// Reason is that of the last refused call.
	Reason string
}

// counts counts calls by workspace.
type counts struct {
	mu       sync.Mutex
	recently map[string]*Count // since the last lines
}

func newCounts() *counts { return &counts{recently: map[string]*Count{}} }

func (c *counts) add(workspace string, d dispatch.QuotaDecision) {
	c.mu.Lock()
	defer c.mu.Unlock()

	n := c.recently[workspace]
	if n == nil {
		if len(c.recently) >= maxCounted {
			workspace = Rest
		}

		if n = c.recently[workspace]; n == nil {
			n = &Count{Workspace: workspace}
			c.recently[workspace] = n
		}
	}

	n.Calls++

	if !d.Allowed {
		n.Refused++
		n.Reason = d.Reason
	}
}

// lines returns a line for each workspace that had calls refused since the last time.
func (c *counts) lines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()

	named, rest := largest(c.recently, maxLines, func(n *Count) uint64 { return n.Refused })
	clear(c.recently)

	var out []string

	for _, n := range append(named, rest) {
		if n.Refused > 0 {
			out = append(out, fmt.Sprintf("workspace %s: refused %d of %d calls; last by: %s", n.Workspace, n.Refused, n.Calls, n.Reason))
		}
	}

	return out
}

// largest returns the largest counts in order, and the sum of the others.
func largest(m map[string]*Count, count int, by func(*Count) uint64) (named []Count, rest Count) {
	all := make([]Count, 0, len(m))

	rest.Workspace = Rest

	for name, n := range m {
		if name != Rest {
			all = append(all, *n)
		} else {
			rest = *n
		}
	}

	slices.SortFunc(all, func(a, b Count) int {
		if c := cmp.Compare(by(&b), by(&a)); c != 0 {
			return c
		}

		return cmp.Compare(a.Workspace, b.Workspace)
	})

	named = all[:min(count, len(all))]
	for _, n := range all[len(named):] {
		rest.Calls, rest.Refused, rest.Reason = rest.Calls+n.Calls, rest.Refused+n.Refused, n.Reason
	}

	return slices.Clip(named), rest
}
