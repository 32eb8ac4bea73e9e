package settings

import "slices"

// index holds the routes by HTTP method and finds the longest matching prefix without
// a scan of all routes. With 310 services a scan costs more than all other decisions
// about a call together.
type index map[string]*methodRoutes

// methodRoutes holds the routes of one method by prefix, and the distinct prefix
// lengths in descending order. Trees have few lengths and thousands of routes.
type methodRoutes struct {
	lengths []int
	routes  map[string]Resolved
}

func newIndex(routes []Resolved) index {
	x := index{}

	for _, r := range routes {
		p := x[r.Match.Method]
		if p == nil {
			p = &methodRoutes{routes: map[string]Resolved{}}
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
