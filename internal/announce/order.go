package announce

import "strconv"

// position orders the heartbeats of an instance ID.
type position struct {
	started  int64
	sequence uint64
}

func (m position) after(o position) bool {
	if m.started != o.started {
		return m.started > o.started
	}

	return m.sequence > o.sequence
}

// observe records the heartbeat and reports whether it is the newest of its instance ID.
func (h *Host) observe(b Heartbeat) bool {
	h.mu.Lock()
	last, ok := h.newest[b.Instance]
	next := position{started: b.Started, sequence: b.Sequence}
	newer := !ok || next.after(last)

	if newer {
		h.newest[b.Instance] = next
	}
	h.mu.Unlock()

	if b.Started < last.started {
		h.Doubt(b.Instance, "heartbeat of the instance started at "+strconv.FormatInt(b.Started, 10)+
			", but a later one started at "+strconv.FormatInt(last.started, 10))
	}

	return newer
}

// mayHaveRestarted reports whether an old heartbeat is of the tracked instance while that
// accepts no calls. The backend server may have restarted without reporting a start time; it
// would then stay unused until its sequence catches up. A health check shows which instance
// runs.
func (h *Host) mayHaveRestarted(b Heartbeat) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.state.Instance == b.Instance && h.state.Started == b.Started && !h.state.Takes && !h.isDraining(b)
}

// status classifies the instance that sent a heartbeat.
type status uint8

const (
	// unknown instances are verified by a health check.
	unknown status = iota
	active
	draining
)

func (h *Host) status(b Heartbeat) status {
	h.mu.Lock()
	defer h.mu.Unlock()

	old := h.newest[b.Instance].after(position{started: b.Started, sequence: b.Sequence})

	switch {
	case h.isDraining(b):
		return draining
	case old:
		return unknown
	case h.state.Instance == b.Instance && (h.state.Started == b.Started || h.state.Started == 0):
		// An instance that was activated by its health check has no known start time. Its
		// departure was not confirmed, whichever start it is.
		return active
	}

	return unknown
}
