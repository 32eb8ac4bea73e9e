// Package nestedcall tells the calls that backend servers make, while they run a call, from
// those of callers outside.
//
// # What goes wrong without it
//
// A backend server that runs a call holds a slot while it waits for the call that it
// made itself. If that one is turned away, the whole run has been for nothing, its
// caller sends it again, and the load grows as the backend servers get slower. So
// nested calls go ahead of all others; but nothing in a request says that it is one,
// and it comes from the host's address, as those of callers do.
//
// # How they are told
//
// Callers of a route are on hosts of all services. A route whose calls come from hosts
// of one service only, while other routes' do not, is called by the backend servers of
// that service.
//
// # Usage
//
//	routes := nestedcall.New()
//	if routes.Note("check", "browse") { ... } // a call of this route is a nested one
package nestedcall

import (
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/bounded"
)

const (
	// Enough calls of a route in a row come from hosts of one service for it to be
	// called by their backend servers. Of callers on hosts of which three in five have
	// the same service, one call in 200,000 ends such a row.
	Enough = 24
	// mixedWithin is how long ago calls of two services must have come: a node that
	// only hears hosts of one service can't tell.
	mixedWithin = 2 * time.Second
	// maxRoutes bounds what is remembered of routes that are gone.
	maxRoutes = 4096
)

// Routes knows by which services routes are called.
type Routes struct {
	mu     sync.Mutex
	rows   *bounded.Map[row]
	origin string    // of the last call of any route
	mixed  time.Time // when one came whose origin was another
}

// row counts the last calls of a route that had the same origin.
type row struct {
	origin string
	length int
}

// New returns routes that have seen no call.
func New() *Routes { return &Routes{rows: bounded.New[row](maxRoutes)} }

// Note takes a call of a route that began on a host of a service, and reports whether
// the route is called by backend servers of that service.
func (r *Routes) Note(route, origin string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	if origin != r.origin {
		r.origin, r.mixed = origin, time.Now()
	}

	w := r.rows.At(route)
	if w.origin != origin {
		w.origin, w.length = origin, 0
	}

	w.length = min(w.length+1, Enough)

	return w.length == Enough && time.Since(r.mixed) < mixedWithin
}
