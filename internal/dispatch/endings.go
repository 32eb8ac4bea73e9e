package dispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/balancer"
	"github.com/pollencart/pollencart/internal/forward"
)

// process is one process of a node.
type process struct {
	node        string
	incarnation uint64
}

func processOf(c balancer.Candidate) process { return process{c.ID, c.Incarnation} }

// endings are the ends of processes that are being stopped, as they have told in their replies.
type endings struct {
	mu        sync.Mutex
	processes map[process]time.Time
}

func newEndings() *endings { return &endings{processes: map[process]time.Time{}} }

// observe stores the end that the reply of a node tells.
func (e *endings) observe(c balancer.Candidate, reply forward.Reply) {
	if reply.Reason != forward.ReasonEnding {
		return
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	now := time.Now()
	e.processes[processOf(c)] = now.Add(time.Duration(reply.RetryMs) * time.Millisecond)

	for p, end := range e.processes {
		if now.After(end) {
			delete(e.processes, p)
		}
	}
}

// without returns the candidates whose processes do not end before a deadline, as far as known, or all of them if there
// are none.
func (e *endings) without(candidates []balancer.Candidate, deadline time.Time) []balancer.Candidate {
	e.mu.Lock()
	defer e.mu.Unlock()

	if len(e.processes) == 0 {
		return candidates
	}

	now := time.Now()
	out := slices.DeleteFunc(slices.Clone(candidates), func(c balancer.Candidate) bool {
		end, ok := e.processes[processOf(c)]

		return ok && now.Before(end) && deadline.After(end)
	})

	if len(out) == 0 {
		return candidates
	}

	return out
}
