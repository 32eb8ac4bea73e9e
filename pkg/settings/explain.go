package settings

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// Origin tells one effective value and the node of the tree that it comes from.
type Origin struct {
	Key   string `json:"Key"`
	Value string `json:"Value"`
	From  string `json:"From"`
}

// fromDefaults and fromName are the origins of values that no node sets.
const (
	fromDefaults = "default"
	fromName     = "name of the service branch /"
)

// Explain returns the effective values at a branch or route, each with the node
// that it comes from, in the order of keys.
func (t Tree) Explain(path string) ([]Origin, error) {
	found := map[string]Origin{}
	note(found, DefaultValues(), fromDefaults)

	names, b := split(path), t.Branch
	explainBranch(found, RootPath, b)

	for i, name := range names {
		at := strings.Join(names[:i+1], "/")

		if child, ok := b.Branches[name]; ok {
			b = child
			explainBranch(found, at, b)

			continue
		}

		route, ok := b.Routes[name]
		if !ok || i+1 < len(names) {
			return nil, ErrPath.With("/%s", at)
		}

		note(found, route.Overrides, "/"+at)
	}

	out := make([]Origin, 0, len(found))
	for _, key := range slices.Sorted(maps.Keys(found)) {
		out = append(out, found[key])
	}

	return out, nil
}

func explainBranch(found map[string]Origin, path string, b Branch) {
	if b.Service != nil {
		name := lastName(path)
		found["Service"] = Origin{Key: "Service", Value: text(name), From: fromName + path}
	}

	note(found, b.Overrides, "/"+path)
}

// note takes the values that are set, by their names in a file.
func note(found map[string]Origin, values any, from string) {
	data, err := json.Marshal(values)
	if err != nil {
		return
	}

	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return
	}

	for key, value := range fields {
		found[key] = Origin{Key: key, Value: string(value), From: from}
	}
}

func text(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}

	return string(data)
}
