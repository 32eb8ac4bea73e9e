package slots

import "time"

// Work describes a call that requests a slot.
type Work struct {
	Route string
	Rank  int
	// Target is the time by which an answer is wanted, Deadline the time after which it is
	// worthless.
	Target   time.Time
	Deadline time.Time
	// Elsewhere is set if another node can run the call.
	Elsewhere bool
	// Nearby is set if another node of the failure domain may have a free slot.
	Nearby bool
	// Nested is set if a call that runs on another backend server waits for this one.
	Nested bool
	// Workspace is the workspace that the call runs for, or "".
	Workspace string
}
