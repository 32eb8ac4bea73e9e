// Package wallet decides at an entry whether a call of one workspace may run: with a call that the
// home of the workspace has granted, by a refusal that is remembered, or, while the home can't be
// reached, with the entry's own share of the limit.
//
// # Usage
//
//	w := wallet.New(bound)
//	switch w.Take() {
//	case wallet.Ask: // ask the home, then w.Granted(...) and Take again
//	}
package wallet

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/quota/ledger"
)

const (
	// demandMemory is the time over which the demand is averaged.
	demandMemory = time.Second
	// batchTime is the demand that an entry asks for in advance.
	batchTime = 250 * time.Millisecond
	// returnLife is the life of a call that was given back.
	returnLife = 100 * time.Millisecond
	// minHold and maxHold bound how long a refusal is remembered. Every entry asks again after it, so
	// that room at the home is used.
	minHold = 25 * time.Millisecond
	maxHold = 150 * time.Millisecond
	// overlapEvery is how often an entry may use its own share while a home may still count it.
	overlapEvery = 5 * time.Second
)

// Decision is what an entry does with a call.
type Decision uint8

// The decisions.
const (
	Run    Decision = iota + 1
	Refuse          // Refusal has the time to come back
	Ask             // no granted call is left
)

// Refusal is the last refusal of the home, or of the entry on its own.
type Refusal struct {
	At      time.Time
	Wait    time.Duration
	Spread  time.Duration
	Counted int
	Version uint64
	Alone   bool
}

// RetryAfter returns a time at which there will be room, spread over the refused calls.
func (r Refusal) RetryAfter() time.Duration {
	return max(time.Until(r.At.Add(r.Wait)), 0) + rand.N(max(r.Spread, time.Millisecond))
}

// lot is a number of granted calls that end together.
type lot struct {
	calls int
	ends  time.Time
}

// Wallet holds the granted calls of one workspace at one entry.
type Wallet struct {
	bound ledger.Bound

	mu      sync.Mutex
	lots    []lot
	taken   lot // calls taken lately, which may be given back
	demand  float64
	used    time.Time
	refusal Refusal
	hold    time.Time // until when the refusal is remembered
	refused int       // calls refused since the last ask
	alone   alone
}

// New returns an empty wallet.
func New(b ledger.Bound) *Wallet { return &Wallet{bound: b, used: time.Now()} }

// Offer counts a call that a caller sent.
func (w *Wallet) Offer() {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := time.Now()
	w.demand = w.demand*math.Exp(-now.Sub(w.used).Seconds()/demandMemory.Seconds()) + 1/demandMemory.Seconds()
	w.used = now
}

// Take decides on a call.
func (w *Wallet) Take() Decision {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := time.Now()

	switch {
	case w.takeLot(now):
		return Run
	case now.Before(w.hold):
		w.refused++

		return Refuse
	}

	return Ask
}

func (w *Wallet) takeLot(now time.Time) bool {
	for len(w.lots) > 0 && (w.lots[0].calls == 0 || !now.Before(w.lots[0].ends)) {
		w.lots = w.lots[1:]
	}

	if len(w.lots) == 0 {
		return false
	}

	w.lots[0].calls--
	w.countTaken(now)

	return true
}

// countTaken counts a taken call, which may be given back for the life of a granted call.
func (w *Wallet) countTaken(now time.Time) {
	if !now.Before(w.taken.ends) {
		w.taken = lot{ends: now.Add(w.bound.Life())}
	}

	w.taken.calls++
}

// Return gives back a call that did not run. Later than the life of a granted call it is gone: it
// would be a second call in a later window.
func (w *Wallet) Return() {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := time.Now()
	if w.taken.calls == 0 || !now.Before(w.taken.ends) {
		return
	}

	w.taken.calls--
	w.lots = append([]lot{{calls: 1, ends: now.Add(returnLife)}}, w.lots...)
}

// Spare returns the number of calls to ask for in advance, 0 if there are enough.
func (w *Wallet) Spare() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := time.Now()
	if now.Before(w.hold) {
		return 0
	}

	batch := int(w.demand * batchTime.Seconds())
	held := 0

	for _, l := range w.lots {
		if now.Before(l.ends) {
			held += l.calls
		}
	}

	if 2*held >= batch {
		return 0
	}

	return batch - held
}

// Refused returns the calls refused since the last time it was called.
func (w *Wallet) Refused() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	n := w.refused
	w.refused = 0

	return n
}

// Granted stores the answer of the home to an ask that was sent at a time.
func (w *Wallet) Granted(g ledger.Grant, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := time.Now()
	if g.Calls > 0 {
		w.lots = append(w.lots, lot{calls: g.Calls, ends: sent.Add(w.bound.Life())})
	}

	if !g.Short || g.Unready {
		return
	}

	w.refusal = Refusal{
		At: now, Wait: time.Duration(g.WaitMs) * time.Millisecond, Spread: time.Duration(g.SpreadMs) * time.Millisecond,
		Counted: g.Counted, Version: g.Version,
	}
	w.hold = now.Add(min(max(w.refusal.Wait/2, minHold), maxHold))
}

// Last returns the last refusal.
func (w *Wallet) Last() Refusal {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.refusal
}

// Used returns the time of the last call.
func (w *Wallet) Used() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.used
}
