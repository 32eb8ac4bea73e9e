package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is one value that differs between two trees.
type Change struct {
	Path  string `json:"Path"`
	Field string `json:"Field"`
	From  string `json:"From,omitempty"`
	To    string `json:"To,omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	switch {
	case c.From == "":
		return fmt.Sprintf("+ /%s %s %s", c.Path, c.Field, c.To)
	case c.To == "":
		return fmt.Sprintf("- /%s %s %s", c.Path, c.Field, c.From)
	default:
		return fmt.Sprintf("~ /%s %s %s -> %s", c.Path, c.Field, c.From, c.To)
	}
}

// Diff returns the values that differ between two trees, sorted by path and field.
func Diff(from, to Tree) []Change {
	a, b := flatMap{}, flatMap{}
	from.Walk(a.add)
	to.Walk(b.add)

	return a.changes(b)
}

// DiffRecords is like Diff for a subset of the branches of two trees. A record that
// cannot be decoded counts as absent.
func DiffRecords(from, to Records) []Change {
	return flatRecords(from).changes(flatRecords(to))
}

func flatRecords(records Records) flatMap {
	out := flatMap{}

	for path, data := range records {
		if b, err := decode(path, data); err == nil {
			out.add(path, b)
		}
	}

	return out
}

type valueKey struct{ path, field string }

// flatMap maps the path and field of each value of a tree to its JSON text.
type flatMap map[valueKey]string

func (f flatMap) add(path string, b Branch) {
	for name, r := range b.Routes {
		f.flatten(Join(path, name), r)
	}

	b.Routes, b.Branches = nil, nil
	f.flatten(path, b)
}

func (f flatMap) flatten(path string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		f[valueKey{path, ""}] = err.Error()

		return
	}

	f.object(path, "", data)
}

func (f flatMap) object(path, field string, data json.RawMessage) {
	var fields map[string]json.RawMessage
	if !bytes.HasPrefix(data, []byte("{")) || json.Unmarshal(data, &fields) != nil {
		f[valueKey{path, field}] = string(data)

		return
	}

	for name, value := range fields {
		if field != "" {
			name = field + "." + name
		}

		f.object(path, name, value)
	}
}

func (f flatMap) changes(to flatMap) []Change {
	all := maps.Clone(f)
	maps.Copy(all, to)

	keys := slices.SortedFunc(maps.Keys(all), func(a, b valueKey) int {
		if a.path != b.path {
			return strings.Compare(a.path, b.path)
		}

		return strings.Compare(a.field, b.field)
	})

	var out []Change

	for _, k := range keys {
		if f[k] != to[k] {
			out = append(out, Change{Path: k.path, Field: k.field, From: f[k], To: to[k]})
		}
	}

	return out
}
