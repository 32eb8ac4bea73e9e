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

// MethodAdopt is the peer method by which a home that leaves hands over the
// records of a shard.
const MethodAdopt = "Once.Adopt"

// Adopt is a part of the records of a shard.
type Adopt struct {
	Shard  int          `msgpack:"Shard"`
	From   string       `msgpack:"From"`
	Rows   []record.Row `msgpack:"Rows"`
	Filter bloom.Filter `msgpack:"Filter"`
	// Last says that all parts were sent, and Wait how long unseen keys are still
	// unknown.
	Last bool          `msgpack:"Last"`
	Wait time.Duration `msgpack:"Wait"`
}

// Adopted is the answer of the successor.
type Adopted struct {
	Node string `msgpack:"Node"`
	Life string `msgpack:"Life"`
}

// Shares is the part of the keeper that leaving needs.
type Shares interface {
	Stop() map[int]time.Duration
	Successor(i int) (membership.Record, bool)
	List() shard.List
	Transfer(ctx context.Context, successors map[int]shard.Self)
	Adopt(i int, from string, wait time.Duration)
}

const (
	// settleTime bounds how long a home that leaves waits for opaque keys that have
	// not ended; the successor answers unknown to the rest.
	settleTime = time.Second
	// partBytes bounds one message of a handover.
	partBytes = 512 << 10
	rowBytes  = 256 // of a record without the body of its answer
)

// HandOver gives the opaque keys of this home to other nodes of its failure
// domain, with their records, so that a planned stop costs no caller its answer.
// The order makes it safe: this home stops first, then the successor has the records,
// then the platform says who owns the shard.
func (h *Home) HandOver(ctx context.Context, k Shares, peers Peers) {
	owned := k.Stop()
	if len(owned) == 0 {
		return
	}

	h.waitOpaque(ctx)

	successors := map[int]shard.Self{}

	for i, wait := range owned {
		if successor, ok := h.handOver(ctx, k, peers, i, wait); ok {
			successors[i] = successor
		}
	}

	k.Transfer(ctx, successors)
}

func (h *Home) waitOpaque(ctx context.Context) {
	const pause = 5 * time.Millisecond

	for began := time.Now(); h.table.OpenOpaque() > 0 && time.Since(began) < settleTime; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

func (h *Home) handOver(ctx context.Context, k Shares, peers Peers, i int, wait time.Duration) (shard.Self, bool) {
	successor, ok := k.Successor(i)
	if !ok {
		return shard.Self{}, false
	}

	list := k.List()
	rows := h.table.Rows(func(id string) bool {
		_, n, _ := list.Of(id)

		return n == i
	}, call.Refuse(ErrAmbiguous, call.RanUnknown, time.Second))

	part := Adopt{Shard: i, From: h.life, Filter: h.table.Filter(), Wait: wait}

	for {
		part.Rows, rows = split(rows)
		part.Last = len(rows) == 0

		var out Adopted
		if peers.Do(ctx, successor.PeerAddress, peer.LaneControl, MethodAdopt, part, &out) != nil {
			return shard.Self{}, false
		}

		if part.Last {
			return shard.Self{Node: out.Node, Life: out.Life, FailureDomain: successor.FailureDomain}, true
		}

		part.Filter = bloom.Filter{}
	}
}

// split cuts off as many records as fit a message.
func split(rows []record.Row) (part, rest []record.Row) {
	size := 0

	for i, p := range rows {
		size += rowBytes + len(p.ID)
		if p.Answer != nil {
			size += len(p.Answer.Body)
		}

		if size > partBytes && i > 0 {
			return rows[:i], rows[i:]
		}
	}

	return rows, nil
}

// ServeAdopt takes records from a home that leaves. They are of use only once the
// platform says that this process owns the shard from that home; until then they
// can do no more than answer a key that nobody forwards here.
func (h *Home) ServeAdopt(k Shares) func(context.Context, Adopt) (Adopted, error) {
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

		return Adopted{Node: h.node, Life: h.life}, nil
	}
}
