package membership

import "slices"

// updateAddress updates the address index after a node's peer address changed; an empty
// address means none.
func (t *Table) updateAddress(id, from, to string) {
	if from == to {
		return
	}

	if from != "" {
		remaining := slices.DeleteFunc(t.addresses[from], func(o string) bool { return o == id })
		t.addresses[from] = remaining

		if len(remaining) == 0 {
			delete(t.addresses, from)
		}
	}

	if to != "" {
		t.addresses[to] = append(t.addresses[to], id)
	}
}

// ByAddress returns the records of the nodes with the peer addresses, including dead nodes but
// not those that left.
func (t *Table) ByAddress(addresses []string) []Record {
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
	return slices.ContainsFunc(t.ByAddress([]string{address}), Record.Live)
}

// NearAt reports whether a node of the local failure domain has the peer address.
func (t *Table) NearAt(address string) bool {
	own := t.Self().FailureDomain

	return slices.ContainsFunc(t.ByAddress([]string{address}), func(r Record) bool { return r.FailureDomain == own })
}
