// Package announce follows the backend server on a node's host by its heartbeats:
// which instance it is, whether it takes calls, and whether it is leaving.
//
// # What goes wrong without it
//
// A heartbeat may arrive seconds late, also after its sender has crashed and
// another instance has started at the same address; taken at its word it would
// bring back a backend server that has left. So a heartbeat counts only if its
// sequence is higher than the last one of its instance, an instance that is
// leaving stays so, and one that was never heard of is asked for its name.
//
// A backend server may also start again under the name that it had. It counts its
// heartbeats from one again and knows nothing of an earlier leaving. Ordered by
// sequence alone its heartbeats would look old, and it would stay unused for as long
// as the earlier start had run. So heartbeats are ordered by start, then by sequence,
// and a leaving belongs to one start.
//
// A confirmation that an instance may leave binds all later processes on the host.
// It is given only after the leaving has been kept where the next process finds it.
//
// # Usage
//
//	h := announce.New(announce.Probe(pool.Probe), announce.Keep(departures), announce.Changed(tell))
//	err := h.Heard(ctx, heartbeat) // nil confirms
package announce

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrNotKept means that a leaving can't be confirmed yet.
var ErrNotKept = errs.New("announce.not_kept", http.StatusServiceUnavailable, "the leaving is not kept yet, ask again")

// ErrForeign is returned for a word that is of no backend server on this host. Confirmed,
// it would promise something for one that others go on sending calls to.
var ErrForeign = errs.New("announce.foreign", http.StatusServiceUnavailable, "no backend server on this host said that")

// confirmWithin bounds an answer to a backend server, which waits a second for it.
const confirmWithin = 800 * time.Millisecond

// Heartbeat is what a backend server says of itself.
type Heartbeat struct {
	Instance string
	// Started is when this start of the instance began, in Unix milliseconds, or 0 if
	// it does not say. Starts of an instance are ordered by it and nothing else is: the
	// clock is the backend server's.
	Started int64
	Service string
	Address string
	Slots   int
	// Sequence rises with each heartbeat of a start.
	Sequence uint64
	Leaving  bool
	// Cold is how much longer the instance is slow after its start.
	Cold time.Duration
}

// State is what is known of the backend server.
type State struct {
	Instance string
	// Started tells starts of the instance apart; 0 if it did not say.
	Started int64
	Slots   int
	// Takes says whether calls may be sent to it.
	Takes bool
	// Cold says until when it is slow.
	Cold time.Time
}

// Host follows one backend server.
type Host struct {
	options Options

	mu       sync.Mutex
	state    State
	newest   map[string]moment
	leaving  map[string]*departure
	checking map[string]bool
}

// New returns a host that has heard nothing.
func New(opts ...Option) *Host {
	return &Host{
		options: newOptions(opts...), newest: map[string]moment{}, leaving: map[string]*departure{},
		checking: map[string]bool{},
	}
}

// State returns what is known now.
func (h *Host) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.state
}

// Heard takes a heartbeat. Nil confirms it; for an instance that is leaving this is
// the promise that it gets no new calls.
func (h *Host) Heard(ctx context.Context, b Heartbeat) error {
	if h.options.Service != "" && b.Service != h.options.Service {
		h.Doubt(b.Instance, "it is of service "+b.Service+", the one on this host of "+h.options.Service)

		return ErrForeign
	}

	if b.Leaving {
		h.note(b)

		return h.Left(ctx, b.Instance, b.Started)
	}

	if !h.note(b) && !h.idle(b) {
		return nil
	}

	switch h.standing(b) {
	case departing:
	case inUse:
		h.refresh(b)
	case unheard:
		go h.examine(context.WithoutCancel(ctx), b)
	}

	return nil
}

// Doubt tells of a word that was not believed, once for each instance and reason.
func (h *Host) Doubt(instance, reason string) {
	h.options.Recorder.Once(event.InstanceDoubted, timeline.Entry{Detail: instance + ": " + reason})
}

func (h *Host) refresh(b Heartbeat) {
	h.change(func(s State) State {
		if s.Instance == b.Instance && !h.isLeaving(b) {
			s.Started, s.Slots, s.Takes = b.Started, b.Slots, true
		}

		return s
	})
}

// examine finds out whether an instance that was not heard of before runs here
// now, and whether it was on its way out when an earlier process ended.
func (h *Host) examine(ctx context.Context, b Heartbeat) {
	if !h.beginCheck(b.Instance) {
		return
	}
	defer h.endCheck(b.Instance)

	found := h.options.Probe(ctx)
	if found.Instance != b.Instance {
		h.options.Recorder.Record(event.InstanceDoubted, timeline.Entry{
			Detail: "heartbeat of " + b.Instance + ", at its address answers " + found.Instance,
		})

		return
	}

	h.judge(ctx, b, found.Healthy)
}

// Find asks the backend server for its name before it is heard of. A process that
// starts again beside one that runs would leave it unused until its next heartbeat,
// half a second in the mean.
func (h *Host) Find(ctx context.Context) {
	found := h.options.Probe(ctx)
	if !found.Healthy || found.Instance == "" || found.Slots == 0 || h.State().Instance != "" {
		return // its heartbeat will tell
	}

	if !h.beginCheck(found.Instance) {
		return
	}
	defer h.endCheck(found.Instance)

	h.judge(ctx, Heartbeat{Instance: found.Instance, Slots: found.Slots}, true)
}

// judge takes an instance into use that answers at its address, unless it was
// confirmed to leave.
func (h *Host) judge(ctx context.Context, b Heartbeat, healthy bool) {
	departed, err := h.departed(ctx, b)
	if departed || (err != nil && !healthy) {
		h.options.Recorder.Record(event.InstanceDoubted, timeline.Entry{Detail: b.Instance + " is leaving or can't be told from one that is"})

		return
	}

	h.adopt(b)
}

func (h *Host) departed(ctx context.Context, b Heartbeat) (bool, error) {
	if h.options.FirstStart {
		return false, nil
	}

	return h.options.Keeper.Departed(ctx, b.Instance, b.Started)
}

func (h *Host) adopt(b Heartbeat) {
	h.change(func(s State) State {
		if h.isLeaving(b) || h.newest[b.Instance].started > b.Started {
			return s
		}

		return State{Instance: b.Instance, Started: b.Started, Slots: b.Slots, Takes: true, Cold: time.Now().Add(b.Cold)}
	})
}

func (h *Host) beginCheck(instance string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.checking[instance] {
		return false
	}

	h.checking[instance] = true

	return true
}

func (h *Host) endCheck(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()

	delete(h.checking, instance)
}

// Down tells that the instance does not answer at its address; its next heartbeat
// brings it back.
func (h *Host) Down(instance string) {
	h.change(func(s State) State {
		if s.Instance == instance {
			s.Takes = false
		}

		return s
	})
}

// Replaced tells that another instance answered than the one that was expected.
func (h *Host) Replaced(instance string) {
	h.change(func(s State) State {
		if s.Instance == instance {
			return State{}
		}

		return s
	})
}

func (h *Host) change(f func(State) State) {
	h.mu.Lock()
	before := h.state
	h.state = f(before)
	after := h.state
	h.mu.Unlock()

	if before != after {
		h.options.Recorder.Record(event.InstanceState, timeline.Entry{Detail: after.text()})
		h.options.Changed(after)
	}
}

func (s State) text() string {
	if s.Takes {
		return s.Instance + " takes calls"
	}

	return s.Instance + " takes no calls"
}
