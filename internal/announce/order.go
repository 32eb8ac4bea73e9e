package announce

import "strconv"

// moment orders the heartbeats of an instance.
type moment struct {
	started  int64
	sequence uint64
}

func (m moment) after(o moment) bool {
	if m.started != o.started {
		return m.started > o.started
	}

	return m.sequence > o.sequence
}

// note reports whether the heartbeat is the newest of its instance.
func (h *Host) note(b Heartbeat) bool {
	h.mu.Lock()
	last, ok := h.newest[b.Instance]
	next := moment{started: b.Started, sequence: b.Sequence}
	newer := !ok || next.after(last)

	if newer {
		h.newest[b.Instance] = next
	}
	h.mu.Unlock()

	if b.Started < last.started {
		h.Doubt(b.Instance, "a heartbeat of its start at "+strconv.FormatInt(b.Started, 10)+
			", another began at "+strconv.FormatInt(last.started, 10))
	}

	return newer
}

// idle reports whether an old heartbeat is of the instance here, which is out of use. It
// may have started again without telling a start, and would stay out of use until its
// sequence has caught up; its health answer tells who runs.
func (h *Host) idle(b Heartbeat) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.state.Instance == b.Instance && h.state.Started == b.Started && !h.state.Takes && !h.isLeaving(b)
}

// standing is what is known of the start that sent a heartbeat.
type standing uint8

const (
	// unheard starts are asked for their name.
	unheard standing = iota
	inUse
	departing
)

func (h *Host) standing(b Heartbeat) standing {
	h.mu.Lock()
	defer h.mu.Unlock()

	old := h.newest[b.Instance].after(moment{started: b.Started, sequence: b.Sequence})

	switch {
	case h.isLeaving(b):
		return departing
	case old:
		return unheard
	case h.state.Instance == b.Instance && (h.state.Started == b.Started || h.state.Started == 0):
		// One that was found by its health answer did not tell its start. It had not
		// left, whichever it was.
		return inUse
	}

	return unheard
}
