// Package rollout defines the gradual replacement of a service's backend servers by those of
// another version, and which versions may receive calls meanwhile.
//
// # How a roll-out is decided
//
// The operator orders a roll-out of a target version for a service, with a time limit. Backend
// servers of the target version start beside those of the version in use, the baseline. The
// order ends in one of two verdicts: the roll-out is completed, and the operator stops the
// baseline at once, or it is rolled back, and the target version is removed.
//
// While a roll-out is Running, the target version is a canary. Three packages decide:
//
//   - Package exposure bounds what a bad version can spoil. Each entry node sends a fixed
//     share of its own calls to the canary. A share of each node's calls is the same share of
//     all calls, so the bound needs no messages and holds across partitions and restarts.
//   - Package evidence counts what the calls came to, at the node beside each backend server,
//     by route and by how busy the backend server was.
//   - Package verdict compares canary and baseline over the same period and route, and decides
//     when the evidence is sufficient.
//
// Canary calls of all nodes go to the same backend server for a short time, then to the next
// one. Each of them is thereby seen under the load at which the version would run, which an
// even distribution of a small share never reaches, and one failing host does not decide
// for the version.
//
// A good version is Moving next: its backend servers accept calls like any other, and those
// of the baseline withdraw one after the other. The verdict is stored once they are idle.
//
// Package control reads orders, distributes the state of roll-outs and stores verdicts.
//
// # Usage
//
//	r := rollout.New(order).WithState(rollout.RolledBack, "failures")
//	if r.Role(version) == rollout.Excluded { ... }
package rollout

import (
	"net/http"
	"slices"
	"time"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrOrder is returned for an order that can't be carried out.
var ErrOrder = errs.New("rollout.order", http.StatusUnprocessableEntity, "roll-out order not accepted")

// State is the progress of a roll-out.
type State string

// The states, in order of progress. Completed and RolledBack are verdicts and final.
const (
	// Running means that the target version receives a small share of the calls.
	Running State = "Running"
	// Moving means that the target version is good and takes over all calls.
	Moving State = "Moving"
	// Completed means that only the target version receives calls.
	Completed State = "Completed"
	// RolledBack means that the target version receives no calls.
	RolledBack State = "RolledBack"
)

// Final reports whether the state is a verdict.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Role is what a version may receive during a roll-out.
type Role uint8

// The roles.
const (
	// Regular versions receive calls like those of a service without a roll-out.
	Regular Role = iota
	// Canary versions receive the share of calls that entry nodes assign to them.
	Canary
	// Excluded versions receive no calls.
	Excluded
)

// String returns the name of the role.
func (r Role) String() string { return [...]string{"regular", "canary", "excluded"}[r] }

// Order is the operator's order of a roll-out.
type Order struct {
	Service  string
	Target   string
	Duration time.Duration
	// Epoch and Revision identify the order. A later write of the same order in one epoch of
	// the store is another order.
	Epoch    uint64
	Revision int64
}

// maxRejected bounds the versions that a Rollout remembers as rejected.
const maxRejected = 8

// Rollout is an order with its state.
type Rollout struct {
	Service string `json:"Service" msgpack:"Service"`
	Target  string `json:"Target" msgpack:"Target"`
	// DurationMs is the time limit of the order in milliseconds.
	DurationMs int64  `json:"DurationMs" msgpack:"DurationMs"`
	Epoch      uint64 `json:"Epoch" msgpack:"Epoch"`
	Revision   int64  `json:"Revision" msgpack:"Revision"`
	State      State  `json:"State" msgpack:"State"`
	Reason     string `json:"Reason" msgpack:"Reason"`
	// Rejected holds the versions of earlier orders that were not completed. Their backend
	// servers may still be running.
	Rejected []string `json:"Rejected" msgpack:"Rejected"`
	// Stored reports that the state is known to be in the store.
	Stored bool `json:"-" msgpack:"Stored"`
}

// New returns the roll-out of an order, Running and not stored.
func New(o Order) Rollout {
	return Rollout{
		Service: o.Service, Target: o.Target, DurationMs: o.Duration.Milliseconds(), Epoch: o.Epoch, Revision: o.Revision, State: Running,
	}
}

// Check returns an error if a decoded roll-out is invalid.
func (r *Rollout) Check() error {
	switch r.State {
	case Running, Moving, Completed, RolledBack:
	default:
		return ErrOrder.With("state %q", r.State)
	}

	if r.Service == "" || r.Target == "" || len(r.Rejected) > maxRejected {
		return ErrOrder.With("service %q, target %q, %d rejected", r.Service, r.Target, len(r.Rejected))
	}

	return nil
}

// Duration returns the time limit.
func (r Rollout) Duration() time.Duration { return time.Duration(r.DurationMs) * time.Millisecond }

// WithState returns a copy in another state that is not stored yet.
func (r Rollout) WithState(s State, reason string) Rollout {
	r.State, r.Reason, r.Stored = s, reason, false

	return r
}

// WithStored returns a copy whose state is known to be in the store.
func (r Rollout) WithStored() Rollout {
	r.Stored = true

	return r
}

// WithOrder returns a copy that carries out a repetition of the same order.
func (r Rollout) WithOrder(o Order) Rollout {
	r.Epoch, r.Revision, r.Stored = o.Epoch, o.Revision, false

	return r
}

// After returns a copy that follows an earlier roll-out of the service. The earlier target is
// rejected unless it was completed.
func (r Rollout) After(earlier Rollout) Rollout {
	rejected := slices.Clone(earlier.Rejected)
	if earlier.State != Completed {
		rejected = append(rejected, earlier.Target)
	}

	slices.Sort(rejected)
	rejected = slices.DeleteFunc(slices.Compact(rejected), func(v string) bool { return v == r.Target })
	r.Rejected = rejected[max(0, len(rejected)-maxRejected):]

	return r
}

// SameOrder reports whether both carry out the same order.
func (r Rollout) SameOrder(o Rollout) bool {
	return r.Service == o.Service && r.Epoch == o.Epoch && r.Revision == o.Revision
}

// Repeats reports whether an order has the same content as that of the roll-out but belongs to
// a later epoch, in which the operator repeats its writes.
func (r Rollout) Repeats(o Order) bool {
	return o.Epoch > r.Epoch && o.Service == r.Service && o.Target == r.Target && o.Duration == r.Duration()
}

// Supersedes reports whether r replaces o: it carries out a later order, or has progressed
// further. A stored verdict is never replaced by another one of the same order.
func (r Rollout) Supersedes(o Rollout) bool {
	if r.Epoch != o.Epoch {
		return r.Epoch > o.Epoch
	}

	if r.Revision != o.Revision {
		return r.Revision > o.Revision
	}

	return r.progress() > o.progress()
}

// progress orders the states of one order. A verdict that is not stored yet may lose to
// another one that is.
func (r Rollout) progress() int {
	rank := map[State]int{Running: 0, Moving: 2, Completed: 4, RolledBack: 4}[r.State]
	if r.Stored {
		rank++
	}

	if r.Stored && r.State.Final() {
		rank += 2
	}

	return rank
}

// Role returns what a version of the service may receive. While the roll-out is Moving, the
// time at which a baseline backend server withdraws is up to its node.
func (r Rollout) Role(version string) Role {
	switch {
	case version == r.Target:
		return map[State]Role{Running: Canary, Moving: Regular, Completed: Regular, RolledBack: Excluded}[r.State]
	case r.State == Completed, slices.Contains(r.Rejected, version):
		return Excluded
	}

	return Regular
}
