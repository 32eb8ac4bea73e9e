package settings

import "slices"

// index finds the longest prefix of a path without walking all routes: with 310
// services a walk costs more than the rest of a call's decisions.
type index map[string]*prefixes

// prefixes are the routes of one method by their prefix, with the lengths that
// occur, longest first. Trees have a handful of lengths and thousands of routes.
type prefixes struct {
	lengths []int
	routes  map[string]Resolved
}

func newIndex(routes []Resolved) index {
	x := index{}

	for _, r := range routes {
		p := x[r.Match.Method]
		if p == nil {
			p = &prefixes{routes: map[string]Resolved{}}
			x[r.Match.Method] = p
		}

		p.routes[r.Match.PathPrefix] = r

		if n := len(r.Match.PathPrefix); !slices.Contains(p.lengths, n) {
			p.lengths = append(p.lengths, n)
		}
	}

	for _, p := range x {
		slices.SortFunc(p.lengths, func(a, b int) int { return b - a })
	}

	return x
}

func (x index) match(method, path string) (Resolved, bool) {
	p := x[method]
	if p == nil {
		return Resolved{}, false
	}

	for _, n := range p.lengths {
		if n > len(path) {
			continue
		}

		if r, ok := p.routes[path[:n]]; ok {
			return r, true
		}
	}

	return Resolved{}, false
}
