package announce

import (
	"context"
	"strconv"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/timeline"
)

// departure is an instance that is draining. The channel persisted is closed once the next
// process on this host would find the departure.
type departure struct {
	started   int64
	persisted chan struct{}
}

// isDraining reports whether the instance that sent the heartbeat, or a later one with the
// same ID, is draining. The caller holds h.mu.
func (h *Host) isDraining(b Heartbeat) bool {
	d := h.departures[b.Instance]

	return d != nil && b.Started <= d.started
}

// Deregister stops sending calls to an instance and returns nil once its departure is persisted
// for later processes on this host. A start time of 0 means the running instance, which must
// not get calls after the confirmation either. ErrForeign means that a later instance runs.
func (h *Host) Deregister(ctx context.Context, instance string, started int64) error {
	d := h.depart(ctx, instance, started)
	if d == nil {
		return ErrForeign
	}

	select {
	case <-d.persisted:
		return nil
	case <-ctx.Done():
		return ErrNotKept.Wrap(ctx.Err())
	case <-time.After(confirmTimeout):
		h.options.Recorder.Record(event.LeavingNotKept, timeline.Entry{Detail: instance})

		return ErrNotKept
	}
}

// Withdraw stops sending calls to an instance that said in an answer that it is leaving. Like a
// confirmed departure, this one is persisted for later processes, but nobody waits for it.
func (h *Host) Withdraw(ctx context.Context, instance string, started int64) {
	h.depart(ctx, instance, started)
}

// depart stops sending calls to an instance and persists its departure. It returns nil if a later
// instance is running.
func (h *Host) depart(ctx context.Context, instance string, started int64) *departure {
	d, first := h.beginDeparture(instance, started)
	if d == nil {
		h.Doubt(instance, "departure of the instance started at "+strconv.FormatInt(started, 10)+" rejected: a later instance is running")

		return nil
	}

	h.update(func(s State) State {
		if s.Instance == instance && s.Started <= d.started {
			s.Takes = false
		}

		return s
	})

	if first {
		go h.persist(membudget.Detach(ctx), instance, d)
	}

	return d
}

// beginDeparture returns the departure of an instance and whether it is new. It returns nil
// if a later instance with the same ID is known: the earlier one has ended already.
func (h *Host) beginDeparture(instance string, started int64) (*departure, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	newest := max(h.newest[instance].started, h.currentStart(instance))

	if started == 0 {
		started = newest
	}

	if started < newest {
		return nil, false
	}

	if d := h.departures[instance]; d != nil && d.started >= started {
		return d, false
	}

	d := &departure{started: started, persisted: make(chan struct{})}
	h.departures[instance] = d

	return d, true
}

// currentStart returns the start time of the tracked instance, or 0 if its ID differs.
func (h *Host) currentStart(instance string) int64 {
	if h.state.Instance != instance {
		return 0
	}

	return h.state.Started
}

// persist retries until the departure is persisted.
func (h *Host) persist(ctx context.Context, instance string, d *departure) {
	const pause = 100 * time.Millisecond

	for {
		err := h.options.Keeper.Keep(ctx, instance, d.started)
		if err == nil {
			close(d.persisted)
			h.options.Recorder.Record(event.LeavingKept, timeline.Entry{Detail: instance})

			return
		}

		h.options.Recorder.Record(event.LeavingNotKept, timeline.Entry{Detail: instance + ": " + err.Error()})
		time.Sleep(pause)
	}
}
