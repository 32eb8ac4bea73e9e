package caller

import (
	"math/rand/v2"
	"time"
)

// Outcome says whether a request ran.
type Outcome string

// Values of the Pollencart-Ran header.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Refusal is the reply of a node that rejected or abandoned a request. It also
// represents a missing answer.
type Refusal struct { //nolint:errname // the term of the documentation
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
	// notSent is set if no connection to the node could be made.
	notSent bool
}

// Error implements error.
func (r *Refusal) Error() string { return r.ID + ": " + r.Detail + " (" + string(r.Ran) + ")" }

// final reports whether a retry is pointless. A refusal with RetryAfterMs is not
// final, unless its ID means that the outcome of the key cannot change any more.
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
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// retryDelay returns the delay before retry n: RetryAfterMs or half the exponential
// backoff, whichever is longer, plus jitter so that callers do not retry in step.
func (r *Refusal) retryDelay(n int) time.Duration {
	backoff := min(maxBackoff, minBackoff<<n)

	return max(time.Duration(r.RetryAfterMs)*time.Millisecond, backoff/2) + rand.N(backoff/2)
}
