package caller

import (
	"math/rand/v2"
	"time"
)

// Outcome says whether a request ran.
type Outcome string

// The outcomes, as they stand in Pollencart-Ran.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Refusal is a node's final answer to a request that it gave up, or the lack of
// an answer.
type Refusal struct { //nolint:errname // named as the documents call it
	ID           string  `json:"ID"`
	Code         int     `json:"Code"`
	Detail       string  `json:"Detail"`
	Call         string  `json:"Call"`
	Node         string  `json:"Node"`
	Ran          Outcome `json:"Ran"`
	RetryAfterMs int64   `json:"RetryAfterMs"`
	Key          string  `json:"Key"`
	NotForwarded bool    `json:"NotForwarded"`

	noAnswer bool
	// unsent is set if there was no connection to the node.
	unsent bool
}

// Error implements error.
func (r *Refusal) Error() string { return r.ID + ": " + r.Detail + " (" + string(r.Ran) + ")" }

// final reports whether repeating is of no use. A refusal that says when to come
// back is not final, unless the mesh itself will never know more of the key.
func (r *Refusal) final() bool {
	if r.noAnswer {
		return false
	}

	switch r.ID {
	case "once.home_gone", "once.dropped", "once.ambiguous", "once.taken_over", "poison.refused":
		return true
	}

	return r.Ran == Ran || r.RetryAfterMs == 0
}

const (
	firstPause = 50 * time.Millisecond
	mostPause  = 2 * time.Second
)

// wait is how long to stay away: what the node says, or else longer each time,
// with jitter so that callers do not come back all at once.
func (r *Refusal) wait(n int) time.Duration {
	backoff := min(mostPause, firstPause<<n)

	return max(time.Duration(r.RetryAfterMs)*time.Millisecond, backoff/2) + rand.N(backoff/2)
}
