package quota

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
)

const (
	// maxLines bounds the workspaces with a line of their own in a second.
	maxLines = 10
	// maxNamed bounds the workspaces with metrics of their own, maxCounted those that are told apart.
	maxNamed   = 20
	maxCounted = 10_000
)

// Rest is the name under which the metrics sum up all other workspaces.
const Rest = "(rest)"

// Count is the number of calls of a workspace at this entry since the start of the process.
type Count struct {
	Workspace string
	Calls     uint64
	Refused   uint64
}

// counts counts calls by workspace.
type counts struct {
	mu       sync.Mutex
	totals   map[string]*Count
	recently map[string]*Count // since the last lines
}

func newCounts() *counts { return &counts{totals: map[string]*Count{}, recently: map[string]*Count{}} }

func (c *counts) add(workspace string, allowed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, m := range []map[string]*Count{c.totals, c.recently} {
		n := m[workspace]
		if n == nil {
			if len(m) >= maxCounted {
				workspace = Rest
			}

			if n = m[workspace]; n == nil {
				n = &Count{Workspace: workspace}
				m[workspace] = n
			}
		}

		n.Calls++

		if !allowed {
			n.Refused++
		}
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
			out = append(out, fmt.Sprintf("workspace %s: refused %d of %d calls", n.Workspace, n.Refused, n.Calls))
		}
	}

	return out
}

// Counts returns the counts of the workspaces with the most calls, and the sum of all others.
func (a *Agent) Counts() []Count {
	a.counts.mu.Lock()
	defer a.counts.mu.Unlock()

	named, rest := largest(a.counts.totals, maxNamed, func(n *Count) uint64 { return n.Calls })

	return append(named, rest)
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
		rest.Calls, rest.Refused = rest.Calls+n.Calls, rest.Refused+n.Refused
	}

	return slices.Clip(named), rest
}
