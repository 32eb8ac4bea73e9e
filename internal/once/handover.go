package once

import (
	"context"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/once/bloom"
	"github.com/pollencart/pollencart/internal/once/record"
	"github.com/pollencart/pollencart/internal/once/shard"
	"github.com/pollencart/pollencart/internal/peer"
)

// MethodAdopt is the peer method by which a draining owner hands over the records of a shard.
const MethodAdopt = "Once.Adopt"

// Adopt is one message of the handover of a shard.
type Adopt struct {
	Shard  int          `msgpack:"Shard"`
	From   string       `msgpack:"From"`
	Rows   []record.Row `msgpack:"Rows"`
	Filter bloom.Filter `msgpack:"Filter"`
	// Last marks the final message; Wait is how long keys without a record still end as unknown.
	Last bool          `msgpack:"Last"`
	Wait time.Duration `msgpack:"Wait"`
}

// Adopted is the reply of the successor.
type Adopted struct {
	Node   string `msgpack:"Node"`
	BootID string `msgpack:"Life"`
}

// ShardKeeper is the part of shard.Keeper that a handover needs.
type ShardKeeper interface {
	Stop() map[int]time.Duration
	Successor(i int) (membership.Record, bool)
	List() shard.List
	Transfer(ctx context.Context, successors map[int]shard.Self)
	Adopt(i int, fromBootID string, wait time.Duration)
}

const (
	// openKeysTimeout bounds how long a draining owner waits for running opaque keys; the successor
	// answers unknown for those still running.
	openKeysTimeout = time.Second
	// maxPartBytes bounds the records in one message.
	maxPartBytes     = 512 << 10
	rowOverheadBytes = 256 // encoded size of a record without its answer body
)

// HandOver transfers the opaque keys of this process, with their records, to other nodes of its
// failure domain, so that a planned stop loses no outcome. The order keeps each shard with at most
// one active owner: this process stops, then the successor receives the records, then the list on
// the platform names the new owner.
func (h *Home) HandOver(ctx context.Context, k ShardKeeper, peers Peers) {
	owned := k.Stop()
	if len(owned) == 0 {
		return
	}

	h.waitForOpenKeys(ctx)

	successors := map[int]shard.Self{}

	for i, wait := range owned {
		if successor, ok := h.handOverShard(ctx, k, peers, i, wait); ok {
			successors[i] = successor
		}
	}

	k.Transfer(ctx, successors)
}

func (h *Home) waitForOpenKeys(ctx context.Context) {
	const pause = 5 * time.Millisecond

	for began := time.Now(); h.table.OpenOpaque() > 0 && time.Since(began) < openKeysTimeout; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

func (h *Home) handOverShard(ctx context.Context, k ShardKeeper, peers Peers, i int, wait time.Duration) (shard.Self, bool) {
	successor, ok := k.Successor(i)
	if !ok {
		return shard.Self{}, false
	}

	list := k.List()
	rows := h.table.Rows(func(id string) bool {
		_, n, _ := list.Of(id)

		return n == i
	}, call.Refuse(ErrAmbiguous, call.RanUnknown, time.Second))

	part := Adopt{Shard: i, From: h.bootID, Filter: h.table.Filter(), Wait: wait}

	for {
		part.Rows, rows = split(rows)
		part.Last = len(rows) == 0

		var out Adopted
		if peers.Do(ctx, successor.PeerAddress, peer.LaneControl, MethodAdopt, part, &out) != nil {
			return shard.Self{}, false
		}

		if part.Last {
			return shard.Self{Node: out.Node, BootID: out.BootID, FailureDomain: successor.FailureDomain}, true
		}

		part.Filter = bloom.Filter{}
	}
}

// split cuts off as many records as fit into one message.
func split(rows []record.Row) (part, rest []record.Row) {
	size := 0

	for i, p := range rows {
		size += rowOverheadBytes + len(p.ID)
		if p.Answer != nil {
			size += len(p.Answer.Body)
		}

		if size > maxPartBytes && i > 0 {
			return rows[:i], rows[i:]
		}
	}

	return rows, nil
}

// ServeAdopt stores the records sent by a draining owner. They have no effect until the list on the
// platform names this process as the successor of that owner, because no node forwards their keys
// here before that.
func (h *Home) ServeAdopt(k ShardKeeper) func(context.Context, Adopt) (Adopted, error) {
	return func(_ context.Context, in Adopt) (Adopted, error) {
		if err := in.Filter.Check(); err != nil {
			return Adopted{}, err
		}

		h.table.AdoptFilter(in.Filter)

		if !h.table.Adopt(in.Rows) {
			return Adopted{}, record.ErrFull
		}

		if in.Last {
			k.Adopt(in.Shard, in.From, in.Wait)
		}

		return Adopted{Node: h.node, BootID: h.bootID}, nil
	}
}
