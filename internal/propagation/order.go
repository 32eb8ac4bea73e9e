package propagation

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a node of this failure domain that is considered alive.
type Member struct {
	ID      string
	Address string
}

// Order sorts the members of a failure domain by rendezvous hashing: a node that joins
// or leaves does not change the relative order of the others. The first members watch
// the platform. All form a tree in which member i pushes to the members from
// i*fanout+1 on.
//
// Nodes with different membership views push twice or briefly leave a member out. The
// first only costs bytes; gossip of version numbers corrects the second.
func Order(domain string, members []Member) []Member {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Member) int {
		if c := cmp.Compare(weight(domain, b.ID), weight(domain, a.ID)); c != 0 {
			return c
		}

		return cmp.Compare(a.ID, b.ID)
	})

	return out
}

func weight(domain, id string) uint64 { return xxhash.Sum64String(domain + "\x00" + id) }

// Watches reports whether a node is one of the first count members of its domain.
func Watches(domain, id string, members []Member, count int) bool {
	mine, before := weight(domain, id), 0

	for _, m := range members {
		if w := weight(domain, m.ID); m.ID != id && (w > mine || w == mine && m.ID < id) {
			before++
		}
	}

	return before < count
}

func memberIndex(order []Member, id string) int {
	return slices.IndexFunc(order, func(m Member) bool { return m.ID == id })
}

// children returns the members to which the member at a position pushes.
func children(order []Member, position, fanout int) []Member {
	if position < 0 {
		return nil
	}

	first := min(position*fanout+1, len(order))

	return order[first:min(first+fanout, len(order))]
}
