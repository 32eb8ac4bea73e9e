package settings

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrInvalid is returned for a tree that fails Check.
var ErrInvalid = errs.New("settings.invalid", http.StatusUnprocessableEntity, "the tree does not check")

// Limits of single values. A deadline above MaxDeadline would let a call hold a slot
// for longer than a drain may last. More attempts than MaxAttempts would multiply the
// load during an outage.
const (
	MaxDeadline  = 5 * time.Minute
	MaxAttempts  = 5
	MaxBodyLimit = 4 << 20
	MaxQueue     = 10_000
)

// Fault is one validation error of a tree.
type Fault struct {
	Path   string `json:"Path" msgpack:"Path"`
	Reason string `json:"Reason" msgpack:"Reason"`
}

// String returns the fault as one line of text.
func (f Fault) String() string { return "/" + f.Path + ": " + f.Reason }

// Check validates the tree and returns all faults.
//
// It always covers the whole tree, since a branch that is valid by itself can refer
// to a service that another edit has removed.
func (t Tree) Check() []Fault {
	c := checker{services: t.Services(), matches: map[Match]string{}, declared: map[string]string{}}
	t.Walk(c.branch)

	for _, r := range t.Resolve() {
		c.route(r)
	}

	return c.faults
}

// CheckErr returns ErrInvalid with all faults of the tree, or nil if there are none.
func (t Tree) CheckErr() error {
	faults := t.Check()
	if len(faults) == 0 {
		return nil
	}

	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}

	return ErrInvalid.With("%s", strings.Join(lines, "; "))
}

type checker struct {
	services map[string]Service
	matches  map[Match]string
	declared map[string]string
	faults   []Fault
}

func (c *checker) add(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) branch(path string, b Branch) {
	for _, name := range slices.Sorted(maps.Keys(b.Branches)) {
		c.name(path, name)
	}

	for _, name := range slices.Sorted(maps.Keys(b.Routes)) {
		c.name(path, name)
	}

	if b.Region != nil && len(b.Region.FailureDomains) == 0 {
		c.add(path, "Region.FailureDomains is empty")
	}

	if b.Service != nil {
		c.service(path, *b.Service)
	}
}

func (c *checker) name(path, name string) {
	if name == "" || strings.ContainsAny(name, "/ \t\n") {
		c.add(path, "name %q is empty or has a slash or a space", name)
	}
}

func (c *checker) service(path string, s Service) {
	name := lastName(path)
	if other, ok := c.declared[name]; ok {
		c.add(path, "service %q is declared at /%s too", name, other)
	}

	c.declared[name] = path

	if s.Slots < 1 {
		c.add(path, "Service.Slots is %d, want 1 or more", s.Slots)
	}

	if s.Connections < 1 {
		c.add(path, "Service.Connections is %d, want 1 or more", s.Connections)
	}
}

func (c *checker) route(r Resolved) {
	if _, ok := c.services[r.Values.Service]; !ok {
		c.add(r.Path, "service %q is not declared in the tree", r.Values.Service)
	}

	if r.Match.Method == "" || !strings.HasPrefix(r.Match.PathPrefix, "/") {
		c.add(r.Path, "Match wants a Method and a PathPrefix that starts with a slash")
	}

	if other, ok := c.matches[r.Match]; ok {
		c.add(r.Path, "takes the same requests as /%s", other)
	}

	c.matches[r.Match] = r.Path
	c.values(r.Path, r.Values)
}

func (c *checker) values(path string, v Values) {
	if !v.Class.Valid() {
		c.add(path, "Class %q is not one of %v", v.Class, Classes())
	}

	if v.Deadline <= 0 || v.Deadline > Duration(MaxDeadline) {
		c.add(path, "Deadline %s is not between 0 and %s", v.Deadline, MaxDeadline)
	}

	if v.Attempts < 1 || v.Attempts > MaxAttempts {
		c.add(path, "Attempts %d is not between 1 and %d", v.Attempts, MaxAttempts)
	}

	if v.RetryBudget < 0 || v.RetryBudget > 1 {
		c.add(path, "RetryBudget %g is not between 0 and 1", v.RetryBudget)
	}

	if v.BodyLimit < 0 || v.BodyLimit > MaxBodyLimit {
		c.add(path, "BodyLimit %d is not between 0 and %d", v.BodyLimit, MaxBodyLimit)
	}

	if v.Queue < 0 || v.Queue > MaxQueue {
		c.add(path, "Queue %d is not between 0 and %d", v.Queue, MaxQueue)
	}
}
