package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Chosen reports whether a node is among the first count live nodes of its failure domain,
// ordered by capacity, then by rendezvous hashing. While views of the live nodes differ, too
// many or too few nodes are chosen; this costs extra calls to the platform, but never
// correctness.
func (t *Table) Chosen(id, domain string, count int) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()

	set := t.liveIn(domain)
	if !set.has(id) {
		return false
	}

	own, before := t.members[id].rank(), 0

	for _, other := range set.ids {
		if t.members[other].rank().before(own) {
			before++
		}

		if before >= count {
			return false
		}
	}

	return true
}

// rank returns the node's rank within its failure domain.
func (m *member) rank() rank { return rank{m.record.Capacity, m.weight} }

// FirstOf returns up to count live nodes of a failure domain, ordered by capacity, then by
// rendezvous hashing.
func (t *Table) FirstOf(domain string, count int) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.highestRanked(t.liveIn(domain).ids, count, (*member).rank)
}

// Domains returns the failure domains that have live nodes, sorted.
func (t *Table) Domains() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()

	out := make([]string, 0, len(t.domains))

	for domain, set := range t.domains {
		if len(set.ids) > 0 {
			out = append(out, domain)
		}
	}

	slices.Sort(out)

	return out
}

// Neighbours returns the other live nodes of the local failure domain, unordered.
func (t *Table) Neighbours() []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	ids := t.liveIn(t.self.FailureDomain).ids
	out := make([]Record, 0, len(ids))

	for _, id := range ids {
		if id != t.self.ID {
			out = append(out, t.members[id].record)
		}
	}

	return out
}

// Ranked returns up to count live nodes other than this one, ordered by rendezvous hashing of
// the key. Nodes with the same view of the live nodes choose the same ones.
func (t *Table) Ranked(key string, count int) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.rankedOf(&t.live, key, count)
}

// RankedIn is like Ranked, but restricted to the local failure domain.
func (t *Table) RankedIn(key string, count int) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.rankedOf(t.liveIn(t.self.FailureDomain), key, count)
}

func (t *Table) rankedOf(set *liveSet, key string, count int) []Record {
	out := t.highestRanked(set.ids, count+1, func(m *member) rank { return rank{weight: weight(key, m.record.ID)} })
	out = slices.DeleteFunc(out, func(r Record) bool { return r.ID == t.self.ID })

	return out[:min(count, len(out))]
}

// rank is the sort key of nodes; the highest rank comes first.
type rank struct {
	capacity uint32
	weight   uint64
}

func (r rank) before(o rank) bool {
	if r.capacity != o.capacity {
		return r.capacity > o.capacity
	}

	return r.weight > o.weight
}

// highestRanked returns the count highest-ranked records in order. It scans the nodes once,
// because sorting all nodes of a large failure domain costs more than selecting a few.
func (t *Table) highestRanked(ids []string, count int, of func(*member) rank) []Record {
	type ranked struct {
		rank
		id string
	}

	top := make([]ranked, 0, min(count, len(ids))+1)

	for _, id := range ids {
		r := ranked{of(t.members[id]), id}

		i := len(top)
		for i > 0 && r.before(top[i-1].rank) {
			i--
		}

		if i == count {
			continue
		}

		top = slices.Insert(top, i, r)
		top = top[:min(len(top), count)]
	}

	out := make([]Record, 0, len(top))
	for _, r := range top {
		out = append(out, t.members[r.id].record)
	}

	return out
}

// weight is the rendezvous hash of a key and a node ID.
func weight(key, id string) uint64 {
	var buf [128]byte // fits most keys with an ID, which avoids an allocation

	return xxhash.Sum64(append(append(append(buf[:0], key...), 0), id...))
}

// DomainView lists the live nodes of each failure domain.
type DomainView interface {
	Domains() []string
	FirstOf(domain string, count int) []Record
}

// FirstOfEach returns the first count live nodes of each failure domain.
func FirstOfEach(v DomainView, count int) []Record {
	var out []Record

	for _, domain := range v.Domains() {
		out = append(out, v.FirstOf(domain, count)...)
	}

	return out
}

// Without returns the records except that of a node.
func Without(records []Record, id string) []Record {
	out := make([]Record, 0, len(records))

	for _, r := range records {
		if r.ID != id {
			out = append(out, r)
		}
	}

	return out
}
