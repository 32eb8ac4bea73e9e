package membership

import (
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Merge takes records and returns how many were news.
func (t *Table) Merge(records []Record) int { return t.MergeFrom("", records) }

// MergeFrom takes records that a node sent and returns how many were news.
func (t *Table) MergeFrom(from string, records []Record) int {
	t.mu.Lock()
	defer t.unlock()

	return t.mergeAll(from, records)
}

// Adopt takes records from a comparison. They are not passed on by gossip: others
// have had them for long, and a node that joins would send the whole table round.
func (t *Table) Adopt(from string, records []Record) int {
	t.mu.Lock()
	defer t.unlock()

	news := t.mergeAll(from, records)

	for _, r := range records {
		if m := t.members[r.ID]; m != nil && m.record.State == StateAlive && r.ID != t.self.ID {
			t.changes.remove(r.ID)
		}
	}

	return news
}

// mergeAll takes records and returns how many were news; t.mu is held.
func (t *Table) mergeAll(from string, records []Record) int {
	news := 0

	for _, r := range records {
		if t.merge(from, r) {
			news++
		}
	}

	return news
}

func (t *Table) merge(from string, r Record) bool {
	if r.ID == t.self.ID {
		return t.refute(r)
	}

	m := t.members[r.ID]
	if m != nil && r.Compare(m.record) <= 0 {
		return false
	}

	switch r.State {
	case StateSuspect, StateDead:
		return t.mergeDoubted(from, m, r)
	case StateAlive, StateLeft:
	}

	if m == nil && r.State == StateLeft {
		// Nobody needs the record of a node that left before it was known here,
		// and passing it round would start its time to be forgotten anew.
		return false
	}

	t.tell(m, r, "")
	t.put(r)

	return true
}

// mergeDoubted takes a record that its sender holds suspect or dead: the record
// as alive, and the belief as an accusation that the node may still refute.
func (t *Table) mergeDoubted(from string, m *member, r Record) bool {
	if m == nil {
		return false
	}

	news := false

	if r.compareWritten(m.record) > 0 {
		r.State = StateAlive
		t.tell(m, r, "")
		t.put(r)

		news = true
	}

	return t.accuse(Belief{ID: r.ID, Epoch: r.Epoch, Seq: r.Seq, State: StateSuspect, By: from}, "") || news
}

// refute answers what others hold of this node. A pause or a lost frame made
// them suspect it, or an earlier life on this host left a record with a higher
// epoch since the clock was set back: without a higher number of its own the
// node would stay dead, or answer for an address that is gone, for good.
func (t *Table) refute(r Record) bool {
	c := r.compareWritten(t.self)

	if r.Incarnation == t.self.Incarnation && (c < 0 || r.State <= t.self.State) {
		return false
	}

	if c < 0 {
		return false
	}

	// What is suspected at an epoch that this process never had is another one.
	if t.replacedBy(r) || (r.State == StateSuspect && r.Epoch > t.self.Epoch) {
		return false
	}

	if r.Epoch > t.self.Epoch || r.Incarnation != t.self.Incarnation {
		t.self.Epoch = r.Epoch + 1
	}

	t.self.Seq = max(t.self.Seq, r.Seq) + 1
	t.put(t.self)
	t.recorder.Record(event.MemberRefuted, timeline.Entry{Detail: "believed " + r.State.String()})

	t.retract()

	return true
}

// replacedBy reports whether a later process has this ID at another address. A
// host that was frozen is replaced and wakes: if both insisted, entries would send
// calls now to the one and now to the other. The earlier one gives way for as long
// as the later one is thought to run.
func (t *Table) replacedBy(r Record) bool {
	if r.Incarnation <= t.self.Incarnation || r.PeerAddress == t.self.PeerAddress || !r.Live() {
		return false
	}

	if !t.replaced {
		t.replaced = true
		t.recorder.Record(event.MemberReplaced, timeline.Entry{Peer: r.ID, Detail: "at " + r.PeerAddress})
	}

	return true
}

// retract stops the spread of what is held of others. A node that others could
// not reach was cut off or frozen, so what it could not reach in that time may be
// well; who meets it again would suspect its own healthy neighbours.
func (t *Table) retract() {
	for id, m := range t.members {
		if m.record.State == StateDead || m.record.State == StateSuspect {
			t.changes.remove(id)
		}
	}
}
