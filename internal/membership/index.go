package membership

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"
)

// index answers the queries of the call path without scanning all records. Its snapshots are
// immutable, so a call reads them without locking or copying.
type index struct {
	services atomic.Pointer[map[string]*service]
	ready    atomic.Int64
	live     atomic.Pointer[[]Record] // nil after a change, until the next call of Live

	// The fields below are guarded by the table's lock.
	suspected map[string]bool
	dirty     map[*service]bool // services whose snapshot is outdated
}

// service indexes the nodes with ready backend servers of one service.
type service struct {
	serving atomic.Pointer[[]Record] // nodes that calls are sent to, sorted by ID
	members map[string]Record        // all live and ready nodes; guarded by the table's lock
	// onTrial and canaries are the same for live nodes with a canary.
	onTrial  atomic.Pointer[[]Record]
	canaries map[string]Record
}

func (x *index) init() {
	x.suspected = map[string]bool{}
	x.dirty = map[*service]bool{}
	x.services.Store(&map[string]*service{})
}

func (x *index) suspects() []string { return slices.Collect(maps.Keys(x.suspected)) }

// replace applies a change of one record. A change of only the sequence number leaves the
// snapshots as they are, because they hold nothing else that a call reads.
func (x *index) replace(old, r Record) {
	x.live.Store(nil)

	same := old
	same.Seq = r.Seq

	if same == r {
		return
	}

	if r.State == StateSuspect {
		x.suspected[r.ID] = true
	} else {
		delete(x.suspected, r.ID)
	}

	if old.Ready() {
		s := x.service(old.Upstream.Service)
		delete(s.members, r.ID)

		x.dirty[s] = true
		x.ready.Add(-1)
	}

	if r.Ready() {
		s := x.service(r.Upstream.Service)
		s.members[r.ID] = r
		x.dirty[s] = true
		x.ready.Add(1)
	}

	x.replaceCanary(old, r)
}

func (x *index) replaceCanary(old, r Record) {
	if old.OnTrial() {
		s := x.service(old.Upstream.Service)
		delete(s.canaries, r.ID)

		x.dirty[s] = true
	}

	if r.OnTrial() {
		s := x.service(r.Upstream.Service)
		s.canaries[r.ID] = r
		x.dirty[s] = true
	}
}

func (x *index) service(name string) *service {
	services := *x.services.Load()

	s := services[name]
	if s == nil {
		s = &service{members: map[string]Record{}, canaries: map[string]Record{}}
		s.serving.Store(&[]Record{})
		s.onTrial.Store(&[]Record{})

		next := maps.Clone(services)
		next[name] = s
		x.services.Store(&next)
	}

	return s
}

// publish rebuilds the snapshots of changed services, once for all changes of a message.
func (x *index) publish() {
	for s := range x.dirty {
		serving := s.selectServing()
		s.serving.Store(&serving)

		onTrial := slices.SortedFunc(maps.Values(s.canaries), byID)
		s.onTrial.Store(&onTrial)
	}

	clear(x.dirty)
}

// unlock publishes pending index changes and releases the table's lock.
func (t *Table) unlock() {
	t.index.publish()
	t.mu.Unlock()
}

// selectServing returns the nodes that calls are sent to, without suspected ones. If more than
// half of the nodes are suspected, it returns all of them: a fault of this node, such as a
// broken link, is then more likely, and false suspicions must never leave a service without
// nodes.
func (s *service) selectServing() []Record {
	all := make([]Record, 0, len(s.members))
	suspected := 0

	for _, r := range s.members {
		all = append(all, r)

		if r.State == StateSuspect {
			suspected++
		}
	}

	if suspected > 0 && 2*(len(all)-suspected) >= len(all) {
		all = slices.DeleteFunc(all, func(r Record) bool { return r.State == StateSuspect })
	}

	slices.SortFunc(all, byID)

	return all
}

func byID(a, b Record) int { return strings.Compare(a.ID, b.ID) }

// Serving returns the live nodes whose backend server accepts calls of a service, sorted by
// ID. The slice is shared and must not be modified.
func (t *Table) Serving(name string) []Record {
	s := (*t.index.services.Load())[name]
	if s == nil {
		return nil
	}

	return *s.serving.Load()
}

// OnTrial returns the live nodes whose backend server is a canary of a service, sorted by ID.
// The slice is shared and must not be modified.
func (t *Table) OnTrial(name string) []Record {
	s := (*t.index.services.Load())[name]
	if s == nil {
		return nil
	}

	return *s.onTrial.Load()
}

// CountReady returns the number of live nodes whose backend server accepts calls.
func (t *Table) CountReady() int { return int(t.index.ready.Load()) }

// Live returns the records of live nodes, sorted by ID. The slice is shared and must not be
// modified.
func (t *Table) Live() []Record {
	if live := t.index.live.Load(); live != nil {
		return *live
	}

	t.mu.RLock()
	defer t.mu.RUnlock()

	out := make([]Record, 0, len(t.live.ids))
	for _, id := range t.live.ids {
		out = append(out, t.members[id].record)
	}

	slices.SortFunc(out, byID)
	t.index.live.Store(&out)

	return out
}

// CountLive returns the number of live nodes.
func (t *Table) CountLive() int {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return len(t.live.ids)
}

// RandomDead returns a random node that is considered failed.
func (t *Table) RandomDead() (Record, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	// Map iteration order is random.
	for _, m := range t.members {
		if m.record.State == StateDead {
			return m.record, true
		}
	}

	return Record{}, false
}
