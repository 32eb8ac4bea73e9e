package membership

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// maxAccusers is how many observers of one node are remembered and passed on.
// From the third on a suspicion no longer hangs on a single observer's luck.
const maxAccusers = 3

// Suspicion says how long a suspected node may refute.
//
// A herd of false deaths answers to one bad observer: a node whose own link is
// broken, or that is short of processor time, gets no answers from anyone. So
// one accuser alone must wait for the longest time, in which the accused hears
// of it and refutes; each further one shortens the wait.
type Suspicion struct {
	Shortest time.Duration
	Longest  time.Duration
}

// Timeout returns how long a node may refute that so many observers accuse.
func (s Suspicion) Timeout(accusers int) time.Duration {
	if accusers >= maxAccusers {
		return s.Shortest
	}

	share := math.Log(float64(max(accusers, 1))) / math.Log(maxAccusers)

	return s.Longest - time.Duration(share*float64(s.Longest-s.Shortest))
}

// Suspect notes that observers got no answer from a node.
func (t *Table) Suspect(id, why string, observers ...string) {
	t.mu.Lock()
	defer t.unlock()

	m := t.members[id]
	if m == nil {
		return
	}

	if m.record.State == StateDead {
		// Asked once more, since another node holds it for live: tell that it is not.
		t.note(id)
	}

	for _, by := range observers {
		t.accuse(Belief{ID: id, Epoch: m.record.Epoch, Seq: m.record.Seq, State: StateSuspect, By: by}, why)
	}
}

// Believe takes what others hold of nodes.
func (t *Table) Believe(beliefs []Belief) {
	t.mu.Lock()
	defer t.unlock()

	for _, b := range beliefs {
		if b.ID == t.self.ID {
			// A belief about another epoch is about another process with this ID.
			// Only its record tells whether that one replaced this one; refuting
			// the belief would take the ID back from a healthy replacement.
			if b.Epoch != t.self.Epoch {
				continue
			}

			t.refute(Record{ID: b.ID, Incarnation: t.self.Incarnation, Epoch: b.Epoch, Seq: b.Seq, State: b.State})

			continue
		}

		t.believe(b)
	}
}

func (t *Table) believe(b Belief) {
	m := t.members[b.ID]
	if m == nil || b.Epoch != m.record.Epoch || b.Seq != m.record.Seq || !m.record.Live() {
		return
	}

	// A death that was not preceded by a suspicion here is only an accusation:
	// after a cut heals, each side holds the other for dead, and a side that
	// took the word of the other would drop its own healthy backend servers.
	if b.State == StateDead && m.record.State == StateSuspect {
		t.bury(m, b.By)

		return
	}

	b.State = StateSuspect
	t.accuse(b, "")
}

// accuse notes one observer's suspicion and reports whether it was news.
func (t *Table) accuse(b Belief, why string) bool {
	m := t.members[b.ID]
	if m == nil || b.ID == t.self.ID || b.Epoch != m.record.Epoch || b.Seq != m.record.Seq || !m.record.Live() {
		return false
	}

	if len(m.accusers) == maxAccusers || slices.Contains(m.accusers, b.By) {
		return false
	}

	// Right after a cut has healed, the other side accuses all of this one. Who is
	// not held for well here was cut off from here, and its word counts for nothing.
	if by := t.members[b.By]; by != nil && by.record.State != StateAlive {
		return false
	}

	if m.record.State == StateAlive {
		detail := "by " + b.By
		if why != "" {
			detail += ": " + why
		}

		next := m.record.WithState(StateSuspect)
		t.tell(m, next, detail)
		t.put(next)
	}

	m.accusers = append(m.accusers, b.By)
	t.note(b.ID)

	return true
}

func (t *Table) bury(m *member, by string) {
	next := m.record.WithState(StateDead)
	t.tell(m, next, "by "+by+", accused by "+strings.Join(m.accusers, ", "))
	t.put(next)
}

// Expire takes nodes for dead that did not refute in time.
func (t *Table) Expire(s Suspicion) {
	t.mu.Lock()
	defer t.unlock()

	now := time.Now()

	for _, id := range t.index.suspects() {
		if m := t.members[id]; m != nil && now.Sub(m.since) >= s.Timeout(len(m.accusers)) {
			t.bury(m, t.self.ID)
		}
	}
}

// Restart gives all suspected nodes their whole time again. A process that was
// frozen wakes with timers that ran out while it could hear nobody; without this
// it would take for dead whoever it suspected.
func (t *Table) Restart(gap time.Duration) {
	t.mu.Lock()
	defer t.unlock()

	now := time.Now()

	for _, id := range t.index.suspects() {
		t.members[id].since = now
	}

	t.recorder.Record(event.NodePaused, timeline.Entry{Detail: gap.Round(time.Millisecond).String()})
}

// beliefOf returns what is held of a node, if it is not thought to be well.
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

	for _, by := range m.accusers {
		b.By = by
		out = append(out, b)
	}

	return out
}
