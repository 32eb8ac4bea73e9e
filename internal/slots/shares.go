package slots

import "time"

// maxWorkspaces bounds the workspaces whose slot time is kept.
const maxWorkspaces = 4096

// isAbove reports whether the call's workspace is above its fair share of the slot time. Nested calls
// keep their place.
func (q *Queue) isAbove(w Work, now time.Time) bool {
	if w.Workspace == "" || w.Nested {
		return false
	}

	return q.shares.Above(w.Workspace, q.admittedShare[rankIndex(w)], now)
}

// updateAbove brings the waiting calls up to date with the shares of their workspaces.
func (q *Queue) updateAbove(now time.Time) {
	if q.shares.Len() == 0 {
		return
	}

	for _, s := range q.waiting {
		s.above = q.isAbove(s.work, now)
	}
}

// charge adds slot time of the call to the use of its workspace.
func (q *Queue) charge(s *Slot, slotTime time.Duration, now time.Time) {
	if s.work.Workspace != "" {
		q.shares.Charge(s.work.Workspace, slotTime, now)
	}
}

// uncharge takes back the charge of a call that has a slot and doesn't run.
func (q *Queue) uncharge(s *Slot, now time.Time) {
	if _, granted := q.running[s]; granted {
		q.charge(s, -s.serviceTime, now)
	}
}

// passes reports whether the call goes before another of its rank because of the shares.
func (s *Slot) passes(o *Slot) bool {
	return o.above && !s.above && s.work.Nested == o.work.Nested && s.work.Rank == o.work.Rank
}

// Share returns the part of the recent slot time that the workspace's calls used, from 0 to 1.
func (q *Queue) Share(workspace string) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.shares.Share(workspace, time.Now())
}

// PassedOver returns the number of times that a call was passed over or replaced because its workspace
// was above its fair share.
func (q *Queue) PassedOver() int {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.passedOver
}
