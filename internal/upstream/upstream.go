// Package upstream speaks HTTP with the backend server on this host: it takes
// its announcements and runs calls on it.
//
//	h := upstream.New(table, queue, recorder)
//	h.Announce(upstream.Announcement{Service: "browse", Address: "127.0.0.1:9000", ...})
//	answer, err := h.Run(ctx, c)
package upstream

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/invariant"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// ErrAnnouncement is returned for an announcement that does not check.
var ErrAnnouncement = errs.New("upstream.announcement", http.StatusBadRequest, "announcement not accepted")

// MaxTTL bounds how long an announcement holds without renewal.
const MaxTTL = time.Minute

// Announcement is what a backend server says of itself, and renews.
type Announcement struct {
	Service     string                   `json:"Service"`
	Address     string                   `json:"Address"`
	Slots       int                      `json:"Slots"`
	Connections int                      `json:"Connections"`
	State       membership.UpstreamState `json:"State"`
	TTL         settings.Duration        `json:"TTL"`
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

// Host is the backend server on this host.
type Host struct {
	table    *membership.Table
	queue    *admission.Queue
	recorder *timeline.Recorder
	changed  func()
	keys     *invariant.Keys

	mu      sync.Mutex
	current Announcement
	expires time.Time
	client  *http.Client
}

// New returns a host without a backend server.
func New(t *membership.Table, q *admission.Queue, r *timeline.Recorder, opts ...Option) *Host {
	o := newOptions(opts...)

	return &Host{table: t, queue: q, recorder: r, changed: o.Changed, keys: invariant.NewKeys(r)}
}

// Announce takes an announcement or its renewal.
func (h *Host) Announce(a Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}

	h.mu.Lock()
	old := h.current
	h.current = a
	h.expires = time.Now().Add(time.Duration(a.TTL))

	if old.Address != a.Address || old.Connections != a.Connections {
		h.client = newClient(a.Connections)
	}
	h.mu.Unlock()

	if old != a {
		h.publish(old, a)
	}

	return nil
}

// Withdraw notes that the backend server is gone.
func (h *Host) Withdraw() {
	h.mu.Lock()
	old := h.current
	h.current.State = membership.UpstreamGone
	next := h.current
	h.mu.Unlock()

	if old.Service != "" && old.State != membership.UpstreamGone {
		h.publish(old, next)
	}
}

// Expire withdraws a backend server that did not renew. It crashed or hangs;
// without this, calls would go on being sent to it.
func (h *Host) Expire() {
	h.mu.Lock()
	late := h.current.Service != "" && h.current.State != membership.UpstreamGone && time.Now().After(h.expires)
	service := h.current.Service
	h.mu.Unlock()

	if late {
		h.recorder.Record(event.UpstreamLost, timeline.Entry{Detail: service})
		h.Withdraw()
	}
}

// Current returns the newest announcement.
func (h *Host) Current() Announcement {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.current
}

func (h *Host) publish(old, a Announcement) {
	if old.Service == "" {
		h.recorder.Record(event.UpstreamJoined, timeline.Entry{Detail: a.Service + " " + string(a.State)})
	} else if old.State != a.State {
		h.recorder.Record(event.UpstreamState, timeline.Entry{Detail: a.Service + " " + string(a.State)})
	}

	h.queue.Resize(min(a.Slots, a.Connections))

	if a.State == membership.UpstreamReady {
		h.queue.Open()
	} else {
		h.queue.Close()
	}

	h.table.Update(func(r membership.Record) membership.Record {
		if a.State == membership.UpstreamReady && r.Upstream.State != membership.UpstreamReady {
			r.Upstream.ReadySince = time.Now().UnixMilli()
		}

		r.Upstream.Service = a.Service
		r.Upstream.State = a.State
		r.Upstream.Slots = a.Slots
		r.Upstream.Connections = a.Connections

		return r
	})
	h.changed()
}
