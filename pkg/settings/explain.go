package settings

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// Origin is one effective value and the tree node that sets it.
type Origin struct {
	Key   string `json:"Key"`
	Value string `json:"Value"`
	From  string `json:"From"`
}

// fromDefaults and fromName are the origins of values that no tree node sets.
const (
	fromDefaults = "default"
	fromName     = "name of the service branch /"
)

// Explain returns the effective values at a branch or route with their origins,
// sorted by key.
func (t Tree) Explain(path string) ([]Origin, error) {
	found := map[string]Origin{}
	addOrigins(found, DefaultValues(), fromDefaults)

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

		addOrigins(found, route.Overrides, "/"+at)
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
		found["Service"] = Origin{Key: "Service", Value: jsonText(name), From: fromName + path}
	}

	addOrigins(found, b.Overrides, "/"+path)
}

// addOrigins stores the origin of each value that is set, by JSON name. It replaces
// origins of the same name, so that the deepest tree node wins.
func addOrigins(found map[string]Origin, values any, from string) {
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

func jsonText(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}

	return string(data)
}
