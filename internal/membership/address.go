package membership

import "slices"

// move notes that a node's peer address changed; an empty one is none.
func (t *Table) move(id, from, to string) {
	if from == to {
		return
	}

	if from != "" {
		left := slices.DeleteFunc(t.addresses[from], func(o string) bool { return o == id })
		t.addresses[from] = left

		if len(left) == 0 {
			delete(t.addresses, from)
		}
	}

	if to != "" {
		t.addresses[to] = append(t.addresses[to], id)
	}
}

// At returns the records of the nodes with the peer addresses, also of dead ones.
func (t *Table) At(addresses []string) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()

	var out []Record

	for _, address := range addresses {
		for _, id := range t.addresses[address] {
			if r := t.members[id].record; r.State != StateLeft {
				out = append(out, r)
			}
		}
	}

	return out
}

// LiveAt reports whether a live node has the peer address.
func (t *Table) LiveAt(address string) bool {
	return slices.ContainsFunc(t.At([]string{address}), Record.Live)
}

// NearAt reports whether a node of the own failure domain has the peer address.
func (t *Table) NearAt(address string) bool {
	own := t.Self().FailureDomain

	return slices.ContainsFunc(t.At([]string{address}), func(r Record) bool { return r.FailureDomain == own })
}
