package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Change is one difference between two trees.
type Change struct {
	Path string `json:"Path"`
	From string `json:"From,omitempty"`
	To   string `json:"To,omitempty"`
}

// String returns the change on a line.
func (c Change) String() string {
	switch {
	case c.From == "":
		return fmt.Sprintf("+ /%s %s", c.Path, c.To)
	case c.To == "":
		return fmt.Sprintf("- /%s %s", c.Path, c.From)
	default:
		return fmt.Sprintf("~ /%s %s -> %s", c.Path, c.From, c.To)
	}
}

// Diff returns the changes of branches and routes from one tree to another, in
// the order of paths.
func Diff(from, to Tree) []Change {
	a, b := flat(from), flat(to)

	paths := map[string]bool{}
	for path := range a {
		paths[path] = true
	}

	for path := range b {
		paths[path] = true
	}

	var out []Change

	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if a[path] != b[path] {
			out = append(out, Change{Path: path, From: a[path], To: b[path]})
		}
	}

	return out
}

func flat(t Tree) map[string]string {
	out := map[string]string{}

	t.Walk(func(path string, b Branch) {
		for name, r := range b.Routes {
			out[Join(path, name)] = text(r)
		}

		b.Routes, b.Branches = nil, nil
		out[path] = text(b)
	})

	return out
}

func text(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}

	return string(data)
}
