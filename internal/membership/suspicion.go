package membership

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// maxObservers is the maximum number of observers of one node that are stored and passed on.
// Three independent observers make a suspicion robust against a fault of a single one.
const maxObservers = 3

// Suspicion sets how long a suspected node can refute.
//
// A faulty observer, such as a node with a broken link or too little processor time, gets no
// answer from any node and would cause many false deaths. A suspicion by one observer
// therefore waits for the longest time, in which the suspected node learns of it and
// refutes; each further observer shortens the wait.
type Suspicion struct {
	Shortest time.Duration
	Longest  time.Duration
}

// Timeout returns how long a node that is suspected by this many observers can refute.
func (s Suspicion) Timeout(observers int) time.Duration {
	if observers >= maxObservers {
		return s.Shortest
	}

	share := math.Log(float64(max(observers, 1))) / math.Log(maxObservers)

	return s.Longest - time.Duration(share*float64(s.Longest-s.Shortest))
}

// Suspect records that observers got no answer from a node.
func (t *Table) Suspect(id, reason string, observers ...string) {
	t.mu.Lock()
	defer t.unlock()

	m := t.members[id]
	if m == nil {
		return
	}

	if m.record.State == StateDead {
		// The node was probed because another node considers it live: send the belief that it
		// is dead once more.
		t.queueChange(id)
	}

	for _, by := range observers {
		t.addSuspicion(Belief{ID: id, Epoch: m.record.Epoch, Seq: m.record.Seq, State: StateSuspect, By: by}, reason)
	}
}

// MergeBeliefs merges beliefs that were received from another node.
func (t *Table) MergeBeliefs(beliefs []Belief) {
	t.mu.Lock()
	defer t.unlock()

	for _, b := range beliefs {
		if b.ID == t.self.ID {
			// A belief about another epoch is about another process with this ID. Only the
			// record of that process shows whether it replaced this one; refuting the belief
			// would take the ID from a healthy replacement.
			if b.Epoch != t.self.Epoch {
				continue
			}

			t.refute(Record{ID: b.ID, Incarnation: t.self.Incarnation, Epoch: b.Epoch, Seq: b.Seq, State: b.State})

			continue
		}

		t.mergeBelief(b)
	}
}

func (t *Table) mergeBelief(b Belief) {
	m := t.members[b.ID]
	if m == nil || b.Epoch != m.record.Epoch || b.Seq != m.record.Seq || !m.record.Live() {
		return
	}

	// A reported death without a local suspicion counts only as a suspicion: after a partition
	// heals, each side considers the other dead, and accepting such reports would remove
	// healthy local nodes.
	if b.State == StateDead && m.record.State == StateSuspect {
		t.markDead(m, b.By)

		return
	}

	b.State = StateSuspect
	t.addSuspicion(b, "")
}

// addSuspicion records the suspicion of one observer and reports whether it was new.
func (t *Table) addSuspicion(b Belief, reason string) bool {
	m := t.members[b.ID]
	if m == nil || b.ID == t.self.ID || b.Epoch != m.record.Epoch || b.Seq != m.record.Seq || !m.record.Live() {
		return false
	}

	if len(m.observers) == maxObservers || slices.Contains(m.observers, b.By) {
		return false
	}

	// Ignore observers that are not alive in this table. Right after a partition heals, the
	// nodes of the other side suspect all nodes of this one.
	if by := t.members[b.By]; by != nil && by.record.State != StateAlive {
		return false
	}

	if m.record.State == StateAlive {
		detail := "by " + b.By
		if reason != "" {
			detail += ": " + reason
		}

		next := m.record.WithState(StateSuspect)
		t.recordTransition(m, next, detail)
		t.store(next)
	}

	m.observers = append(m.observers, b.By)
	t.queueChange(b.ID)

	return true
}

func (t *Table) markDead(m *member, by string) {
	next := m.record.WithState(StateDead)
	t.recordTransition(m, next, "by "+by+", suspected by "+strings.Join(m.observers, ", "))
	t.store(next)
}

// Expire marks suspected nodes as dead that did not refute in time.
func (t *Table) Expire(s Suspicion) {
	t.mu.Lock()
	defer t.unlock()

	now := time.Now()

	for _, id := range t.index.suspects() {
		if m := t.members[id]; m != nil && now.Sub(m.since) >= s.Timeout(len(m.observers)) {
			t.markDead(m, t.self.ID)
		}
	}
}

// RestartTimeouts restarts the refutation timeouts of all suspected nodes after a process
// stall. The timeouts elapse during a stall while no refutation can be received, so without
// the restart the suspected nodes would be marked dead.
func (t *Table) RestartTimeouts(gap time.Duration) {
	t.mu.Lock()
	defer t.unlock()

	now := time.Now()

	for _, id := range t.index.suspects() {
		t.members[id].since = now
	}

	t.recorder.Record(event.NodePaused, timeline.Entry{Detail: gap.Round(time.Millisecond).String()})
}

// beliefsOf returns the beliefs about a node, if it is suspect or dead.
func (t *Table) beliefsOf(id string) []Belief {
	m := t.members[id]
	if m == nil {
		return nil
	}

	b := Belief{ID: id, Epoch: m.record.Epoch, Seq: m.record.Seq, State: m.record.State}

	switch m.record.State {
	case StateAlive, StateLeft:
		return nil
	case StateDead:
		b.By = t.self.ID

		return []Belief{b}
	case StateSuspect:
	}

	var out []Belief

	for _, by := range m.observers {
		b.By = by
		out = append(out, b)
	}

	return out
}
