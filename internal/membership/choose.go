package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Chosen reports whether a node is among the first count live nodes of its
// failure domain, those with most capacity first, in the order of rendezvous hashing. Nodes that disagree on who
// is live choose too many or too few for a moment; that costs calls to the
// platform, never correctness.
func (t *Table) Chosen(id, domain string, count int) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()

	own := weight(domain, id)
	before := 0
	found := false

	var capacity uint32
	if m := t.members[id]; m != nil {
		capacity = m.record.Capacity
	}

	for _, other := range t.live.ids {
		o := t.members[other].record
		if o.FailureDomain != domain {
			continue
		}

		if other == id {
			found = true

			continue
		}

		if o.Capacity > capacity || (o.Capacity == capacity && weight(domain, other) > own) {
			before++
		}

		if before >= count {
			return false
		}
	}

	return found
}

// FirstOf returns up to count live nodes of a failure domain, those with most
// capacity first, in the order of rendezvous hashing.
func (t *Table) FirstOf(domain string, count int) []Record {
	out := t.living(func(r Record) bool { return r.FailureDomain == domain })

	slices.SortFunc(out, func(a, b Record) int {
		if c := cmp.Compare(b.Capacity, a.Capacity); c != 0 {
			return c
		}

		return byWeight(domain, a, b)
	})

	return out[:min(count, len(out))]
}

// living returns the live nodes that are wanted, in no order.
func (t *Table) living(wanted func(Record) bool) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	var out []Record

	for _, id := range t.live.ids {
		if r := t.members[id].record; wanted(r) {
			out = append(out, r)
		}
	}

	return out
}

// Ranked returns up to count live nodes but this one, in the order of rendezvous hashing
// of a key. Nodes that know the same live nodes choose the same ones.
func (t *Table) Ranked(key string, count int) []Record {
	return t.ranked(key, count, func(Record) bool { return true })
}

// RankedIn is Ranked among the nodes of this one's failure domain.
func (t *Table) RankedIn(key string, count int) []Record {
	domain := t.Self().FailureDomain

	return t.ranked(key, count, func(r Record) bool { return r.FailureDomain == domain })
}

func (t *Table) ranked(key string, count int, takes func(Record) bool) []Record {
	self := t.Self().ID
	out := t.living(func(r Record) bool { return r.ID != self && takes(r) })

	slices.SortFunc(out, func(a, b Record) int { return byWeight(key, a, b) })

	return out[:min(count, len(out))]
}

// byWeight is the order of rendezvous hashing.
func byWeight(key string, a, b Record) int { return cmp.Compare(weight(key, b.ID), weight(key, a.ID)) }

func weight(domain, id string) uint64 { return xxhash.Sum64String(domain + "\x00" + id) }
