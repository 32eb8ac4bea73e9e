// Package upstream announces a backend server to the node on its host.
//
// Backend servers are not configured statically. A backend server receives calls
// while it renews its announcement, and none after the announcement expires.
//
// # Usage
//
//	a := upstream.New("127.0.0.1:8001", upstream.Announcement{
//		Service: "browse", Address: "127.0.0.1:9000", Slots: 10, Connections: 100,
//	})
//	go a.Run(ctx)              // announces Warming and renews it
//	a.Set(upstream.Ready)      // the node may send calls
//	...
//	a.Leave(ctx, server.InFlight) // Draining until no call is in flight, then Gone
//
// docs/BACKENDS.md describes the interface for servers in other languages.
package upstream

import (
	"net"
	"net/http"
	"time"

	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// ErrAnnouncement is returned for an invalid announcement.
var ErrAnnouncement = errs.New("upstream.announcement", http.StatusBadRequest, "announcement not accepted")

// MaxTTL is the longest time to live of an announcement.
const MaxTTL = time.Minute

// State is the lifecycle state that a backend server announces.
type State string

// The states of a backend server.
const (
	// Warming means running, but not yet accepting calls.
	Warming State = "Warming"
	// Ready means accepting calls.
	Ready State = "Ready"
	// Draining means finishing calls in flight and accepting no new ones.
	Draining State = "Draining"
	// Gone means that no call is in flight and the process is terminating.
	Gone State = "Gone"
)

// Valid reports whether the state is known.
func (s State) Valid() bool {
	return s == Warming || s == Ready || s == Draining || s == Gone
}

// Announcement describes a backend server; it expires unless renewed within TTL.
type Announcement struct {
	// Service is the service name that routes refer to.
	Service string `json:"Service"`
	// Address is the IP address and port on which the backend server accepts HTTP.
	Address string `json:"Address"`
	// Slots is the maximum number of concurrent calls.
	Slots int `json:"Slots"`
	// Connections is the maximum number of open connections.
	Connections int   `json:"Connections"`
	State       State `json:"State"`
	// TTL is the time until the announcement expires unless renewed, at most MaxTTL.
	TTL settings.Duration `json:"TTL"`
	// Start identifies the process instance and changes with each process start. It
	// distinguishes calls aborted by a crash from calls whose answer was lost, even if
	// the next process listens on the address before the node detects the crash.
	// Optional.
	Start string `json:"Start,omitempty"`
}

// WithState returns a copy of the announcement with state s.
func (a Announcement) WithState(s State) Announcement {
	a.State = s

	return a
}

// Check returns ErrAnnouncement if a field is missing or out of range.
func (a Announcement) Check() error {
	if a.Service == "" {
		return ErrAnnouncement.With("Service is missing")
	}

	if host, _, err := net.SplitHostPort(a.Address); err != nil || net.ParseIP(host) == nil {
		return ErrAnnouncement.With("Address %q is not an IP number and port", a.Address)
	}

	if a.Slots < 1 || a.Connections < 1 {
		return ErrAnnouncement.With("Slots and Connections want 1 or more")
	}

	if !a.State.Valid() {
		return ErrAnnouncement.With("State %q", a.State)
	}

	if a.TTL <= 0 || a.TTL > settings.Duration(MaxTTL) {
		return ErrAnnouncement.With("TTL %s is not between 0 and %s", a.TTL, MaxTTL)
	}

	return nil
}
