package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Chosen reports whether a node is among the first count live nodes of its failure
// domain, those with most capacity first, in the order of rendezvous hashing. Nodes that
// disagree on who is live choose too many or too few for a moment; that costs calls to
// the platform, never correctness.
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

// rank is the node's place among those of its failure domain.
func (m *member) rank() rank { return rank{m.record.Capacity, m.weight} }

// FirstOf returns up to count live nodes of a failure domain, those with most
// capacity first, in the order of rendezvous hashing.
func (t *Table) FirstOf(domain string, count int) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.first(t.liveIn(domain).ids, count, (*member).rank)
}

// Domains returns the failure domains that have live nodes, in order.
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

// Neighbours returns the other live nodes of the own failure domain, in no order.
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

// Ranked returns up to count live nodes but this one, in the order of rendezvous hashing
// of a key. Nodes that know the same live nodes choose the same ones.
func (t *Table) Ranked(key string, count int) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.rankedOf(&t.live, key, count)
}

// RankedIn is Ranked among the nodes of this one's failure domain.
func (t *Table) RankedIn(key string, count int) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.rankedOf(t.liveIn(t.self.FailureDomain), key, count)
}

func (t *Table) rankedOf(set *liveSet, key string, count int) []Record {
	out := t.first(set.ids, count+1, func(m *member) rank { return rank{weight: weight(key, m.record.ID)} })
	out = slices.DeleteFunc(out, func(r Record) bool { return r.ID == t.self.ID })

	return out[:min(count, len(out))]
}

// rank is by what nodes are ordered, the highest first.
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

// first returns the count records of the highest ranks, in their order. It goes over the
// nodes once: sorted whole, those of a large failure domain cost more than what is asked of
// the few.
func (t *Table) first(ids []string, count int, of func(*member) rank) []Record {
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

// weight is the order of rendezvous hashing.
func weight(key, id string) uint64 {
	var buf [128]byte // most keys and IDs together are shorter, and then nothing is allocated

	return xxhash.Sum64(append(append(append(buf[:0], key...), 0), id...))
}
