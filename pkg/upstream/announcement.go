// Package upstream announces a backend server to the node on its host.
//
// There is no list of backend servers: one that announces itself, and renews, is
// sent calls; one that stops renewing is not.
//
// # Usage
//
//	a := upstream.New("127.0.0.1:8001", upstream.Announcement{
//		Service: "browse", Address: "127.0.0.1:9000", Slots: 10, Connections: 100,
//	})
//	go a.Run(ctx)              // announces Warming, and renews
//	a.Set(upstream.Ready)      // calls come from now on
//	...
//	a.Leave(ctx, server.InFlight) // Draining, until nothing is in flight, then Gone
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

// ErrAnnouncement is returned for an announcement that does not check.
var ErrAnnouncement = errs.New("upstream.announcement", http.StatusBadRequest, "announcement not accepted")

// MaxTTL bounds how long an announcement holds without renewal.
const MaxTTL = time.Minute

// State is what a backend server says of itself.
type State string

// The states of a backend server.
const (
	// Warming runs and takes no calls yet.
	Warming State = "Warming"
	// Ready takes calls.
	Ready State = "Ready"
	// Draining finishes what it has and takes nothing new.
	Draining State = "Draining"
	// Gone has nothing in flight and ends.
	Gone State = "Gone"
)

// Valid reports whether the state is known.
func (s State) Valid() bool {
	return s == Warming || s == Ready || s == Draining || s == Gone
}

// Announcement is what a backend server says of itself, and renews.
type Announcement struct {
	// Service is the name that routes refer to.
	Service string `json:"Service"`
	// Address is where the backend server takes HTTP, as IP number and port.
	Address string `json:"Address"`
	// Slots is how many calls it runs at the same time.
	Slots int `json:"Slots"`
	// Connections is how many connections it takes.
	Connections int   `json:"Connections"`
	State       State `json:"State"`
	// TTL is how long the announcement holds without renewal, at most a minute.
	TTL settings.Duration `json:"TTL"`
	// Start names the process: another one after each start. It tells calls that were
	// cut off by a crash from calls whose answer was lost, also if the next process
	// listens at the address before the node looked. It may be left out.
	Start string `json:"Start,omitempty"`
}

// WithState returns the announcement with another state.
func (a Announcement) WithState(s State) Announcement {
	a.State = s

	return a
}

// Check reports whether the announcement can be used.
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
