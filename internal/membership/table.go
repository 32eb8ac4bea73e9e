package membership

import (
	"slices"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Table is one node's view of all nodes.
type Table struct {
	recorder *timeline.Recorder

	mu   sync.RWMutex
	self Record
	// replaced is set once a later process with the same ID is known.
	replaced bool
	// predecessorLost is set once the loss of an earlier process of this node was recorded.
	predecessorLost bool
	members         map[string]*member
	live            liveSet
	domains         map[string]*liveSet // live nodes by failure domain
	// addresses maps peer addresses to node IDs: usually one, more after a node was replaced
	// at the same address.
	addresses map[string][]string
	digest    digest
	changes   changes
	index     index
	// selfChanged is set while a change of the local record has not been sent to other failure
	// domains.
	selfChanged bool
	// changed wakes the goroutine that sends changes.
	changed chan struct{}
}

type member struct {
	record Record
	weight uint64 // rendezvous hash within the failure domain
	since  time.Time
	// observers are the nodes that got no answer from the member, in order of report.
	observers []string
}

// NewTable returns a table that contains only the local node.
func NewTable(self Record, recorder *timeline.Recorder) *Table {
	self.State = StateAlive
	if self.Epoch == 0 {
		self.Epoch = self.Incarnation
	}

	t := &Table{
		recorder: recorder, self: self, members: map[string]*member{}, live: newLiveSet(), domains: map[string]*liveSet{},
		addresses: map[string][]string{}, changes: newChanges(), changed: make(chan struct{}, 1),
	}
	t.index.init()
	t.store(self)
	t.index.publish()

	return t
}

// Self returns the local record.
func (t *Table) Self() Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.self
}

// Update changes the local record, which only this node writes.
func (t *Table) Update(change func(Record) Record) {
	t.mu.Lock()
	defer t.unlock()

	next := change(t.self)
	next.Seq = t.self.Seq + 1
	t.self = next
	t.store(next)
}

// store stores a record and queues the change.
func (t *Table) store(r Record) {
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
		old.observers = nil
	}

	t.updateAddress(r.ID, before.PeerAddress, r.PeerAddress)
	t.setLive(before, r)

	if r.ID == t.self.ID {
		t.selfChanged = true
	}

	t.digest.replace(before, r)
	t.queueChange(r.ID)
	t.index.replace(before, r)
}

// queueChange queues a node's record and the beliefs about it to be sent.
func (t *Table) queueChange(id string) {
	t.changes.add(id)

	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// recordTransition records an event if the state of a node changes.
func (t *Table) recordTransition(m *member, r Record, detail string) {
	var old Record
	if m != nil {
		old = m.record
	}

	if m != nil && r.State == StateAlive && r.Incarnation > old.Incarnation && old.State != StateLeft {
		t.recorder.Record(event.MemberRestarted, timeline.Entry{Peer: r.ID, Detail: "was " + old.State.String()})
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

// Forget drops records of nodes that have been dead or left for longer than after. Until then
// they prevent late gossip from reviving a terminated node, and allow a node on the other side
// of a network partition to be found again.
func (t *Table) Forget(after time.Duration) {
	t.mu.Lock()
	defer t.unlock()

	now := time.Now()

	for id, m := range t.members {
		if !m.record.Live() && id != t.self.ID && now.Sub(m.since) >= after {
			delete(t.members, id)
			t.changes.remove(id)
			t.updateAddress(id, m.record.PeerAddress, "")
		}
	}
}

// Records returns all records, sorted by ID.
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

// OfService returns the records of all nodes with a local backend server of a service, in any
// state, sorted by ID. It scans all records, so it is not meant for the call path.
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
