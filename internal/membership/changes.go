package membership

import (
	"math"
	"slices"
)

// changes is the queue of nodes whose records or beliefs are to be sent to other nodes.
//
// Each change is sent a bounded number of times: a few times the logarithm of the number of
// nodes reaches all of them with high probability, and digest comparison repairs the rest.
// Without the bound, traffic would grow with the number of nodes and their rate of change.
type changes struct {
	pending map[string]*change
	// unsent holds changes that have not been sent yet, resend those that have, oldest first.
	unsent []*change
	resend []*change
}

type change struct {
	id      string
	sent    int
	removed bool
}

func newChanges() changes { return changes{pending: map[string]*change{}} }

func (c *changes) add(id string) {
	if old := c.pending[id]; old != nil && old.sent == 0 {
		return // the queued change reads the current record when it is sent
	}

	c.remove(id)

	n := &change{id: id}
	c.pending[id] = n
	c.unsent = append(c.unsent, n)
}

func (c *changes) remove(id string) {
	if old := c.pending[id]; old != nil {
		old.removed = true

		delete(c.pending, id)
	}
}

// transmitFactor times the decimal logarithm of the number of live nodes is how often a change
// is sent. With a fan-out of two and replies that carry changes too, one node alone reaches
// twice as many nodes.
const transmitFactor = 4

func transmitLimit(live int) int {
	return transmitFactor * int(math.Ceil(math.Log10(float64(live+1))))
}

// take returns up to count changed nodes, least sent first, increments their send counts and
// drops those that have been sent limit times. Changes that the receiver already knows are
// skipped and not counted: echoing them in a reply would use up the limit, and one node in
// hundreds would miss the change.
func (c *changes) take(count, limit int, known func(id string) bool) []string {
	var (
		ids            []string
		unsent, resend []*change
	)

	for _, queue := range []*[]*change{&c.unsent, &c.resend} {
		for len(*queue) > 0 && len(ids) < count {
			n := (*queue)[0]
			*queue = (*queue)[1:]

			switch {
			case n.removed:
			case !known(n.id):
				ids = append(ids, n.id)
				n.sent++
				resend = append(resend, n)
			case n.sent == 0:
				unsent = append(unsent, n)
			default:
				resend = append(resend, n)
			}
		}
	}

	c.unsent = append(unsent, c.unsent...)

	for _, n := range resend {
		if n.sent < limit {
			c.resend = append(c.resend, n)
		} else {
			c.remove(n.id)
		}
	}

	return ids
}

// TakeChanges takes up to count changes to send to a node, leaving out records that the node
// has just sent itself. Beliefs about the receiver are always included, so that it can refute
// them.
func (t *Table) TakeChanges(count int, to string, received ...Record) ([]Record, []Belief) {
	t.mu.Lock()
	defer t.mu.Unlock()

	var records []Record

	beliefs := t.beliefsOf(to)

	for _, id := range t.changes.take(count, transmitLimit(len(t.live.ids)), t.knownBy(received)) {
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

	if t.inOtherDomain(to) && !slices.ContainsFunc(records, func(r Record) bool { return r.ID == t.self.ID }) {
		records = append(records, t.self)
	}

	return records, beliefs
}

// knownBy returns a function that reports whether the sender of the records has the current
// record of a node.
func (t *Table) knownBy(received []Record) func(id string) bool {
	return func(id string) bool {
		m := t.members[id]

		return m != nil && slices.ContainsFunc(received, func(r Record) bool { return r.ID == id && r.Compare(m.record) >= 0 })
	}
}

// inOtherDomain reports whether a node is outside the local failure domain, or unknown. Such
// nodes receive few messages from this one, so each message includes the local record.
func (t *Table) inOtherDomain(id string) bool {
	m := t.members[id]

	return m == nil || m.record.FailureDomain != t.self.FailureDomain
}

// TakeSelfChanged reports whether the local record has changed since the previous call.
func (t *Table) TakeSelfChanged() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	selfChanged := t.selfChanged
	t.selfChanged = false

	return selfChanged
}

// Pending reports whether there are changes to send.
func (t *Table) Pending() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return len(t.changes.pending) > 0
}
