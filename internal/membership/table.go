package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Table is what one node knows of all nodes.
type Table struct {
	recorder *timeline.Recorder

	mu      sync.RWMutex
	self    Record
	members map[string]member
	hash    uint64
}

type member struct {
	record Record
	since  time.Time
}

// NewTable returns a table that knows only its own node.
func NewTable(self Record, recorder *timeline.Recorder) *Table {
	self.State = StateAlive
	t := &Table{recorder: recorder, self: self, members: map[string]member{}}
	t.put(self)

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
	defer t.mu.Unlock()

	next := change(t.self)
	next.Seq = t.self.Seq + 1
	t.self = next
	t.put(next)
}

// Merge takes records that arrived and returns how many were news.
func (t *Table) Merge(records []Record) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	news := 0

	for _, r := range records {
		if t.merge(r) {
			news++
		}
	}

	return news
}

func (t *Table) merge(r Record) bool {
	if r.ID == t.self.ID {
		return t.refute(r)
	}

	old, known := t.members[r.ID]
	if known && r.Compare(old.record) <= 0 {
		return false
	}

	t.put(r)
	t.tell(old.record, r, known)

	return true
}

// refute answers a wrong belief about this node: a pause or a lost frame made
// others suspect it, and without a higher number the belief would win.
func (t *Table) refute(r Record) bool {
	if r.Compare(t.self) <= 0 || r.State == StateAlive {
		return false
	}

	t.self.Seq = r.Seq + 1
	t.put(t.self)
	t.recorder.Record(event.MemberRefuted, timeline.Entry{Detail: "believed " + r.State.String()})

	return true
}

func (t *Table) put(r Record) {
	if old, ok := t.members[r.ID]; ok {
		t.hash ^= hashOf(old.record)
	}

	t.members[r.ID] = member{record: r, since: time.Now()}
	t.hash ^= hashOf(r)
}

func hashOf(r Record) uint64 {
	var d xxhash.Digest

	d.Reset()
	_, _ = d.WriteString(r.ID)

	var buf [17]byte
	binary.BigEndian.PutUint64(buf[:], r.Incarnation)
	binary.BigEndian.PutUint64(buf[8:], r.Seq)
	buf[16] = byte(r.State)
	_, _ = d.Write(buf[:])

	return d.Sum64()
}

// tell records a change of belief, not every renewal.
func (t *Table) tell(old, r Record, known bool) {
	if known && old.State == r.State {
		return
	}

	if r.State == StateAlive && known && old.Live() {
		return
	}

	events := map[State]event.Event{
		StateAlive:   event.MemberJoined,
		StateSuspect: event.MemberSuspect,
		StateDead:    event.MemberDead,
		StateLeft:    event.MemberLeft,
	}
	t.recorder.Record(events[r.State], timeline.Entry{Peer: r.ID, Detail: r.FailureDomain})
}

// Suspect notes that a node did not answer.
func (t *Table) Suspect(id string) {
	t.believe(id, StateAlive, StateSuspect)
}

func (t *Table) believe(id string, from, to State) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if m, ok := t.members[id]; ok && m.record.State == from && id != t.self.ID {
		t.merge(m.record.WithState(to))
	}
}

// Expire takes nodes for dead that were suspected for too long.
func (t *Table) Expire(suspicion time.Duration) {
	now := time.Now()

	for _, m := range t.snapshot() {
		if m.record.State == StateSuspect && now.Sub(m.since) >= suspicion {
			t.believe(m.record.ID, StateSuspect, StateDead)
		}
	}
}

func (t *Table) snapshot() []member {
	t.mu.RLock()
	defer t.mu.RUnlock()

	out := make([]member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m)
	}

	return out
}

// Hash is equal on two nodes that believe the same.
func (t *Table) Hash() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.hash
}

// Records returns all records in the order of IDs.
func (t *Table) Records() []Record {
	members := t.snapshot()
	out := make([]Record, len(members))

	for i, m := range members {
		out[i] = m.record
	}

	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })

	return out
}

// Live returns the records of nodes that are thought to run.
func (t *Table) Live() []Record {
	return slices.DeleteFunc(t.Records(), func(r Record) bool { return !r.Live() })
}

// Find returns the record of a node.
func (t *Table) Find(id string) (Record, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	m, ok := t.members[id]

	return m.record, ok
}

// CountReady returns how many nodes have a backend server that takes calls.
func (t *Table) CountReady() int {
	t.mu.RLock()
	defer t.mu.RUnlock()

	n := 0

	for _, m := range t.members {
		if m.record.State == StateAlive && m.record.Upstream.State == UpstreamReady {
			n++
		}
	}

	return n
}

// Serving returns the live nodes whose backend server takes calls of a service.
func (t *Table) Serving(service string) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	var out []Record

	for _, m := range t.members {
		r := m.record
		if r.State == StateAlive && r.Upstream.Service == service && r.Upstream.State == UpstreamReady {
			out = append(out, r)
		}
	}

	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })

	return out
}
