package propagation

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a node of this failure domain that is thought to run.
type Member struct {
	ID      string
	Address string
}

// Order sorts the members of a failure domain by rendezvous hashing: a node that
// joins or leaves moves no two others past each other. The first ones watch the
// platform, and all form a tree in which member i leads to i*fanout+1 and on.
//
// Nodes that disagree on who runs push twice or leave a gap for a moment. The
// first costs bytes, the second is filled by the version numbers in gossip.
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

// Watches reports whether a node is among the first count of its domain.
func Watches(domain, id string, members []Member, count int) bool {
	mine, before := weight(domain, id), 0

	for _, m := range members {
		if w := weight(domain, m.ID); m.ID != id && (w > mine || w == mine && m.ID < id) {
			before++
		}
	}

	return before < count
}

func index(order []Member, id string) int {
	return slices.IndexFunc(order, func(m Member) bool { return m.ID == id })
}

// children returns whom the member at a position leads to.
func children(order []Member, position, fanout int) []Member {
	if position < 0 {
		return nil
	}

	first := min(position*fanout+1, len(order))

	return order[first:min(first+fanout, len(order))]
}
