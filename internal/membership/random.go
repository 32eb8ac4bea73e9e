package membership

import (
	"math/rand/v2"
	"slices"
)

// Random returns up to count different live nodes, without this node and the excluded ones.
func (t *Table) Random(count int, exclude ...string) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.sample(&t.live, count, exclude)
}

// RandomNear is like Random, but restricted to the local failure domain. If this node is the
// only live one there, it samples all nodes, so that its changes still spread.
func (t *Table) RandomNear(count int, exclude ...string) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	if own := t.liveIn(t.self.FailureDomain); own.countOthers(t.self.ID) > 0 {
		return t.sample(own, count, exclude)
	}

	return t.sample(&t.live, count, exclude)
}

// RandomPerOtherDomain returns a random live node of each other failure domain.
func (t *Table) RandomPerOtherDomain() []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	var out []Record

	for domain, set := range t.domains {
		if domain != t.self.FailureDomain {
			out = append(out, t.sample(set, 1, nil)...)
		}
	}

	return out
}

// RandomSameDomain samples up to count other nodes of the failure domain of a node and returns
// those that are not suspected.
func (t *Table) RandomSameDomain(r Record, count int) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return slices.DeleteFunc(t.sample(t.liveIn(r.FailureDomain), count, []string{r.ID}), func(o Record) bool { return o.State != StateAlive })
}

// CountNear returns the number of live nodes in the local failure domain, including this one.
func (t *Table) CountNear() int {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return len(t.liveIn(t.self.FailureDomain).ids)
}

// liveIn returns the live nodes of a failure domain; t.mu must be held.
func (t *Table) liveIn(domain string) *liveSet {
	if set := t.domains[domain]; set != nil {
		return set
	}

	return &liveSet{}
}

// sample returns up to count different random nodes of a set.
func (t *Table) sample(set *liveSet, count int, exclude []string) []Record {
	var out []Record

	skip := append([]string{t.self.ID}, exclude...)

	// The additional tries make up for repeated picks. In a small fleet fewer than count nodes
	// may be found, which only reduces the number of probes or targets.
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

// setLive updates the sets of live nodes, overall and by failure domain.
func (t *Table) setLive(before, r Record) {
	t.live.set(r.ID, r.Live())

	// Remove a node that moved to another failure domain from the previous one.
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

// liveSet is a set of IDs that supports random choice in constant time.
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

// countOthers returns the number of elements without the given ID.
func (s *liveSet) countOthers(id string) int {
	if s.has(id) {
		return len(s.ids) - 1
	}

	return len(s.ids)
}
