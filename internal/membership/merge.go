package membership

import (
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Merge merges records into the table and returns how many were new or newer.
func (t *Table) Merge(records []Record) int { return t.MergeFrom("", records) }

// MergeFrom merges records that were received from a node and returns how many were new or
// newer.
func (t *Table) MergeFrom(from string, records []Record) int {
	t.mu.Lock()
	defer t.unlock()

	return t.mergeAll(from, records)
}

// MergeCompared merges records from a digest comparison without gossiping them further: other
// nodes already have them, and a joining node would otherwise send out the whole table.
func (t *Table) MergeCompared(from string, records []Record) int {
	t.mu.Lock()
	defer t.unlock()

	updated := t.mergeAll(from, records)

	for _, r := range records {
		if m := t.members[r.ID]; m != nil && m.record.State == StateAlive && r.ID != t.self.ID {
			t.changes.remove(r.ID)
		}
	}

	return updated
}

// mergeAll merges records and returns how many were new or newer; t.mu must be held.
func (t *Table) mergeAll(from string, records []Record) int {
	updated := 0

	for _, r := range records {
		if t.merge(from, r) {
			updated++
		}
	}

	return updated
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
		return t.mergeSuspected(from, m, r)
	case StateAlive, StateLeft:
	}

	if m == nil && r.State == StateLeft {
		// The record of a node that left before it was known in this table is not needed.
		// Passing it on would restart the time until other nodes forget it.
		return false
	}

	t.recordTransition(m, r, "")
	t.store(r)

	return true
}

// mergeSuspected merges a record that its sender considers suspect or dead. The record is
// stored as alive, and the sender's view becomes a suspicion that the node can still refute.
func (t *Table) mergeSuspected(from string, m *member, r Record) bool {
	if m == nil {
		return false
	}

	updated := false

	if r.compareEpochSeq(m.record) > 0 {
		r.State = StateAlive
		t.recordTransition(m, r, "")
		t.store(r)

		updated = true
	}

	return t.addSuspicion(Belief{ID: r.ID, Epoch: r.Epoch, Seq: r.Seq, State: StateSuspect, By: from}, "") || updated
}

// refute raises the local record above a record with another state of this node. Such a record
// comes from a false suspicion after a process stall or a lost frame, or was left by an
// earlier process on this host, with a higher epoch if the clock was set back since. Without a
// higher epoch or sequence number, this node would stay dead for the others, or they would
// keep an address that is no longer in use.
func (t *Table) refute(r Record) bool {
	t.recordPredecessor(r)

	c := r.compareEpochSeq(t.self)

	if r.Incarnation == t.self.Incarnation && (c < 0 || r.State <= t.self.State) {
		return false
	}

	if c < 0 {
		return false
	}

	// A suspicion at an epoch that this process never had is about another process.
	if t.replacedBy(r) || (r.State == StateSuspect && r.Epoch > t.self.Epoch) {
		return false
	}

	if r.Epoch > t.self.Epoch || r.Incarnation != t.self.Incarnation {
		t.self.Epoch = r.Epoch + 1
	}

	t.self.Seq = max(t.self.Seq, r.Seq) + 1
	t.store(t.self)
	t.recorder.Record(event.MemberRefuted, timeline.Entry{Detail: "reported as " + r.State.String()})

	t.withdrawBeliefs()

	return true
}

// recordPredecessor records, once, that an earlier process of this node ended without leaving.
func (t *Table) recordPredecessor(r Record) {
	if t.predecessorLost || r.Incarnation >= t.self.Incarnation || r.State == StateLeft {
		return
	}

	t.predecessorLost = true
	t.recorder.Record(event.ProcessLost, timeline.Entry{
		Detail: "known as " + r.State.String() + ", started " + time.UnixMicro(int64(r.Incarnation)).UTC().Format(time.RFC3339Nano),
	})
}

// replacedBy reports whether a later process has this ID at another address, as after a
// stalled host was replaced and resumes. If both processes insisted on the ID, calls would
// alternate between them, so the earlier process yields while the later one is considered
// alive.
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

// withdrawBeliefs stops sending beliefs about other nodes. A node that others could not reach
// was itself cut off or stalled, so nodes that it failed to reach in that time may be healthy,
// and its beliefs would cause false suspicions of them.
func (t *Table) withdrawBeliefs() {
	for id, m := range t.members {
		if m.record.State == StateDead || m.record.State == StateSuspect {
			t.changes.remove(id)
		}
	}
}
