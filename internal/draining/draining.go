// Package draining decides which calls from callers a node accepts while it shuts down.
//
// Callers learn of a shutdown late, or not at all if too few other nodes are ready, and keep
// sending calls until the process ends. An accepted call must be answered, so from some
// point on a draining node has to reject new calls explicitly.
//
//  1. Leave: callers are directed to other nodes; calls are still accepted.
//  2. LimitTo: only calls that time out before the process ends are accepted. The local backend
//     server may still be running calls, which fail if their nested calls are rejected.
//  3. Close: no calls are accepted.
//
// # Usage
//
//	i := draining.New()
//	i.Leave()
//	i.LimitTo(end)
//	i.Takes(limit) // reports whether limit is no later than end
//	i.Close()
package draining

import (
	"sync/atomic"
	"time"
)

// Intake is the admission state of a node for calls from callers. It starts open, and a drain
// can't be undone.
type Intake struct {
	draining atomic.Bool
	end      atomic.Pointer[time.Time] // nil: all calls are accepted
}

// New returns an open intake.
func New() *Intake { return &Intake{} }

// Leave marks the node as draining.
func (i *Intake) Leave() { i.draining.Store(true) }

// Leaving reports whether the node is draining.
func (i *Intake) Leaving() bool { return i.draining.Load() }

// LimitTo limits the intake to calls that time out by the end of the process.
func (i *Intake) LimitTo(end time.Time) { i.end.Store(&end) }

// Close rejects all calls.
func (i *Intake) Close() { i.end.Store(&time.Time{}) }

// Takes reports whether a call with this time limit is accepted.
func (i *Intake) Takes(limit time.Time) bool {
	end := i.end.Load()

	return end == nil || !limit.After(*end)
}
