// Package route holds the routing of one accepted version as nodes use it: the
// routes by host and path, the services that they lead to, and the limits towards
// callers.
//
// A Table is built whole, checked whole and never changed after: a node holds all
// of a version or none of it.
//
//	t, err := route.New(7, limits, services, routes)
//	r, ok := t.Match("shop.example", "/cart/17")
package route

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrTable is returned for routes that can't be used together.
var ErrTable = errs.New("route.table", http.StatusUnprocessableEntity, "routes not accepted")

// Destination is a service that a route leads to, with its share of the calls.
type Destination struct {
	Service string
	Weight  int
}

// Route is what holds for the calls of one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent calls may run more than once, others at most once.
	Idempotent bool
	// Timeout bounds how long a caller is kept waiting, Target is the time within
	// which an answer is worth most to it.
	Timeout time.Duration
	Target  time.Duration
	// Attempts bounds the backend servers that one call is sent to.
	Attempts int
	// Priority is the rank of the calls, 0 before all others.
	Priority int
	// Destinations share the calls by weight; there is at least one.
	Destinations []Destination
}

// Service is what is configured of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections one backend server takes of all.
	MaxConnections int
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is the routing of one version.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	hosts    map[string]*prefixes
}

// prefixes are the routes of one host, and the lengths of their prefixes, longest
// first: hosts have a handful of lengths however many routes there are.
type prefixes struct {
	lengths []int
	routes  map[string]*Route
}

// New checks the parts of a version and puts them together.
func New(version uint64, limits Limits, services []Service, routes []*Route) (*Table, error) {
	t := &Table{
		version: version, limits: limits,
		services: make(map[string]Service, len(services)), hosts: map[string]*prefixes{},
	}

	for _, s := range services {
		t.services[s.Name] = s
	}

	for _, r := range routes {
		if err := t.add(r); err != nil {
			return nil, err
		}
	}

	for _, p := range t.hosts {
		slices.SortFunc(p.lengths, func(a, b int) int { return b - a })
	}

	return t, nil
}

func (t *Table) add(r *Route) error {
	if err := t.check(r); err != nil {
		return err
	}

	host := strings.ToLower(r.Host)

	p := t.hosts[host]
	if p == nil {
		p = &prefixes{routes: map[string]*Route{}}
		t.hosts[host] = p
	}

	if p.routes[r.Prefix] != nil {
		return ErrTable.With("%s: prefix %q of host %s is there twice", r.Name, r.Prefix, r.Host)
	}

	p.routes[r.Prefix] = r

	if n := len(r.Prefix); !slices.Contains(p.lengths, n) {
		p.lengths = append(p.lengths, n)
	}

	return nil
}

// check refuses a route that would send calls to a service that is not declared,
// or nowhere.
func (t *Table) check(r *Route) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") {
		return ErrTable.With("%s: host %q, prefix %q", r.Name, r.Host, r.Prefix)
	}

	total := 0

	for _, d := range r.Destinations {
		if _, ok := t.services[d.Service]; !ok {
			return ErrTable.With("%s: service %q is not declared", r.Name, d.Service)
		}

		total += d.Weight
	}

	if total <= 0 {
		return ErrTable.With("%s leads nowhere", r.Name)
	}

	if r.Timeout <= 0 {
		return ErrTable.With("%s: timeout %s", r.Name, r.Timeout)
	}

	return nil
}

// Version returns the number of the version.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits towards callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns what is configured of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]

	return s, ok
}

// Match returns the route with the longest prefix that begins the path, among
// those of the host. A port in the host does not count.
func (t *Table) Match(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(host, ":")

	p := t.hosts[strings.ToLower(host)]
	if p == nil {
		return nil, false
	}

	for _, n := range p.lengths {
		if n > len(path) {
			continue
		}

		if r, ok := p.routes[path[:n]]; ok {
			return r, true
		}
	}

	return nil, false
}
