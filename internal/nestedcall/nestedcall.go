// Package nestedcall detects nested calls: calls that a backend server makes while it runs
// a call itself.
//
// # Why
//
// A backend server occupies a slot while it waits for the result of a nested call. If the
// nested call is rejected, the work of the outer call is lost, its caller retries it, and
// the load increases as backend servers get slower. So nested calls take precedence over all
// others. A request does not show whether it is nested: like the calls of other callers on
// the host, it comes from the host's address.
//
// # Detection
//
// Other callers of a route run on hosts of all services. A route whose calls come only from
// hosts of one service, while the calls of other routes do not, is called by the backend
// servers of that service.
//
// # Usage
//
//	detector := nestedcall.New()
//	if detector.Observe("check", "browse") { ... } // the call is nested
package nestedcall

import (
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/bounded"
)

const (
	// MinConsecutive is the number of consecutive calls of a route from hosts of one service
	// after which its calls count as nested. If three in five of the callers' hosts have the
	// same service, one call in 200,000 completes such a run by chance.
	MinConsecutive = 24
	// mixedWindow is the time within which the calls of all routes must have come from hosts
	// of at least two services. A node that gets calls from one service only can't
	// distinguish nested calls.
	mixedWindow = 2 * time.Second
	// maxRoutes bounds the memory used for routes that no longer exist.
	maxRoutes = 4096
)

// Detector detects routes that are called by the backend servers of one service.
type Detector struct {
	mu        sync.Mutex
	runs      *bounded.Map[run]
	origin    string    // of the last call of any route
	lastMixed time.Time // last change of origin
}

// run counts the latest consecutive calls of a route that have the same origin.
type run struct {
	origin string
	length int
}

// New returns a detector without observations.
func New() *Detector { return &Detector{runs: bounded.New[run](maxRoutes)} }

// Observe records a call of a route from a host of the service origin, and reports whether
// the route is called by the backend servers of that service.
func (d *Detector) Observe(route, origin string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	if origin != d.origin {
		d.origin, d.lastMixed = origin, time.Now()
	}

	current := d.runs.At(route)
	if current.origin != origin {
		current.origin, current.length = origin, 0
	}

	current.length = min(current.length+1, MinConsecutive)

	return current.length == MinConsecutive && time.Since(d.lastMixed) < mixedWindow
}
