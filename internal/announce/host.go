// Package announce tracks the backend server on a node's host by its heartbeats: which
// instance runs, whether it accepts calls, and whether it is draining.
//
// # Problem
//
// A heartbeat may arrive seconds late, possibly after its sender has crashed and another
// instance has started at the same address. If such a heartbeat were accepted, a terminated
// backend server would receive calls again. A heartbeat therefore counts only if its
// sequence is higher than the last one of its instance, a draining instance stays draining,
// and an unknown instance is verified by a health check.
//
// A backend server may also restart under the same instance ID. Its heartbeat sequence
// starts from one again, and it knows nothing of an earlier departure. Ordered by sequence
// alone, its heartbeats would look old, and it would stay unused for as long as the earlier
// instance had run. Heartbeats are therefore ordered by start time, then by sequence, and a
// departure applies to one start time and those before it.
//
// A confirmed departure must hold for all later processes of the node. It is confirmed only
// once it is persisted where the next process finds it.
//
// # Usage
//
//	h := announce.New(announce.Probe(probe), announce.WithKeeper(tombstones), announce.Changed(update))
//	err := h.HandleHeartbeat(ctx, heartbeat) // nil confirms
package announce

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrNotKept means that a departure can't be confirmed yet.
var ErrNotKept = errs.New("announce.not_kept", http.StatusServiceUnavailable, "the leaving is not kept yet, ask again")

// ErrForeign is returned for a message that no backend server on this host can have sent.
// Other nodes may go on sending calls to its sender, so a departure must not be confirmed.
var ErrForeign = errs.New("announce.foreign", http.StatusServiceUnavailable, "no backend server on this host said that")

// confirmTimeout bounds a reply to a backend server, which waits one second for it.
const confirmTimeout = 800 * time.Millisecond

// Heartbeat is a status report of a backend server.
type Heartbeat struct {
	Instance string
	// Started is the start time in Unix milliseconds, or 0 if the backend server does not
	// report it. It is taken from the backend server's clock and only orders the starts of
	// one instance ID.
	Started int64
	Service string
	Address string
	// Version is the version of the backend server's software, "" if unknown.
	Version string
	Slots   int
	// Sequence rises with each heartbeat after a start.
	Sequence uint64
	Leaving  bool
	// Cold is the remaining time of the slow start.
	Cold time.Duration
}

// State is the current state of the backend server.
type State struct {
	Instance string
	// Started is the start time of the instance, or 0 if it was not reported.
	Started int64
	// Version is the version of the instance, "" before its first heartbeat.
	Version string
	Slots   int
	// Takes reports whether calls may be sent to the backend server.
	Takes bool
	// Cold is the end of the slow start.
	Cold time.Time
}

// Host tracks one backend server.
type Host struct {
	options Options

	mu         sync.Mutex
	state      State
	newest     map[string]position
	departures map[string]*departure
	verifying  map[string]bool
}

// New returns a Host without a known instance.
func New(opts ...Option) *Host {
	return &Host{
		options: newOptions(opts...), newest: map[string]position{}, departures: map[string]*departure{},
		verifying: map[string]bool{},
	}
}

// State returns the current state.
func (h *Host) State() State {
	h.mu.Lock()
	s := h.state
	h.mu.Unlock()

	s.Takes = s.Takes && h.options.Permits()

	return s
}

// HandleHeartbeat handles a heartbeat. A nil error confirms it; for a draining instance this
// guarantees that it gets no new calls.
func (h *Host) HandleHeartbeat(ctx context.Context, b Heartbeat) error {
	if h.options.Service != "" && b.Service != h.options.Service {
		h.Doubt(b.Instance, "heartbeat of service "+b.Service+", but the backend server on this host is of service "+h.options.Service)

		return ErrForeign
	}

	if b.Leaving {
		h.observe(b)

		return h.Deregister(ctx, b.Instance, b.Started)
	}

	if !h.observe(b) && !h.mayHaveRestarted(b) {
		return nil
	}

	switch h.status(b) {
	case draining:
	case active:
		h.refresh(b)
	case unknown:
		go h.verify(membudget.Detach(ctx), b)
	}

	return nil
}

