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
	domains  map[string]*liveSet // the live nodes by failure domain
	// addresses are the IDs of the records with a peer address: mostly one, more where a
	// node was replaced under its address.
	addresses map[string][]string
	digest    digest
	changes   changes
	index     index
	// untold says that the own record changed and other failure domains were not told.
	untold bool
	// news wakes who spreads changes.
	news chan struct{}
}

type member struct {
	record Record
	weight uint64 // in the order of its failure domain
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
		recorder: recorder, self: self, members: map[string]*member{}, live: newLiveSet(), domains: map[string]*liveSet{},
		addresses: map[string][]string{}, changes: newChanges(), news: make(chan struct{}, 1),
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

	if before.FailureDomain != r.FailureDomain || before.ID == "" {
		old.weight = weight(r.FailureDomain, r.ID)
	}

	if before.State != r.State || r.State == StateAlive {
		old.since = now
	}

	if r.State == StateAlive || r.State == StateLeft {
		old.accusers = nil
	}

	t.move(r.ID, before.PeerAddress, r.PeerAddress)
	t.setLive(before, r)

	if r.ID == t.self.ID {
		t.untold = true
	}

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
			t.move(id, m.record.PeerAddress, "")
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
