package announce

import (
	"context"
	"strconv"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// departure is a start of an instance that is leaving. Kept is closed once the next
// process on this host would find out.
type departure struct {
	started int64
	kept    chan struct{}
}

// isLeaving reports whether the start of the heartbeat was confirmed to leave, or one
// after it. It holds the lock.
func (h *Host) isLeaving(b Heartbeat) bool {
	d := h.leaving[b.Instance]

	return d != nil && b.Started <= d.started
}

// Left takes a start of an instance out of use and returns nil once that is kept for
// later processes on this host. A start of 0 is the one that runs: whoever does not
// tell its start must not be sent calls after it was confirmed to leave. ErrForeign means
// that a later start runs.
func (h *Host) Left(ctx context.Context, instance string, started int64) error {
	d, first := h.depart(instance, started)
	if d == nil {
		h.Doubt(instance, "its start at "+strconv.FormatInt(started, 10)+" leaves, another one runs")

		return ErrForeign
	}

	h.change(func(s State) State {
		if s.Instance == instance && s.Started <= d.started {
			s.Takes = false
		}

		return s
	})

	if first {
		go h.keep(context.WithoutCancel(ctx), instance, d)
	}

	select {
	case <-d.kept:
		return nil
	case <-ctx.Done():
		return ErrNotKept.Wrap(ctx.Err())
	case <-time.After(confirmWithin):
		h.options.Recorder.Record(event.LeavingNotKept, timeline.Entry{Detail: instance})

		return ErrNotKept
	}
}

// depart returns the departure of a start, and whether it is a new one. It is nil if a
// later start of the instance was heard of: the earlier one is gone already.
func (h *Host) depart(instance string, started int64) (*departure, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	newest := max(h.newest[instance].started, h.startedNow(instance))

	if started == 0 {
		started = newest
	}

	if started < newest {
		return nil, false
	}

	if d := h.leaving[instance]; d != nil && d.started >= started {
		return d, false
	}

	d := &departure{started: started, kept: make(chan struct{})}
	h.leaving[instance] = d

	return d, true
}

// startedNow returns the start of the instance that is in use, if it is this one.
func (h *Host) startedNow(instance string) int64 {
	if h.state.Instance != instance {
		return 0
	}

	return h.state.Started
}

// keep tries until the leaving is kept.
func (h *Host) keep(ctx context.Context, instance string, d *departure) {
	const pause = 100 * time.Millisecond

	for {
		err := h.options.Keeper.Keep(ctx, instance, d.started)
		if err == nil {
			close(d.kept)
			h.options.Recorder.Record(event.LeavingKept, timeline.Entry{Detail: instance})

			return
		}

		h.options.Recorder.Record(event.LeavingNotKept, timeline.Entry{Detail: instance + ": " + err.Error()})
		time.Sleep(pause)
	}
}