// Doubt records a rejected message, once for each instance and reason.
func (h *Host) Doubt(instance, reason string) {
	h.options.Recorder.Once(event.InstanceDoubted, timeline.Entry{Detail: instance + ": " + reason})
}

func (h *Host) refresh(b Heartbeat) {
	h.update(func(s State) State {
		if s.Instance == b.Instance && !h.isDraining(b) {
			s.Started, s.Version, s.Slots, s.Takes = b.Started, b.Version, b.Slots, true
		}

		return s
	})
}

// verify checks that an unknown instance runs on this host and that no earlier process
// confirmed its departure, and then activates it.
func (h *Host) verify(ctx context.Context, b Heartbeat) {
	if !h.beginVerify(b.Instance) {
		return
	}
	defer h.endVerify(b.Instance)

	found := h.options.Probe(ctx)
	if found.Instance != b.Instance {
		h.options.Recorder.Record(event.InstanceDoubted, timeline.Entry{
			Detail: "heartbeat of " + b.Instance + ", but its address is served by " + found.Instance,
		})

		return
	}

	h.activateUnlessDeparted(ctx, b, found.Healthy)
}

// Find queries the backend server for its instance ID before its first heartbeat. When only
// the node restarts, a running backend server would otherwise stay unused until its next
// heartbeat, for half a second on average.
func (h *Host) Find(ctx context.Context) {
	found := h.options.Probe(ctx)
	if !found.Healthy || found.Instance == "" || found.Slots == 0 || h.State().Instance != "" {
		return // its heartbeat decides
	}

	if !h.beginVerify(found.Instance) {
		return
	}
	defer h.endVerify(found.Instance)

	h.activateUnlessDeparted(ctx, Heartbeat{Instance: found.Instance, Slots: found.Slots}, true)
}

// activateUnlessDeparted activates an instance that responds at its address, unless its
// departure was confirmed. If that can't be determined, only a healthy instance is activated.
func (h *Host) activateUnlessDeparted(ctx context.Context, b Heartbeat, healthy bool) {
	departed, err := h.departed(ctx, b)

	switch {
	case departed:
		h.options.Recorder.Record(event.InstanceDoubted, timeline.Entry{Detail: b.Instance + " has departed"})
	case err != nil && !healthy:
		h.options.Recorder.Record(event.InstanceDoubted, timeline.Entry{
			Detail: b.Instance + " is unhealthy, and its departure can't be ruled out: " + err.Error(),
		})
	default:
		h.activate(b)
	}
}

func (h *Host) departed(ctx context.Context, b Heartbeat) (bool, error) {
	if h.options.FirstStart {
		return false, nil
	}

	return h.options.Keeper.Departed(ctx, b.Instance, b.Started)
}

func (h *Host) activate(b Heartbeat) {
	h.update(func(s State) State {
		if h.isDraining(b) || h.newest[b.Instance].started > b.Started {
			return s
		}

		return State{
			Instance: b.Instance, Started: b.Started, Version: b.Version, Slots: b.Slots, Takes: true, Cold: time.Now().Add(b.Cold),
		}
	})
}

func (h *Host) beginVerify(instance string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.verifying[instance] {
		return false
	}

	h.verifying[instance] = true

	return true
}

func (h *Host) endVerify(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()

	delete(h.verifying, instance)
}

// Down marks the instance as not accepting calls because it does not respond at its address.
// Its next heartbeat activates it again.
func (h *Host) Down(instance string) {
	h.update(func(s State) State {
		if s.Instance == instance {
			s.Takes = false
		}

		return s
	})
}

// Replaced clears the state after another instance than the expected one responded.
func (h *Host) Replaced(instance string) {
	h.update(func(s State) State {
		if s.Instance == instance {
			return State{}
		}

		return s
	})
}

func (h *Host) update(f func(State) State) {
	h.mu.Lock()
	before := h.state
	h.state = f(before)
	after := h.state
	h.mu.Unlock()

	if before != after {
		h.options.Recorder.Record(event.InstanceState, timeline.Entry{Detail: after.describe()})
		h.options.Changed(after)
	}
}

func (s State) describe() string {
	if s.Takes {
		return s.Instance + " takes calls"
	}

	return s.Instance + " takes no calls"
}
