package membership

import (
	"slices"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Table is what one node knows of all nodes.
type Table struct {
	recorder *timeline.Recorder

	mu   sync.RWMutex
	self Record
	// replaced is set once a later process with the same ID was heard of.
	replaced bool
	members  map[string]*member
	live     liveSet
	digest   digest
	changes  changes
	index    index
	// news wakes who spreads changes.
	news chan struct{}
}

type member struct {
	record Record
	since  time.Time
	// accusers are the observers that got no answer, the first of them first.
	accusers []string
}

// NewTable returns a table that knows only its own node.
func NewTable(self Record, recorder *timeline.Recorder) *Table {
	self.State = StateAlive
	if self.Epoch == 0 {
		self.Epoch = self.Incarnation
	}

	t := &Table{
		recorder: recorder, self: self, members: map[string]*member{}, live: newLiveSet(), changes: newChanges(),
		news: make(chan struct{}, 1),
	}
	t.index.init()
	t.put(self)
	t.index.publish()

	return t
}

// Self returns the own record.
func (t *Table) Self() Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.self
}

// Update changes the own record; nobody else does.
func (t *Table) Update(change func(Record) Record) {
	t.mu.Lock()
	defer t.unlock()

	next := change(t.self)
	next.Seq = t.self.Seq + 1
	t.self = next
	t.put(next)
}

// Merge takes records and returns how many were news.
func (t *Table) Merge(records []Record) int { return t.MergeFrom("", records) }

// MergeFrom takes records that a node sent and returns how many were news.
func (t *Table) MergeFrom(from string, records []Record) int {
	t.mu.Lock()
	defer t.unlock()

	news := 0

	for _, r := range records {
		if t.merge(from, r) {
			news++
		}
	}

	return news
}

// Adopt takes records from a comparison. They are not passed on by gossip: others
// have had them for long, and a node that joins would send the whole table round.
func (t *Table) Adopt(from string, records []Record) int {
	t.mu.Lock()
	defer t.unlock()

	news := 0

	for _, r := range records {
		if t.merge(from, r) {
			news++
		}

		if m := t.members[r.ID]; m != nil && m.record.State == StateAlive && r.ID != t.self.ID {
			t.changes.remove(r.ID)
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

// put stores a record and notes it as a change to be spread.
func (t *Table) put(r Record) {
	now := time.Now()
	old := t.members[r.ID]

	if old == nil {
		old = &member{}
		t.members[r.ID] = old
	}

	before := old.record
	old.record = r

	if before.State != r.State || r.State == StateAlive {
		old.since = now
	}

	if r.State == StateAlive || r.State == StateLeft {
		old.accusers = nil
	}

	t.live.set(r.ID, r.Live())
	t.digest.replace(before, r)
	t.note(r.ID)
	t.index.replace(before, r)
}

// note has a node's record or what is held of it spread anew.
func (t *Table) note(id string) {
	t.changes.add(id)

	select {
	case t.news <- struct{}{}:
	default:
	}
}

// tell records a change of belief, not every renewal.
func (t *Table) tell(m *member, r Record, detail string) {
	var old Record
	if m != nil {
		old = m.record
	}

	if old.State == r.State {
		return
	}

	events := map[State]event.Event{
		StateAlive:   event.MemberJoined,
		StateSuspect: event.MemberSuspect,
		StateDead:    event.MemberDead,
		StateLeft:    event.MemberLeft,
	}
	e := events[r.State]

	if r.State == StateAlive && old.State == StateSuspect {
		e = event.MemberCleared
	}

	if detail == "" {
		detail = r.FailureDomain
	}

	t.recorder.Record(e, timeline.Entry{Peer: r.ID, Detail: detail})
}

// Forget drops records of nodes that are dead or left for longer than after.
// They are kept that long so that late gossip can't bring a node back that is
// gone, and so that a node on the other side of a cut is found again.
func (t *Table) Forget(after time.Duration) {
	t.mu.Lock()
	defer t.unlock()

	now := time.Now()

	for id, m := range t.members {
		if !m.record.Live() && id != t.self.ID && now.Sub(m.since) >= after {
			delete(t.members, id)
			t.changes.remove(id)
		}
	}
}

// Records returns all records in the order of IDs.
func (t *Table) Records() []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	out := make([]Record, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m.record)
	}

	slices.SortFunc(out, byID)

	return out
}

// OfService returns the records of all nodes beside backend servers of a service in the
// order of IDs, whatever is believed of them. It looks at all records: not for each call.
func (t *Table) OfService(service string) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	var out []Record

	for _, m := range t.members {
		if m.record.Upstream.Service == service {
			out = append(out, m.record)
		}
	}

	slices.SortFunc(out, byID)

	return out
}

// Find returns the record of a node.
func (t *Table) Find(id string) (Record, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	m := t.members[id]
	if m == nil {
		return Record{}, false
	}

	return m.record, true
}
