package membership

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"
)

// index answers the questions of the path of a call without looking at all
// records. Its snapshots are immutable: a call reads them without a lock and
// without a copy.
type index struct {
	services atomic.Pointer[map[string]*service]
	ready    atomic.Int64
	live     atomic.Pointer[[]Record] // nil after a change, until somebody asks

	// What follows is used under the table's lock.
	suspect map[string]bool
	dirty   map[*service]bool // those whose snapshot is outdated
}

// service is who has ready backend servers of one service.
type service struct {
	serving atomic.Pointer[[]Record] // those that calls are sent to, in the order of IDs
	members map[string]Record        // all live and ready ones; used under the table's lock
}

func (x *index) init() {
	x.suspect = map[string]bool{}
	x.dirty = map[*service]bool{}
	x.services.Store(&map[string]*service{})
}

func (x *index) suspects() []string { return slices.Collect(maps.Keys(x.suspect)) }

// replace takes a change of one record. A record that only has a higher number
// leaves the snapshots as they are: nothing that a call looks at is different.
func (x *index) replace(old, r Record) {
	x.live.Store(nil)

	same := old
	same.Seq = r.Seq

	if same == r {
		return
	}

	if r.State == StateSuspect {
		x.suspect[r.ID] = true
	} else {
		delete(x.suspect, r.ID)
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
}

func (x *index) service(name string) *service {
	services := *x.services.Load()

	s := services[name]
	if s == nil {
		s = &service{members: map[string]Record{}}
		s.serving.Store(&[]Record{})

		next := maps.Clone(services)
		next[name] = s
		x.services.Store(&next)
	}

	return s
}

// publish makes new snapshots of the services that changed; many changes that
// arrived in one message cost one.
func (x *index) publish() {
	for s := range x.dirty {
		serving := s.choose()
		s.serving.Store(&serving)
	}

	clear(x.dirty)
}

// unlock ends a change of the table.
func (t *Table) unlock() {
	t.index.publish()
	t.mu.Unlock()
}

// choose returns who is sent calls: those that nobody suspects. If that would
// leave less than half, the suspicion is the likelier fault, such as a broken
// link of this node itself, and the suspected ones are sent calls too: a bad
// signal must never empty a service.
func (s *service) choose() []Record {
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

// Serving returns the live nodes whose backend server takes calls of a service,
// in the order of IDs. The slice is shared and must not be changed.
func (t *Table) Serving(name string) []Record {
	s := (*t.index.services.Load())[name]
	if s == nil {
		return nil
	}

	return *s.serving.Load()
}

// CountReady returns how many live nodes have a backend server that takes calls.
func (t *Table) CountReady() int { return int(t.index.ready.Load()) }

// Live returns the records of nodes that are thought to run, in the order of IDs.
// The slice is shared and must not be changed.
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

// CountLive returns how many nodes are thought to run.
func (t *Table) CountLive() int {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return len(t.live.ids)
}

// Lost returns a random node that is held for dead.
func (t *Table) Lost() (Record, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	// The order of a map's keys is random.
	for _, m := range t.members {
		if m.record.State == StateDead {
			return m.record, true
		}
	}

	return Record{}, false
}
