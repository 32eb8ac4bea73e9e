package membership

import (
	"math"
	"slices"
)

// changes are the nodes whose records have news that others may not have.
//
// Each change goes out a bounded number of times: a few times the logarithm of
// the fleet's size reaches everyone with near certainty, and what it misses the
// comparison of digests repairs. Without the bound, traffic would grow with the
// fleet and its churn.
type changes struct {
	pending map[string]*change
	// fresh are changes that did not go out yet, again those that did, the one
	// that waits longest first.
	fresh []*change
	again []*change
}

type change struct {
	id   string
	sent int
	done bool
}

func newChanges() changes { return changes{pending: map[string]*change{}} }

func (c *changes) add(id string) {
	if old := c.pending[id]; old != nil && old.sent == 0 {
		return // it has not gone out yet, and goes out as it is then
	}

	c.remove(id)

	n := &change{id: id}
	c.pending[id] = n
	c.fresh = append(c.fresh, n)
}

func (c *changes) remove(id string) {
	if old := c.pending[id]; old != nil {
		old.done = true

		delete(c.pending, id)
	}
}

// transmitFactor times the decimal logarithm of the size is how often a change
// is sent; with a fan-out of two and answers that carry news as well, twice that
// many hear it from one node alone.
const transmitFactor = 4

func transmits(live int) int {
	return transmitFactor * int(math.Ceil(math.Log10(float64(live+1))))
}

// take returns up to count nodes whose news went out least, counts them as sent
// once more, and forgets those that went out limit times. Those that the receiver knows
// stay as they are: an answer with what the question brought would use up the few times
// that a change goes out, and one node in hundreds would not hear of it.
func (c *changes) take(count, limit int, known func(id string) bool) []string {
	var (
		ids          []string
		fresh, again []*change
	)

	for _, queue := range []*[]*change{&c.fresh, &c.again} {
		for len(*queue) > 0 && len(ids) < count {
			n := (*queue)[0]
			*queue = (*queue)[1:]

			switch {
			case n.done:
			case !known(n.id):
				ids = append(ids, n.id)
				n.sent++
				again = append(again, n)
			case n.sent == 0:
				fresh = append(fresh, n)
			default:
				again = append(again, n)
			}
		}
	}

	c.fresh = append(fresh, c.fresh...)

	for _, n := range again {
		if n.sent < limit {
			c.again = append(c.again, n)
		} else {
			c.remove(n.id)
		}
	}

	return ids
}

// News takes up to count changes to be sent to a node, without records that it has just
// sent itself. What is held of that node itself always goes with them, so that it can
// refute.
func (t *Table) News(count int, to string, had ...Record) ([]Record, []Belief) {
	t.mu.Lock()
	defer t.mu.Unlock()

	var records []Record

	beliefs := t.beliefsOf(to)

	for _, id := range t.changes.take(count, transmits(len(t.live.ids)), t.knownTo(had)) {
		m := t.members[id]
		if m == nil || id == to {
			continue
		}

		if b := t.beliefsOf(id); len(b) > 0 {
			beliefs = append(beliefs, b...)

			continue
		}

		records = append(records, m.record)
	}

	if t.elsewhere(to) && !slices.ContainsFunc(records, func(r Record) bool { return r.ID == t.self.ID }) {
		records = append(records, t.self)
	}

	return records, beliefs
}

// knownTo returns a function that reports whether a node that sent these records knows all
// that is held here of another one.
func (t *Table) knownTo(had []Record) func(id string) bool {
	return func(id string) bool {
		m := t.members[id]

		return m != nil && slices.ContainsFunc(had, func(r Record) bool { return r.ID == id && r.Compare(m.record) >= 0 })
	}
}

// elsewhere reports whether a node is not one of the own failure domain. Those have no
// news from here but what few messages bring, so each of these has the own record.
func (t *Table) elsewhere(id string) bool {
	m := t.members[id]

	return m == nil || m.record.FailureDomain != t.self.FailureDomain
}

// TakeUntold reports whether the own record changed since the last time that it was
// asked.
func (t *Table) TakeUntold() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	untold := t.untold
	t.untold = false

	return untold
}

// Pending reports whether there are changes to be spread.
func (t *Table) Pending() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return len(t.changes.pending) > 0
}
