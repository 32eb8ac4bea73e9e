package dispatch

import (
	"context"
	"time"

	"github.com/pollencart/pollencart/internal/balancer"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/retrybudget"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Members gives the nodes whose backend server takes calls of a service.
type Members interface {
	// Serving returns the same slice until something changes, and never changes one.
	Serving(service string) []membership.Record
	CountLive() int
}

// Peers hands calls to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
	// DoElsewhere is Do for a call that may go to another node as well.
	DoElsewhere(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
	// Link tells what is known of a connection, Open begins to make one.
	Link(address string, lane peer.Lane) peer.Link
	Open(address string, lane peer.Lane)
}

// Runner runs a call on the backend server of this host.
type Runner interface {
	Serve(ctx context.Context, in forward.Request) (forward.Reply, error)
}

// Tables gives the routing in force.
type Tables interface {
	Load() *route.Table
}

// Meter counts what callers get.
type Meter interface {
	Answered(o Outcome)
	// Repeated counts a call that might be sent once more, and whether it is.
	Repeated(service string, allowed bool)
}

// Intake says what a node that is being stopped still takes.
type Intake interface {
	// Leaving reports whether a planned stop of this node began.
	Leaving() bool
	// Takes reports whether a call is taken that may last until its time limit.
	Takes(limit time.Time) bool
}

// Options of a dispatcher.
type Options struct {
	Node          string
	FailureDomain string
	// Service is that of the backend server on this host, where calls begin.
	Service  string
	Names    header.Names
	Tables   Tables
	Members  Members
	Peers    Peers
	Own      Runner
	Balancer *balancer.Balancer
	Budget   *retrybudget.Budget
	Recorder *timeline.Recorder
	Intake   Intake
	Meter    Meter
}
