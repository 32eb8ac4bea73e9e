package membership

import (
	"math/rand/v2"
	"slices"
)

// Random returns up to count different live nodes, without the own one and the
// given ones.
func (t *Table) Random(count int, without ...string) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.drawn(&t.live, count, without)
}

// Near is Random among the nodes of the own failure domain. A node that is alone in
// its failure domain gets nodes of others, so that its news is not held back.
func (t *Table) Near(count int, without ...string) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	if own := t.liveIn(t.self.FailureDomain); own.others(t.self.ID) > 0 {
		return t.drawn(own, count, without)
	}

	return t.drawn(&t.live, count, without)
}

// Elsewhere returns a random live node of each other failure domain.
func (t *Table) Elsewhere() []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	var out []Record

	for domain, set := range t.domains {
		if domain != t.self.FailureDomain {
			out = append(out, t.drawn(set, 1, nil)...)
		}
	}

	return out
}

// Beside returns up to count random nodes of the failure domain of a node that nobody
// suspects, without that one.
func (t *Table) Beside(r Record, count int) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return slices.DeleteFunc(t.drawn(t.liveIn(r.FailureDomain), count, []string{r.ID}), func(o Record) bool { return o.State != StateAlive })
}

// CountNear returns how many nodes of the own failure domain are thought to run, this
// one included.
func (t *Table) CountNear() int {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return len(t.liveIn(t.self.FailureDomain).ids)
}

// liveIn returns the live nodes of a failure domain; t.mu is held.
func (t *Table) liveIn(domain string) *liveSet {
	if set := t.domains[domain]; set != nil {
		return set
	}

	return &liveSet{}
}

// drawn returns up to count different nodes of a set.
func (t *Table) drawn(set *liveSet, count int, without []string) []Record {
	var out []Record

	skip := append([]string{t.self.ID}, without...)

	// More tries than wanted make up for repeats; a small fleet may give fewer than
	// wanted, which costs a probe its breadth and nothing else.
	const triesEach = 4

	for tries := triesEach*count + len(skip); tries > 0 && len(out) < count && len(set.ids) > 0; tries-- {
		id := set.ids[rand.IntN(len(set.ids))]
		if slices.Contains(skip, id) {
			continue
		}

		skip = append(skip, id)
		out = append(out, t.members[id].record)
	}

	return out
}

// setLive keeps who is live, in all and by failure domain.
func (t *Table) setLive(before, r Record) {
	t.live.set(r.ID, r.Live())

	// A node that was moved is no longer counted where it was.
	if old := t.domains[before.FailureDomain]; old != nil && before.FailureDomain != r.FailureDomain {
		old.set(r.ID, false)
	}

	set := t.domains[r.FailureDomain]
	if set == nil {
		empty := newLiveSet()
		set = &empty
		t.domains[r.FailureDomain] = set
	}

	set.set(r.ID, r.Live())
}

// liveSet is a set with a random element in constant time.
type liveSet struct {
	ids []string
	at  map[string]int
}

func newLiveSet() liveSet { return liveSet{at: map[string]int{}} }

func (s *liveSet) set(id string, live bool) {
	i, in := s.at[id]

	switch {
	case live && !in:
		s.at[id] = len(s.ids)
		s.ids = append(s.ids, id)
	case !live && in:
		last := s.ids[len(s.ids)-1]
		s.ids[i] = last
		s.at[last] = i
		s.ids = s.ids[:len(s.ids)-1]
		delete(s.at, id)
	}
}

func (s *liveSet) has(id string) bool {
	_, in := s.at[id]

	return in
}

// others returns how many there are without the given one.
func (s *liveSet) others(id string) int {
	if s.has(id) {
		return len(s.ids) - 1
	}

	return len(s.ids)
}
