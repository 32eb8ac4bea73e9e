// Package route implements the routing table of one configuration version: the routes by
// host and path prefix, their destination services, and the limits for callers.
//
// A Table is validated as a whole and immutable: a node applies a version completely or
// not at all.
//
//	t, err := route.New(7, limits, services, routes)
//	r, ok := t.Match("shop.example", "/cart/17")
package route

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pollencart/pollencart/internal/workspace"
	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrTable is returned for a version with invalid or conflicting routes.
var ErrTable = errs.New("route.table", http.StatusUnprocessableEntity, "routes not accepted")

// Destination is a service that a route sends calls to, with its weight.
type Destination struct {
	Service string
	Weight  int
}

// Route configures the calls of one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent calls may run more than once, others at most once.
	Idempotent bool
	// Timeout bounds the time until the caller gets an answer. Target is the time within
	// which an answer has its full value for the caller.
	Timeout time.Duration
	Target  time.Duration
	// Attempts is the maximum number of backend servers that a call is sent to.
	Attempts int
	// Public routes take calls without a key, also where the version has workspaces.
	Public bool
	// Priority is the rank of the calls; 0 is the most urgent.
	Priority int
	// Destinations has at least one element. Calls are distributed by weight.
	Destinations []Destination
}

// Service is the configuration of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts in total.
	MaxConnections int
}

// Limits bounds the size of callers' requests and the time to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is the routing table of one version.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	hosts    map[string]*prefixes
	// workspaces is nil if the version has none.
	workspaces *workspace.Directory
}

// prefixes holds the routes of one host and the lengths of their prefixes, longest first.
// A host has few different lengths even with many routes.
type prefixes struct {
	lengths []int
	routes  map[string]*Route
}

// New validates the parts of a version and builds its table.
func New(version uint64, limits Limits, services []Service, routes []*Route) (*Table, error) {
	t := &Table{
		version: version, limits: limits,
		services: make(map[string]Service, len(services)), hosts: map[string]*prefixes{},
	}

	if err := limits.check(); err != nil {
		return nil, err
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

// check returns an error if the route has no valid host, prefix or timeout, a number below zero, no
// destination with a weight, or a destination that is not declared.
func (t *Table) check(r *Route) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return ErrTable.With("%s: host %q, prefix %q", r.Name, r.Host, r.Prefix)
	}

	if r.Timeout <= 0 || r.Target < 0 || r.Attempts < 0 || r.Priority < 0 {
		return ErrTable.With("%s: timeout %s, target %s, attempts %d, priority %d", r.Name, r.Timeout, r.Target, r.Attempts, r.Priority)
	}

	return t.checkDestinations(r)
}

func (t *Table) checkDestinations(r *Route) error {
	total := 0

	for _, d := range r.Destinations {
		if _, ok := t.services[d.Service]; !ok {
			return ErrTable.With("%s: service %q is not declared", r.Name, d.Service)
		}

		// A negative weight would take calls away from the other destinations.
		if d.Weight < 0 {
			return ErrTable.With("%s: weight %d of service %q", r.Name, d.Weight, d.Service)
		}

		total += d.Weight
	}

	if total <= 0 {
		return ErrTable.With("%s leads nowhere", r.Name)
	}

	return nil
}

// check returns an error if a limit is below zero.
func (l Limits) check() error {
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		return ErrTable.With("limits: header %d bytes, body %d bytes, header timeout %s, idle timeout %s",
			l.HeaderBytes, l.BodyBytes, l.HeaderTimeout, l.IdleTimeout)
	}

	return nil
}

// Version returns the version number.
func (t *Table) Version() uint64 { return t.version }

// WithWorkspaces returns a copy of the table with the workspaces of its version.
func (t *Table) WithWorkspaces(d *workspace.Directory) *Table {
	out := *t
	out.workspaces = d

	return &out
}

// Workspaces returns the workspaces of the version, or nil if it has none. Callers then need no keys.
func (t *Table) Workspaces() *workspace.Directory { return t.workspaces }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the configuration of a service, if it is declared.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]

	return s, ok
}

// Match returns the route of the host with the longest prefix of the path. A port in the
// host is ignored.
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
