package hosts

import (
	"encoding/json"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"time"
)

// life is one process of a host.
type life struct {
	process *exec.Cmd
	ended   chan struct{}
	started time.Time
	// asked is when it was first sent SIGTERM, killed when SIGKILL, over when it ended;
	// zero before.
	asked, killed, over time.Time
	// status is how it ended, nil for an exit without an error.
	status error
	// forced says that it was killed because its stop took too long.
	forced bool
}

// signal sends a signal to the process that runs now.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if len(h.lives) > 0 {
		h.lives[len(h.lives)-1].signal(s)
	}
}

// signalTo sends a signal to a process unless another has followed it.
func (h *host) signalTo(l *life, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()

	l.signal(s)
}

func (l *life) signal(s syscall.Signal) {
	if !l.over.IsZero() {
		return
	}

	now := time.Now()

	switch {
	case s == syscall.SIGTERM && l.asked.IsZero():
		l.asked = now
	case s == syscall.SIGKILL && l.killed.IsZero():
		l.killed = now
	}

	_ = l.process.Process.Signal(s) // one that has ended by itself is found at the end of the run
}

// current returns the process that was started last.
func (h *host) current() *life {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.lives[len(h.lives)-1]
}

// force ends a process whose stop takes too long.
func (h *host) force(l *life) {
	h.mu.Lock()
	defer h.mu.Unlock()

	l.forced = l.killed.IsZero()
	l.signal(syscall.SIGCONT)
	l.signal(syscall.SIGKILL)
}

// wait reports whether the process ends within a bound.
func (l *life) wait(bound time.Duration) bool {
	select {
	case <-l.ended:
		return true
	case <-time.After(bound):
		return false
	}
}

// harmed reports whether the process was killed or paused in a span of time: what it held
// then may be lost.
func (h *host) harmed(s span) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return slices.ContainsFunc(h.lives, func(l *life) bool {
		return !l.killed.IsZero() && s.meets(span{l.killed, l.over})
	}) || slices.ContainsFunc(h.pauses, s.meets)
}

// paused reports whether the process was paused in a span of time.
func (h *host) paused(s span) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return slices.ContainsFunc(h.pauses, s.meets)
}

// stopping reports whether a planned stop was under way in a span of time.
func (h *host) stopping(s span) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return slices.ContainsFunc(h.lives, func(l *life) bool {
		return !l.asked.IsZero() && s.meets(span{l.asked, l.over})
	})
}

// judgeStops looks at how the processes of a host ended.
func (r *Report) judgeStops(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()

	for i, l := range h.lives {
		took := l.over.Sub(l.asked)
		stop := span{l.asked, l.over}

		switch {
		case l.over.IsZero(): // it runs
		case l.asked.IsZero() && l.killed.IsZero():
			r.broken("%s: process %d ended by itself at %s, %s after its start: %v; its log ends: %s",
				h.config.Node, i, l.over.Format(clock), l.over.Sub(l.started), l.status, h.logEnd(l.over))
		case l.asked.IsZero():
		case !l.killed.IsZero() && !l.forced, slices.ContainsFunc(h.pauses, stop.meets):
			r.StopsLeftOut++
		case l.forced || took > grace:
			r.broken("%s: the stop at %s took %s", h.config.Node, l.asked.Format(clock), took)
		default:
			r.Stops++

			if took > r.LongestStop {
				r.LongestStop, r.LongestAt = took, h.config.Node+" at "+l.asked.Format(clock)
			}
		}
	}
}

// logEnd returns the last lines that the processes of a host wrote until a moment.
func (h *host) logEnd(until time.Time) string {
	const lines = 5

	if h.log == nil {
		return "no log"
	}

	data, err := os.ReadFile(h.log.Name())
	if err != nil {
		return err.Error()
	}

	var last []string

	for line := range strings.Lines(string(data)) {
		var stamp struct {
			Time time.Time // decoded without regard to case
		}

		// A line that is no JSON is part of a trace.
		if json.Unmarshal([]byte(line), &stamp) == nil && stamp.Time.After(until) {
			break
		}

		last = append(last, line)
	}

	return strings.Join(last[max(len(last)-lines, 0):], "")
}

// clock is how moments are printed, as in the logs of the processes.
const clock = "15:04:05.000"
