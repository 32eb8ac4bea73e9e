package wallet

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pollencart/pollencart/internal/quota/ledger"
)

// alone is the entry's own share of a limit, which it uses while no home counts it.
//
// The share of a small limit is far below one call a second. Each entry starts at a random part of a
// call, so that the calls of all entries together come at their rate. A whole call that nobody uses
// ends after a while: all entries together hold no more than a burst and a part of the slack.
type alone struct {
	level float64
	at    time.Time // of the last refill
	spell time.Time // when the home was lost, as of the last use
	// overlap is the start of the last spell in which the share was used while a home might count it.
	overlap time.Time
}

// Share is the entry's own share of a limit.
type Share struct {
	Limit ledger.Limit
	// Nodes is the number of nodes that share the limit.
	Nodes int
	// Lost is when the home was lost, Own from when on no home counts this entry's share.
	Lost, Own time.Time
}

// TakeAlone decides on a call with the entry's own share.
func (w *Wallet) TakeAlone(s Share) Decision {
	w.mu.Lock()
	defer w.mu.Unlock()

	now := time.Now()
	if w.takeLot(now) {
		return Run
	}

	pace := w.bound.Pace(s.Limit)
	rate := pace / float64(max(s.Nodes, 1))
	life := w.bound.Depth(s.Limit) / pace
	w.alone.refill(rate, life, s, now)

	if w.alone.level < 1 {
		w.refusal = Refusal{
			At: now, Wait: time.Duration(min((1-w.alone.level)/rate, maxAloneWait) * float64(time.Second)), Spread: aloneSpread, Alone: true,
			Counted: s.Nodes,
		}

		return Refuse
	}

	w.alone.spend(rate * life)
	w.countTaken(now)

	return Run
}

const (
	// maxAloneWait is the longest wait in seconds that an entry on its own tells: another home is found
	// by then.
	maxAloneWait = 1.0
	aloneSpread  = 500 * time.Millisecond
)

// spend takes one call. Of a call that was unused for a while the rest of its life is gone.
func (a *alone) spend(depth float64) {
	if a.level--; depth < 1 {
		a.level = 0
	}
}

// refill adds what the share came to since the last use. rate is in calls a second, life that of an
// unused call in seconds.
func (a *alone) refill(rate, life float64, s Share, now time.Time) {
	if a.spell != s.Lost {
		a.spell = s.Lost

		if s.Lost.Sub(a.overlap) > overlapEvery {
			a.overlap, a.level, a.at = s.Lost, rand.Float64(), s.Lost
		} else {
			a.at = s.Own
		}
	}

	if !now.After(a.at) {
		return
	}

	a.level += rate * now.Sub(a.at).Seconds()
	a.at = now

	if depth := rate * life; depth < 1 {
		a.level = math.Mod(a.level, 1+depth) // one call, which is dropped and filled anew while nobody uses it
	} else {
		a.level = min(a.level, depth)
	}
}
