package quota

import (
	"context"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/quota/ledger"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Members is the membership view.
type Members interface {
	Self() membership.Record
	// Live returns the records of live nodes, which must not be modified.
	Live() []membership.Record
	// FirstOf returns up to count live nodes of a failure domain, in the same order on all nodes.
	FirstOf(domain string, count int) []membership.Record
	// CountKnown returns the number of live nodes and of those that are dead for less than a time.
	CountKnown(dead time.Duration) int
}

// Peers sends asks to other nodes.
type Peers interface {
	DoElsewhere(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
	Link(address string, lane peer.Lane) peer.Link
}

// Tables provides the active routing table, or nil before the first one.
type Tables interface {
	Load() *route.Table
}

// Options of an agent.
type Options struct {
	Bound    ledger.Bound
	Tables   Tables
	Members  Members
	Peers    Peers
	Recorder *timeline.Recorder
	// Search reports what this node knows of nodes that are no members yet. Without it there are none.
	Search Search
	// Leaving reports whether the process is being stopped.
	Leaving func() bool
}

// searched is the search of a node that knows all others.
type searched struct{}

func (searched) Searched() bool { return true }

func (searched) CountUnjoined() int { return 0 }
