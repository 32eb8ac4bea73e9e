// Package upstream connects a node to the backend server on its host: it accepts the
// server's announcements and runs calls on it over HTTP.
//
//	h := upstream.New(table, queue, recorder)
//	h.Announce(upstream.Announcement{Service: "browse", Address: "127.0.0.1:9000", ...})
//	answer, err := h.Run(ctx, c)
package upstream

import (
	"net/http"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/invariant"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/upstream"
)

// ErrAnnouncement is returned for an invalid announcement.
var ErrAnnouncement = upstream.ErrAnnouncement

// Announcement is the description of itself that a backend server sends and renews.
type Announcement = upstream.Announcement

// Host represents the local backend server.
type Host struct {
	table    *membership.Table
	queue    *admission.Queue
	recorder *timeline.Recorder
	options  Options
	keys     *invariant.Keys

	mu        sync.Mutex
	current   Announcement // the last announcement of the backend server
	published Announcement // the last announcement published to other nodes
	expires   time.Time
	damping   damping
	draining  bool
	client    *http.Client
}

// New returns a host without a backend server.
func New(t *membership.Table, q *admission.Queue, r *timeline.Recorder, opts ...Option) *Host {
	return &Host{table: t, queue: q, recorder: r, options: newOptions(opts...), keys: invariant.NewKeys(r)}
}

// Announce handles an announcement or its renewal.
func (h *Host) Announce(a Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	restarted := h.isRestart(a)
	if restarted || h.current.Address != a.Address || h.current.Connections != a.Connections {
		h.resetClient(a.Connections)
	}

	h.current = a
	h.expires = time.Now().Add(time.Duration(a.TTL))
	h.publishIfChanged()

	if restarted {
		h.options.Restarted()
	}

	return nil
}

// isRestart reports whether the announcement comes from another instance of the backend
// server than the last one. Without a start ID, an announcement after Gone counts as a
// restart.
func (h *Host) isRestart(a Announcement) bool {
	if a.Start != "" && h.current.Start != "" {
		return a.Start != h.current.Start
	}

	return h.current.State == upstream.Gone && a.State != upstream.Gone
}

// resetClient drops the connections to an instance that has exited. A call sent on one of
// them can't be distinguished from a call that ran.
func (h *Host) resetClient(connections int) {
	if h.client != nil {
		h.client.CloseIdleConnections()
	}

	h.client = newClient(connections)
}

// Leave admits no further calls, since the node is draining. The backend server is not
// informed and goes on announcing itself as ready; its next renewal must not reopen the
// queue.
func (h *Host) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.draining = true
	if h.current.Service != "" {
		h.publishIfChanged()
	}
}

// Withdraw marks the backend server as gone.
func (h *Host) Withdraw() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.withdraw()
}

func (h *Host) withdraw() {
	if h.current.Service == "" {
		return
	}

	h.current.State = upstream.Gone
	h.publishIfChanged()
}

// Expire withdraws a backend server that has not renewed its announcement because it crashed
// or hangs; otherwise calls would still be sent to it. It also publishes a state that was
// held back.
func (h *Host) Expire() {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.current.Service == "" || h.current.State == upstream.Gone {
		return
	}

	if h.expired() {
		h.recorder.Record(event.UpstreamLost, timeline.Entry{Detail: h.current.Service})
		h.withdraw()
	}

	h.publishIfChanged()
}

// expired reports whether the announcement has expired. Each call checks it too: after a
// process stall, calls run before the timers do, and the backend server may have left long
// ago.
func (h *Host) expired() bool { return time.Now().After(h.expires) }

// publishIfChanged publishes the announcement if it differs from the last published one.
func (h *Host) publishIfChanged() {
	now := time.Now()

	if h.published.State == upstream.Ready && h.current.State != upstream.Ready {
		h.damping.recordLoss(now)
	}

	next := h.current.WithState(h.damping.state(h.current.State, h.published.State, now))
	if h.draining && next.State != upstream.Gone {
		next.State = upstream.Draining
	}

	if next != h.published {
		h.publish(h.published, next)
		h.published = next
	}
}

// Current returns the newest announcement.
func (h *Host) Current() Announcement {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.current
}

// publish applies an announcement to the queue and the local member record.
func (h *Host) publish(old, a Announcement) {
	if old.Service == "" {
		h.recorder.Record(event.UpstreamJoined, timeline.Entry{Detail: a.Service + " " + string(a.State)})
	} else if old.State != a.State {
		h.recorder.Record(event.UpstreamState, timeline.Entry{Detail: a.Service + " " + string(a.State)})
	}

	h.queue.Resize(min(a.Slots, a.Connections))

	if a.State == upstream.Ready {
		h.queue.Open()
	} else {
		h.queue.Close()
	}

	h.table.Update(func(r membership.Record) membership.Record {
		if a.State == upstream.Ready && r.Upstream.State != upstream.Ready {
			r.Upstream.ReadySince = time.Now().UnixMilli()
		}

		r.Upstream.Service = a.Service
		r.Upstream.State = a.State
		r.Upstream.Slots = a.Slots
		r.Upstream.Connections = a.Connections

		return r
	})
	h.options.Changed()
}
