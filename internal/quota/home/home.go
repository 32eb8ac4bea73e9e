// Package home assigns each limited workspace to one of a few nodes, its home, which grants the calls
// of the workspace to all entries.
//
// Correctness does not need agreement on the homes: see package ledger. Agreement only lets one node
// use the whole limit of a workspace.
//
// # Usage
//
//	s := home.New(home.Strongest(records, home.MaxHomes))
//	id := s.Of("workspace")
package home

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/internal/membership"
)

// MaxHomes bounds the nodes that are homes at the same time. Each entry renews its delegation at each
// of them, so that the messages of an entry don't grow with the number of nodes.
const MaxHomes = 4

// capacityShare is the least capacity of a home, as a part of that of the node with the most.
const capacityShare = 0.5

// Set is an immutable set of homes.
type Set struct {
	ids  []string
	hash uint64
}

// New returns the set of nodes with the IDs, in any order.
func New(ids []string) *Set {
	s := &Set{ids: slices.Compact(slices.Sorted(slices.Values(ids)))}
	s.hash = xxhash.Sum64String(strings.Join(s.ids, "\x00"))

	return s
}

// IDs returns the sorted IDs of the homes, which must not be modified.
func (s *Set) IDs() []string { return s.ids }

// Hash identifies the set.
func (s *Set) Hash() uint64 { return s.hash }

// Has reports whether a node is in the set.
func (s *Set) Has(id string) bool { return slices.Contains(s.ids, id) }

// Of returns the home of a workspace by rendezvous hashing, or "" if the set is empty.
func (s *Set) Of(workspace string) string {
	var (
		best   string
		weight uint64
	)

	for _, id := range s.ids {
		if w := hash(workspace, id); best == "" || w > weight {
			best, weight = id, w
		}
	}

	return best
}

func hash(workspace, id string) uint64 {
	var d xxhash.Digest

	d.Reset()
	_, _ = d.WriteString(workspace) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)

	return d.Sum64()
}

// Strongest returns up to count of the nodes with the highest capacity, without those that have much
// less than the first. Nodes with the same view choose the same ones.
func Strongest(records []membership.Record, count int) []membership.Record {
	out := slices.Clone(records)
	slices.SortFunc(out, func(a, b membership.Record) int {
		if c := cmp.Compare(b.Capacity, a.Capacity); c != 0 {
			return c
		}

		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})

	out = out[:min(count, len(out))]

	return slices.DeleteFunc(out, func(r membership.Record) bool {
		return float64(r.Capacity) < capacityShare*float64(out[0].Capacity)
	})
}
