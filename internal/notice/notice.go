// Package notice keeps what the backend server on this host says of itself in its answers: a limit in
// calls a second, and that it is leaving.
//
// # Order
//
// Answers overlap: one that was made before the backend server named a limit may be read after one that
// names it. A limit that begins or falls therefore counts at once. One that rises or ends counts only
// if the call was sent after the newest answer with the current limit, so that the answer is surely
// newer. A departure is never taken back.
//
// # Restarts
//
// All answers pass this process, but an earlier process on the host may have heard some that this one has
// not. Nodes that passed such answers on send what they know with their calls. It counts until this
// process has an answer of its own.
//
// # Usage
//
//	k := notice.New()
//	k.Reset("i-1", 0)
//	change, ok := k.Heard("i-1", sent, time.Now(), signals)
//	current := k.Current(time.Now()) // for replies
package notice

import (
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/header"
)

// Change is a change of what is known.
type Change struct {
	Before, After forward.Notice
}

// Keeper holds the newest notice of one backend server.
type Keeper struct {
	mu     sync.Mutex
	notice forward.Notice // its AgeMs is not used
	// at is the time of the newest answer with the current limit.
	at time.Time
	// heard is set once this process has an answer of the backend server.
	heard bool
}

// New returns a keeper without a backend server.
func New() *Keeper { return &Keeper{} }

// Reset forgets what an earlier start of the backend server said. It keeps the notice if only the start
// time has become known.
func (k *Keeper) Reset(instance string, started int64) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if k.notice.Instance != "" && k.notice.IsAbout(instance, started) {
		k.notice.Started = max(k.notice.Started, started)

		return
	}

	k.notice, k.at, k.heard = forward.Notice{Instance: instance, Started: started}, time.Time{}, false
}

// Heard takes in the signals of an answer to a call that was sent at the given time to an instance. It
// reports whether the notice changed.
func (k *Keeper) Heard(instance string, sent, now time.Time, s header.Signals) (Change, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if instance != k.notice.Instance {
		return Change{}, false
	}

	before := k.notice
	k.notice.Leaving = k.notice.Leaving || s.Leaving

	switch {
	case s.Limited && (!before.Limited || s.Limit <= before.Limit), s.Limited && sent.After(k.at):
		k.notice.Limited, k.notice.Limit, k.at = true, s.Limit, now
	case !s.Limited && s.Invalid == "" && before.Limited && sent.After(k.at):
		k.notice.Limited, k.notice.Limit = false, 0
	}

	k.heard = true

	return Change{Before: before, After: k.notice}, before != k.notice
}

// Told takes in what another node knows from earlier replies, or nil. It reports whether the notice
// changed.
func (k *Keeper) Told(n *forward.Notice, now time.Time) (Change, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if n == nil || k.notice.Instance == "" || !n.IsAbout(k.notice.Instance, k.notice.Started) {
		return Change{}, false
	}

	before, at := k.notice, now.Add(-n.Age())
	k.notice.Leaving = k.notice.Leaving || n.Leaving

	if n.Limited && !k.heard && (!before.Limited || at.After(k.at)) {
		k.notice.Limited, k.notice.Limit, k.at = true, n.Limit, at
	}

	return Change{Before: before, After: k.notice}, before != k.notice
}

// Current returns the notice, or nil if the backend server is neither limited nor leaving.
func (k *Keeper) Current(now time.Time) *forward.Notice {
	k.mu.Lock()
	defer k.mu.Unlock()

	if !k.notice.Limited && !k.notice.Leaving {
		return nil
	}

	out := k.notice
	if !k.at.IsZero() {
		out.AgeMs = max(now.Sub(k.at).Milliseconds(), 0)
	}

	return &out
}
