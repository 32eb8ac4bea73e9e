package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Chosen reports whether a node is among the first count live nodes of its
// failure domain in the order of rendezvous hashing. Nodes that disagree on who
// is live choose too many or too few for a moment; that costs calls to the
// platform, never correctness.
func (t *Table) Chosen(id, domain string, count int) bool {
	var live []Record

	for _, r := range t.Live() {
		if r.FailureDomain == domain {
			live = append(live, r)
		}
	}

	slices.SortFunc(live, func(a, b Record) int {
		return cmp.Compare(weight(domain, b.ID), weight(domain, a.ID))
	})

	for i, r := range live {
		if i == count {
			return false
		}

		if r.ID == id {
			return true
		}
	}

	return false
}

func weight(domain, id string) uint64 { return xxhash.Sum64String(domain + "\x00" + id) }
