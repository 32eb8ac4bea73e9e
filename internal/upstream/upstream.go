// Package upstream speaks HTTP with the backend server on this host: it takes
// its announcements and runs calls on it.
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

// ErrAnnouncement is returned for an announcement that does not check.
var ErrAnnouncement = upstream.ErrAnnouncement

// Announcement is what a backend server says of itself, and renews.
type Announcement = upstream.Announcement

// Host is the backend server on this host.
type Host struct {
	table    *membership.Table
	queue    *admission.Queue
	recorder *timeline.Recorder
	options  Options
	keys     *invariant.Keys

	mu      sync.Mutex
	current Announcement // what the backend server said last
	told    Announcement // what the others were told last
	expires time.Time
	damping damping
	leaving bool
	client  *http.Client
}

// New returns a host without a backend server.
func New(t *membership.Table, q *admission.Queue, r *timeline.Recorder, opts ...Option) *Host {
	return &Host{table: t, queue: q, recorder: r, options: newOptions(opts...), keys: invariant.NewKeys(r)}
}

// Announce takes an announcement or its renewal.
func (h *Host) Announce(a Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	again := h.startedAgain(a)
	if again || h.current.Address != a.Address || h.current.Connections != a.Connections {
		h.connectAnew(a.Connections)
	}

	h.current = a
	h.expires = time.Now().Add(time.Duration(a.TTL))
	h.tell()

	if again {
		h.options.Restarted()
	}

	return nil
}

// startedAgain reports whether another process of the backend server speaks than before.
// One that does not tell its start is taken for another one if the last had said that it
// is gone.
func (h *Host) startedAgain(a Announcement) bool {
	if a.Start != "" && h.current.Start != "" {
		return a.Start != h.current.Start
	}

	return h.current.State == upstream.Gone && a.State != upstream.Gone
}

// connectAnew leaves the connections to a process that ended. A call that is sent on one
// of them can't be told from a call that ran.
func (h *Host) connectAnew(connections int) {
	if h.client != nil {
		h.client.CloseIdleConnections()
	}

	h.client = newClient(connections)
}

// Leave lets nothing new in from now on, since the node on this host stops. The
// backend server does not know and goes on announcing itself as ready; without
// this its next renewal would open the gate again.
func (h *Host) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.leaving = true
	if h.current.Service != "" {
		h.tell()
	}
}

// Withdraw notes that the backend server is gone.
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
	h.tell()
}

// Expire withdraws a backend server that did not renew. It crashed or hangs;
// without this, calls would go on being sent to it.
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

	h.tell()
}

// expired reports whether the announcement ran out. It is looked at for each
// call too: a process that was frozen wakes before its own timers have run, and
// would send calls to a backend server that left long ago.
func (h *Host) expired() bool { return time.Now().After(h.expires) }

// tell tells the others if there is news.
func (h *Host) tell() {
	now := time.Now()

	if h.told.State == upstream.Ready && h.current.State != upstream.Ready {
		h.damping.lose(now)
	}

	next := h.current.WithState(h.damping.state(h.current.State, h.told.State, now))
	if h.leaving && next.State != upstream.Gone {
		next.State = upstream.Draining
	}

	if next != h.told {
		h.publish(h.told, next)
		h.told = next
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
