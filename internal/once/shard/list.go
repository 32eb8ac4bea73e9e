// Package shard says which process is the home of an opaque key: one that names
// no home itself.
//
// The opaque keys are cut into a fixed number of shards, which never changes:
// not with the settings, not with who is believed alive. One value on the
// platform has the owner of each, a process by its life, and changes only by
// compare-and-swap:
//
//   - a vacant shard is claimed by a node of its failure domain;
//   - a shard of an earlier life of the same node is claimed by the next one,
//     which could not listen on the node's addresses if the earlier still ran;
//   - an owner that leaves hands its shards with their records to another node
//     of the failure domain, or makes them vacant;
//   - an operator's word makes the shards of a host that is gone vacant.
//
// So no two processes both own a shard, and an outage of the platform changes
// nothing for those that own one. What goes wrong without it: two nodes that
// disagree on who is alive both run the upload that its caller repeated.
//
// An owner that takes over from another can't know what that one ran. It answers
// unknown to keys that it has not seen until the time has passed in which a
// caller may repeat them.
//
//	k := shard.New(self, life, store, peers, shard.Watching(f))
//	go k.Run(ctx)
//	node, life, ok := k.Owner(text)
//	own := k.Own(text)
package shard

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrList is returned for a list that does not check.
var ErrList = errs.New("once.shards", http.StatusBadRequest, "list of shards not accepted")

// PerDomain is how many shards a failure domain has, and so how many of its
// nodes own any: enough to spread the load and few enough that the list stays
// under 32 KB for 14 failure domains.
const PerDomain = 16

// Shard is a fixed share of the opaque keys.
type Shard struct {
	FailureDomain string `json:"FailureDomain" msgpack:"FailureDomain"`
	// Node and Life name the owner; a vacant shard has none.
	Node string `json:"Node,omitempty" msgpack:"Node,omitempty"`
	Life string `json:"Life,omitempty" msgpack:"Life,omitempty"`
	// Before says that another life owned the shard before, whose records are
	// lost.
	Before bool `json:"Before,omitempty" msgpack:"Before,omitempty"`
	// From is the life that left and handed its records over.
	From string `json:"From,omitempty" msgpack:"From,omitempty"`
}

// List is all shards. Number goes up with every change.
type List struct {
	Number uint64  `json:"Number" msgpack:"Number"`
	Shards []Shard `json:"Shards" msgpack:"Shards"`
}

// Check reports whether a decoded list can be used.
func (l *List) Check() error {
	if (l.Number == 0) != (len(l.Shards) == 0) {
		return ErrList.With("number %d with %d shards", l.Number, len(l.Shards))
	}

	return nil
}

// NewList returns vacant shards for the failure domains.
func NewList(domains []string) List {
	domains = slices.Compact(slices.Sorted(slices.Values(domains)))

	var l List

	for _, d := range domains {
		for range PerDomain {
			l.Shards = append(l.Shards, Shard{FailureDomain: d})
		}
	}

	return l
}

// Parse decodes the value on the platform.
func Parse(data []byte) (List, error) {
	var l List
	if err := json.Unmarshal(data, &l); err != nil {
		return List{}, ErrList.Wrap(err)
	}

	return l, l.Check()
}

// Of returns the shard of a key.
func (l List) Of(key string) (Shard, int, bool) {
	if len(l.Shards) == 0 {
		return Shard{}, 0, false
	}

	i := int(xxhash.Sum64String(key) % uint64(len(l.Shards)))

	return l.Shards[i], i, true
}

// Self is who claims.
type Self struct {
	Node          string
	Life          string
	FailureDomain string
}

// Claim returns the list with the shards that the process may take: those of an
// earlier life of its node, and the vacant ones of its failure domain for which
// it comes first among the nodes.
func (l List) Claim(self Self, nodes []string) (List, bool) {
	return l.change(func(i int, s Shard) Shard {
		mine := s.Node == self.Node && s.Life != self.Life
		vacant := s.Node == "" && s.FailureDomain == self.FailureDomain && first(i, nodes) == self.Node

		if mine || vacant {
			return Shard{FailureDomain: s.FailureDomain, Node: self.Node, Life: self.Life, Before: s.Before || mine}
		}

		return s
	})
}

// Vacate returns the list without the owner: it leaves, or an operator says that
// its host is gone.
func (l List) Vacate(node string) (List, bool) {
	return l.change(func(_ int, s Shard) Shard {
		if s.Node == node {
			return Shard{FailureDomain: s.FailureDomain, Before: true}
		}

		return s
	})
}

// Transfer returns the list with the shards of one life given to their successors, by
// the number of the shard.
func (l List) Transfer(from Self, successors map[int]Self) (List, bool) {
	return l.change(func(i int, s Shard) Shard {
		successor, ok := successors[i]
		if !ok || s.Node != from.Node || s.Life != from.Life {
			return s
		}

		return Shard{FailureDomain: s.FailureDomain, Node: successor.Node, Life: successor.Life, From: from.Life}
	})
}

func (l List) vacant() bool {
	return slices.ContainsFunc(l.Shards, func(s Shard) bool { return s.Node == "" })
}

func (l List) change(next func(int, Shard) Shard) (List, bool) {
	out := List{Number: l.Number + 1, Shards: slices.Clone(l.Shards)}
	changed := false

	for i, s := range out.Shards {
		out.Shards[i] = next(i, s)
		changed = changed || out.Shards[i] != s
	}

	if !changed {
		return l, false
	}

	return out, true
}

// first spreads vacant shards over nodes by rendezvous hashing. Nodes that
// disagree on who is there claim the same shard, and one swap wins.
func first(i int, nodes []string) string {
	if len(nodes) == 0 {
		return ""
	}

	weight := func(node string) uint64 { return xxhash.Sum64String(strconv.Itoa(i) + "\x00" + node) }

	return slices.MaxFunc(nodes, func(a, b string) int { return cmp.Compare(weight(a), weight(b)) })
}
