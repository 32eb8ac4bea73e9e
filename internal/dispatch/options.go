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
	"github.com/pollencart/pollencart/internal/workspace"
)

// Members is the membership view.
type Members interface {
	// Serving returns the nodes whose backend server accepts calls of the service. It
	// returns the same slice until the set changes, and never modifies a returned slice.
	Serving(service string) []membership.Record
	CountLive() int
}

// Peers sends calls to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
	// DoElsewhere is Do for a call that another node can take: the call is abandoned once
	// the link is in doubt.
	DoElsewhere(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
	// Link returns the state of a connection. Open starts connecting.
	Link(address string, lane peer.Lane) peer.Link
	Open(address string, lane peer.Lane)
}

// Runner runs a call on the local backend server.
type Runner interface {
	Serve(ctx context.Context, in forward.Request) (forward.Reply, error)
}

// Tables provides the active routing table, or nil before the first one.
type Tables interface {
	Load() *route.Table
}

// Meter counts responses and retries.
type Meter interface {
	Answered(o Outcome)
	// Repeated counts a call that qualifies for a retry, and whether the budget allows it.
	Repeated(service string, allowed bool)
}

// Intake decides which calls a draining node still accepts.
type Intake interface {
	// Leaving reports whether this node is draining.
	Leaving() bool
	// Takes reports whether a call that may last until its time limit is accepted.
	Takes(limit time.Time) bool
}

// Trials assigns calls to a version that is on trial.
type Trials interface {
	// Assign returns the nodes at which a call is to be tried first, or none. It is called once
	// for each call. Unassign takes back the assignment of a call that reached no backend server.
	Assign(service, route string) []membership.Record
	Unassign(service, route string)
}

// Versions tells whether the active version is the newest.
type Versions interface {
	// Lacks reports whether this node has heard of a newer version than the active one.
	Lacks() bool
}

// Quotas decides whether calls fit the limits of their workspaces.
type Quotas interface {
	// Take takes one call from the limit of the workspace. It may ask another node, and no longer than
	// the context lasts.
	Take(ctx context.Context, w *workspace.Workspace) QuotaDecision
	// Return gives back a call that certainly did not run and will not.
	Return(w *workspace.Workspace)
}

// QuotaDecision is the answer of [Quotas].
type QuotaDecision struct {
	// Allowed reports whether the call may run. Otherwise RetryAfter is when there will be room, and
	// Reason says which limit refused it, with its counts and their age.
	Allowed    bool
	RetryAfter time.Duration
	Reason     string
	// BelowLimit reports a refusal although the limit as a whole is not known to be used up.
	BelowLimit bool
}

// Options of a dispatcher.
type Options struct {
	Node          string
	FailureDomain string
	// Service is the service of the local backend server, the origin of the calls.
	Service  string
	Names    header.Names
	Tables   Tables
	Members  Members
	Peers    Peers
	Own      Runner
	Balancer *balancer.Balancer
	Budget   *retrybudget.Budget
	// CountNodes returns the number of nodes that share the slack of the budget, 0 while this node does not know it.
	// Without it these are the live members.
	CountNodes func() int
	Recorder   *timeline.Recorder
	Intake     Intake
	Meter      Meter
	// Trials is nil if versions are not told apart.
	Trials Trials
	// Versions is nil if the active version counts as the newest.
	Versions Versions
	// Quotas is nil if no limits are kept.
	Quotas Quotas
}
