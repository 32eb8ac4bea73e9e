// Package shard assigns opaque idempotency keys, which name no owner, to owner processes.
//
// Opaque keys are hashed into a fixed number of shards, which depends neither on the settings nor
// on the membership view. One value in the store of the platform lists the owner of each shard, a
// process identified by its boot ID, and changes only by compare-and-swap:
//
//   - a vacant shard is claimed by a node of its failure domain;
//   - a shard of an earlier boot of the same node is claimed by the next boot, which could not
//     listen on the addresses of the node if the earlier process were still running;
//   - a draining owner hands its shards over, with their records, to another node of the failure
//     domain, or makes them vacant;
//   - an operator makes the shards of a permanently lost host vacant.
//
// So no two processes own the same shard at once, and an outage of the platform does not affect
// existing owners. Without the list, two nodes with different membership views could both run an
// upload that its caller retries.
//
// An owner that takes a shard over without its records cannot know which keys ran. It answers
// unknown for keys without a record until callers may no longer retry them.
//
//	k := shard.New(self, store, nodes, peers, shard.Watching(f))
//	go k.Run(ctx)
//	node, bootID, ok := k.Owner(text)
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

// ErrList is returned for an invalid list.
var ErrList = errs.New("once.shards", http.StatusBadRequest, "list of shards not accepted")

// PerDomain is the number of shards of a failure domain, and thus the maximum number of its nodes
// that own one. It spreads the load and keeps the list under 32 KB for 14 failure domains.
const PerDomain = 16

// Shard is a fixed share of the opaque keys.
type Shard struct {
	FailureDomain string `json:"FailureDomain" msgpack:"FailureDomain"`
	// Node and its boot ID identify the owner; both are empty for a vacant shard.
	Node   string `json:"Node,omitempty" msgpack:"Node,omitempty"`
	BootID string `json:"Life,omitempty" msgpack:"Life,omitempty"`
	// RecordsLost is set if an earlier owner may have run keys whose records were not handed over.
	RecordsLost bool `json:"Before,omitempty" msgpack:"Before,omitempty"`
	// FromBootID is the boot ID of the draining process that handed over its records.
	FromBootID string `json:"From,omitempty" msgpack:"From,omitempty"`
}

// List contains all shards. Number increases with every change.
type List struct {
	Number uint64  `json:"Number" msgpack:"Number"`
	Shards []Shard `json:"Shards" msgpack:"Shards"`
}

// Check validates a decoded list.
func (l *List) Check() error {
	if (l.Number == 0) != (len(l.Shards) == 0) {
		return ErrList.With("number %d with %d shards", l.Number, len(l.Shards))
	}

	return nil
}

// NewList returns a list of vacant shards for the failure domains.
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

// Parse decodes a list from the store of the platform.
func Parse(data []byte) (List, error) {
	var l List
	if err := json.Unmarshal(data, &l); err != nil {
		return List{}, ErrList.Wrap(err)
	}

	return l, l.Check()
}

// Of returns the shard of a key and its index.
func (l List) Of(key string) (Shard, int, bool) {
	if len(l.Shards) == 0 {
		return Shard{}, 0, false
	}

	i := int(xxhash.Sum64String(key) % uint64(len(l.Shards)))

	return l.Shards[i], i, true
}

// Self identifies a process that claims shards.
type Self struct {
	Node          string
	BootID        string
	FailureDomain string
}

// Claim returns the list after the process has claimed the shards available to it: those of an
// earlier boot of its node, and the vacant ones of its failure domain for which it is the preferred
// node.
func (l List) Claim(self Self, nodes []string) (List, bool) {
	return l.change(func(i int, s Shard) Shard {
		mine := s.Node == self.Node && s.BootID != self.BootID
		vacant := s.Node == "" && s.FailureDomain == self.FailureDomain && preferredNode(i, nodes) == self.Node

		if mine || vacant {
			return Shard{FailureDomain: s.FailureDomain, Node: self.Node, BootID: self.BootID, RecordsLost: s.RecordsLost || mine}
		}

		return s
	})
}

// Vacate returns the list with all shards of a node vacant.
func (l List) Vacate(node string) (List, bool) {
	return l.change(func(_ int, s Shard) Shard {
		if s.Node == node {
			return Shard{FailureDomain: s.FailureDomain, RecordsLost: true}
		}

		return s
	})
}

// Transfer returns the list with the shards of one process assigned to their successors, given by
// shard index.
func (l List) Transfer(from Self, successors map[int]Self) (List, bool) {
	return l.change(func(i int, s Shard) Shard {
		successor, ok := successors[i]
		if !ok || s.Node != from.Node || s.BootID != from.BootID {
			return s
		}

		return Shard{FailureDomain: s.FailureDomain, Node: successor.Node, BootID: successor.BootID, FromBootID: from.BootID}
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

// preferredNode spreads vacant shards over nodes by rendezvous hashing. Nodes with different
// membership views may claim the same shard; only one compare-and-swap succeeds.
func preferredNode(i int, nodes []string) string {
	if len(nodes) == 0 {
		return ""
	}

	weight := func(node string) uint64 { return xxhash.Sum64String(strconv.Itoa(i) + "\x00" + node) }

	return slices.MaxFunc(nodes, func(a, b string) int { return cmp.Compare(weight(a), weight(b)) })
}
