// Package workspace holds the workspaces of one configuration version: who their keys belong to,
// and how many calls a second each may make.
//
// A Directory is validated as a whole and immutable. It is part of a routing table, so that a node
// never routes by one version and checks keys by another. Keys are secrets: a Directory answers whose
// key one is, but lists none, and its errors name workspaces only.
//
// # Usage
//
//	d, err := workspace.New([]workspace.Entry{{Workspace: w, Keys: keys}})
//	w, ok := d.Holder(key)
package workspace

import (
	"math"
	"net/http"
	"strings"
	"unicode"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrDirectory is returned for a version with invalid or conflicting workspaces.
var ErrDirectory = errs.New("workspace.directory", http.StatusUnprocessableEntity, "workspaces not accepted")

// Workspace is a customer of the operator.
type Workspace struct {
	Name string
	// Priority is the rank of the workspace's calls, which goes before that of the route, if Ranked is
	// set; 0 is the most urgent.
	Priority int
	Ranked   bool
	// Rate is the calls a second that all nodes together may run, and Burst the calls beyond it. With a
	// rate of 0 there is no limit.
	Rate  float64
	Burst float64
}

// Limited reports whether the workspace has a limit.
func (w *Workspace) Limited() bool { return w.Rate > 0 }

// Entry is a workspace with its keys.
type Entry struct {
	Workspace *Workspace
	Keys      []string
}

// Directory holds the workspaces of one version.
type Directory struct {
	names   map[string]*Workspace
	holders map[string]*Workspace // by key
	ranked  bool                  // a workspace is ranked
}

// New validates the workspaces of a version and builds their directory.
func New(entries []Entry) (*Directory, error) {
	d := &Directory{names: make(map[string]*Workspace, len(entries)), holders: make(map[string]*Workspace, 2*len(entries))}

	for _, e := range entries {
		if err := d.add(e); err != nil {
			return nil, err
		}
	}

	return d, nil
}

func (d *Directory) add(e Entry) error {
	w := e.Workspace
	if err := w.check(); err != nil {
		return err
	}

	if d.names[w.Name] != nil {
		return ErrDirectory.With("workspace %q is there twice", w.Name)
	}

	d.names[w.Name] = w
	d.ranked = d.ranked || w.Ranked

	for _, key := range e.Keys {
		if key == "" {
			return ErrDirectory.With("workspace %q has an empty key", w.Name)
		}

		if holder := d.holders[key]; holder != nil && holder != w {
			return ErrDirectory.With("a key is held by workspaces %q and %q", holder.Name, w.Name)
		}

		d.holders[key] = w
	}

	return nil
}

// check returns an error if the name is missing, or a number is below zero or not finite.
func (w *Workspace) check() error {
	if w.Name == "" {
		return ErrDirectory.With("a workspace without a name")
	}

	// Backend servers get the name in a header.
	if strings.ContainsFunc(w.Name, unicode.IsControl) || strings.TrimSpace(w.Name) != w.Name {
		return ErrDirectory.With("name %q has control characters, or spaces around it", w.Name)
	}

	if w.Priority < 0 || !isAmount(w.Rate) || !isAmount(w.Burst) {
		return ErrDirectory.With("workspace %q: priority %d, rate %g, burst %g", w.Name, w.Priority, w.Rate, w.Burst)
	}

	return nil
}

func isAmount(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }

// Holder returns the workspace that holds a key.
func (d *Directory) Holder(key string) (*Workspace, bool) {
	w, ok := d.holders[key]

	return w, ok
}

// Named returns the workspace of a name.
func (d *Directory) Named(name string) (*Workspace, bool) {
	w, ok := d.names[name]

	return w, ok
}

// Count returns the number of workspaces.
func (d *Directory) Count() int { return len(d.names) }

// priorities is the number of priorities of workspaces and of routes that are told apart; less
// urgent ones count as the last.
const priorities = 3

// Rank returns the rank of a call: the priority of its workspace goes before that of its route, which
// also stands in for the workspace's if that has none, or if the call runs for no workspace (w is nil).
// While no workspace is ranked, the rank is the priority of the route.
func (d *Directory) Rank(w *Workspace, route int) int {
	if !d.ranked {
		return route
	}

	first := route
	if w != nil && w.Ranked {
		first = w.Priority
	}

	return priorities*min(first, priorities-1) + min(route, priorities-1)
}
