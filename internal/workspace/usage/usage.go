// Package usage counts what the calls of each workspace used, as an entry node sees it.
//
// # Usage
//
//	u := usage.New()
//	u.Add(usage.Call{Workspace: "a", Held: 40 * time.Millisecond})
//	counts := u.Largest()
package usage

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// MaxNamed is the number of workspaces that are named.
	MaxNamed = 20
	// MaxCounted is the number of workspaces that are told apart.
	MaxCounted = 10_000
	// Rest is the name of the sum of all other workspaces.
	Rest = "(rest)"
)

// Call is what one call used.
type Call struct {
	Workspace string
	// OverLimit is set if the limit of the workspace refused the call, BelowLimit also if the limit as a whole was
	// not known to be used up.
	OverLimit  bool
	BelowLimit bool
	// Held is how long backend servers worked on the call.
	Held time.Duration
}

// Count is the sum over the calls of a workspace since the start of the process.
type Count struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Workspace  string `msgpack:"Workspace"`
	Calls      uint64 `msgpack:"Calls"`
	OverLimit  uint64 `msgpack:"OverLimit"`
	BelowLimit uint64 `msgpack:"BelowLimit"`
	HeldMs     int64  `msgpack:"HeldMs"`
}

// Plus returns the sum of two counts under the name of the first.
func (c Count) Plus(o Count) Count {
	c.Calls += o.Calls
	c.OverLimit += o.OverLimit
	c.BelowLimit += o.BelowLimit
	c.HeldMs += o.HeldMs

	return c
}

// Usage counts by workspace.
type Usage struct {
	mu     sync.Mutex
	counts map[string]Count
}

// New returns a usage without counts.
func New() *Usage { return &Usage{counts: map[string]Count{}} }

// Add counts a call.
func (u *Usage) Add(c Call) {
	one := Count{Calls: 1, HeldMs: c.Held.Milliseconds()}
	if c.OverLimit {
		one.OverLimit = 1
	}

	if c.BelowLimit {
		one.BelowLimit = 1
	}

	u.mu.Lock()
	defer u.mu.Unlock()

	name := c.Workspace
	if _, ok := u.counts[name]; !ok && len(u.counts) >= MaxCounted {
		name = Rest
	}

	sum := u.counts[name].Plus(one)
	sum.Workspace = name
	u.counts[name] = sum
}

// Largest returns the counts of the workspaces with the most calls, and the sum of the others as [Rest] if there
// are any.
func (u *Usage) Largest() []Count {
	u.mu.Lock()

	all := make([]Count, 0, len(u.counts))
	for _, c := range u.counts {
		all = append(all, c)
	}
	u.mu.Unlock()

	return Largest(all)
}

// Largest returns up to [MaxNamed] counts in order of calls, and the sum of the others as [Rest] if there are any.
func Largest(all []Count) []Count {
	slices.SortFunc(all, func(a, b Count) int {
		return cmp.Or(isRest(a)-isRest(b), cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Workspace, b.Workspace))
	})

	named := len(all)
	if named > 0 && isRest(all[named-1]) == 1 {
		named--
	}

	named = min(named, MaxNamed)
	out := slices.Clone(all[:named])

	if named == len(all) {
		return out
	}

	rest := Count{Workspace: Rest}
	for _, c := range all[named:] {
		rest = rest.Plus(c)
	}

	return append(out, rest)
}

func isRest(c Count) int {
	if c.Workspace == Rest {
		return 1
	}

	return 0
}
