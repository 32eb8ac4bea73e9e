package settings

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/pollencart/pollencart/internal/jsonc"
)

// Tree is a complete settings tree; the embedded Branch is its root.
type Tree struct {
	Branch
}

// Branch is the root, a region or a service.
type Branch struct {
	// Region declares the branch as a region, Service as the service of its name.
	Region  *Region  `json:"Region,omitempty" msgpack:"Region,omitempty"`
	Service *Service `json:"Service,omitempty" msgpack:"Service,omitempty"`
	// Overrides apply to all descendants that do not override them.
	Overrides Overrides `json:"Overrides,omitzero" msgpack:"Overrides"`
	// Routes are the routes and Branches the child branches, both by name.
	Routes   map[string]Route  `json:"Routes,omitempty" msgpack:"Routes,omitempty"`
	Branches map[string]Branch `json:"Branches,omitempty" msgpack:"-"`
}

// Region declares a region and its failure domains.
type Region struct {
	// FailureDomains are the names of the region's failure domains.
	FailureDomains []string `json:"FailureDomains" msgpack:"FailureDomains"`
}

// Service declares the service that has the name of its branch.
type Service struct {
	// Slots is the maximum number of concurrent calls of one backend server,
	// Connections the maximum number of connections to it.
	Slots       int `json:"Slots" msgpack:"Slots"`
	Connections int `json:"Connections" msgpack:"Connections"`
}

// Route is a leaf of the tree.
type Route struct {
	// Match selects requests, Overrides sets values for them.
	Match     Match     `json:"Match" msgpack:"Match"`
	Overrides Overrides `json:"Overrides,omitzero" msgpack:"Overrides"`
}

// Match selects the requests of a route.
type Match struct {
	// Method is the HTTP method and PathPrefix the prefix of the path. The route with
	// the longest matching prefix is used.
	Method     string `json:"Method" msgpack:"Method"`
	PathPrefix string `json:"PathPrefix" msgpack:"PathPrefix"`
}

// Parse decodes a tree from JSON with comments; file is used in error messages.
func Parse(file string, data []byte) (Tree, error) {
	var t Tree
	if err := jsonc.Decode(file, data, &t.Branch); err != nil {
		return Tree{}, err
	}

	return t, nil
}

// RootPath is the path of the root.
const RootPath = ""

// Join returns the path of a child.
func Join(path, name string) string {
	if path == RootPath {
		return name
	}

	return path + "/" + name
}

// Walk calls visit for each branch, parents before children, siblings by name.
func (t Tree) Walk(visit func(path string, b Branch)) {
	walk(RootPath, t.Branch, visit)
}

func walk(path string, b Branch, visit func(string, Branch)) {
	visit(path, b)

	for _, name := range slices.Sorted(maps.Keys(b.Branches)) {
		walk(Join(path, name), b.Branches[name], visit)
	}
}

// Services returns the declared services by name.
func (t Tree) Services() map[string]Service {
	found := map[string]Service{}

	t.Walk(func(path string, b Branch) {
		if b.Service != nil {
			found[lastName(path)] = *b.Service
		}
	})

	return found
}

func lastName(path string) string {
	return path[strings.LastIndexByte(path, '/')+1:]
}

// Resolved is a route with its effective values.
type Resolved struct {
	Path   string
	Match  Match
	Values Values
}

// Resolve returns every route with its effective values.
func (t Tree) Resolve() []Resolved {
	return resolve(RootPath, t.Branch, DefaultValues(), nil)
}

func resolve(path string, b Branch, v Values, out []Resolved) []Resolved {
	if b.Service != nil {
		v.Service = lastName(path)
	}

	v = v.With(b.Overrides)

	for _, name := range slices.Sorted(maps.Keys(b.Routes)) {
		r := b.Routes[name]
		out = append(out, Resolved{Path: Join(path, name), Match: r.Match, Values: v.With(r.Overrides)})
	}

	for _, name := range slices.Sorted(maps.Keys(b.Branches)) {
		out = resolve(Join(path, name), b.Branches[name], v, out)
	}

	return out
}

// Text returns the tree as indented JSON, which Parse accepts.
func (t Tree) Text() ([]byte, error) {
	return json.MarshalIndent(t.Branch, "", "  ")
}
