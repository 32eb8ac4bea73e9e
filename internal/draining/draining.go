// Package draining decides which calls of callers a node takes while it is being stopped.
//
// Callers learn of a stop late, or not at all if too few other nodes are ready, and go on
// calling until the process has ended. A call that is taken then must still be answered,
// so a stop needs a moment from which on it takes none, and says so.
//
//  1. Leave: callers are told to go elsewhere, and calls are taken as before.
//  2. Finish: only calls whose time limit is before the end of the process are taken. The
//     backend server here may still run calls, which fail without the calls that it makes
//     itself.
//  3. Close: none is taken.
//
// # Usage
//
//	i := draining.New()
//	i.Leave()
//	i.Finish(end)
//	i.Takes(limit) // reports whether limit is before end
//	i.Close()
package draining

import (
	"sync/atomic"
	"time"
)

// Intake is open until it is told otherwise, and never opens again.
type Intake struct {
	leaving atomic.Bool
	end     atomic.Pointer[time.Time] // nil: any call is taken
}

// New returns an open intake.
func New() *Intake { return &Intake{} }

// Leave notes that a planned stop began.
func (i *Intake) Leave() { i.leaving.Store(true) }

// Leaving reports whether a planned stop began.
func (i *Intake) Leaving() bool { return i.leaving.Load() }

// Finish takes only calls that are over by the end of the process.
func (i *Intake) Finish(end time.Time) { i.end.Store(&end) }

// Close takes no calls.
func (i *Intake) Close() { i.end.Store(&time.Time{}) }

// Takes reports whether a call is taken that may last until its time limit.
func (i *Intake) Takes(limit time.Time) bool {
	end := i.end.Load()

	return end == nil || !limit.After(*end)
}
