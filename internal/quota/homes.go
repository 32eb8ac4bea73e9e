package quota

import (
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/quota/home"
	"github.com/pollencart/pollencart/internal/quota/ledger"
)

const (
	// renewInterval is the longest pause between two asks to a home. It lets one renewal get lost within
	// a lease.
	renewInterval = 400 * time.Millisecond
	// tolerance is how much earlier than due a home may be asked.
	tolerance = 10 * time.Millisecond
	// probeInterval is the pause between asks to a candidate that is not in use.
	probeInterval = time.Second
	// lostAfter is how long a home may answer nothing before a failed ask means that it is lost.
	lostAfter = 250 * time.Millisecond
	// replaceAfter is how long a home may be lost before it is left out of the set.
	replaceAfter = 300 * time.Millisecond
	// returnAfter is how long a candidate must answer before it is taken into the set again.
	returnAfter = 3 * time.Second
	// settleTime is how long a choice with new homes must stay the same before it is used. A process
	// younger than youngTime, which still learns of other nodes, corrects its choice sooner, and at once
	// before its first delegation.
	settleTime      = 2 * time.Second
	youngSettleTime = 250 * time.Millisecond
	youngTime       = 4 * time.Second
	// domainHomes is the number of homes in the own failure domain while no better one is reachable.
	domainHomes = 2
)

// homes holds this entry's view of the homes, and its delegations to them.
type homes struct {
	self string

	mu sync.Mutex
	// started is when this node began to ask homes, which is when it had learned of other nodes. No process before this
	// one uses its share then.
	started time.Time
	set     *home.Set // nil before the first choice
	// next replaces set at moveAt, when no home that loses workspaces counts this node any more. It is
	// nil if the choice stands.
	next        *home.Set
	moveAt      time.Time
	wanted      uint64 // the set chosen last
	wantedSince time.Time
	delegated   bool // a share was delegated since the start
	states      map[string]*state
}

// state is what the entry knows of a home.
type state struct {
	id, address string
	boot        uint64
	stamp       int64
	// renewed is the stamp to send while the delegation must not be renewed, 0 if it is.
	renewed     int64
	silentUntil time.Time // until when a process before this one may count the delegation
	confirmed   uint64    // the set that the home knows
	ready       bool      // the home grants calls
	leaving     bool      // the home is being stopped
	asked       time.Time
	received    time.Time // of the last answer
	lost        time.Time // zero while it answers
	back        time.Time // when it answered again
}

func newHomes(self string) *homes {
	return &homes{self: self, started: time.Now(), states: map[string]*state{}}
}

// begin says that this node knows from now on which nodes share the limits.
func (h *homes) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.started = time.Now()
}

// target is the home of a workspace.
type target struct {
	id, address string
	// reachable is false while no home answers for the workspace. lost and own are then as in
	// [wallet.Share].
	reachable bool
	lost, own time.Time
}

// of returns the home of a workspace.
func (h *homes) of(workspace string) target {
	h.mu.Lock()
	defer h.mu.Unlock()

	ready := h.started.Add(ledger.Lease)
	if h.set == nil {
		return target{lost: ready, own: ready}
	}

	s := h.state(h.set.Of(workspace))
	t := target{id: s.id, address: s.address, reachable: s.lost.IsZero() && s.ready, lost: s.lost, own: s.received.Add(ledger.Lease)}

	if s.lost.IsZero() {
		t.lost = s.received
	}

	if t.lost.Before(ready) {
		t.lost = ready
	}

	if t.own.Before(ready) {
		t.own = ready
	}

	return t
}

func (h *homes) state(id string) *state {
	s := h.states[id]
	if s == nil {
		s = &state{id: id}
		h.states[id] = s
	}

	return s
}

// header returns an ask to a home without items.
func (h *homes) header(id string, known int) ledger.Ask {
	h.mu.Lock()
	defer h.mu.Unlock()

	now := time.Now()
	s := h.state(id)
	s.asked = now
	in := ledger.Ask{Node: h.self, Known: known, Young: now.Sub(h.started) < ledger.Lease}

	if !now.Before(s.silentUntil) && (h.delegated || h.set != nil && now.Sub(h.wantedSince) >= youngSettleTime) {
		in.Boot, in.Stamp = s.boot, s.stamp
		h.delegated = h.delegated || s.stamp != 0
	}

	if s.renewed != 0 {
		in.Stamp = s.renewed
	}

	if h.set == nil {
		return in
	}

	in.Set = h.set.Hash()
	if s.confirmed != in.Set {
		in.Homes = h.set.IDs()
	}

	return in
}

// answered stores the answer of a home, and reports whether the home was lost before.
func (h *homes) answered(id string, out ledger.Answer) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	now := time.Now()
	s := h.state(id)

	switch {
	case s.boot == out.Boot:
		s.stamp = max(s.stamp, out.Stamp)
	case s.boot != 0:
		s.silentUntil = s.received.Add(ledger.Lease)

		fallthrough
	default:
		s.boot, s.stamp = out.Boot, out.Stamp
		s.asked = time.Time{} // the next ask delegates
	}

	s.confirmed, s.received, s.ready, s.leaving = out.Set, now, out.Ready, out.Leaving

	found := !s.lost.IsZero()
	if found {
		s.lost, s.back = time.Time{}, now
	}

	return found
}

// failed records an ask without an answer, and reports whether the home is lost by that.
func (h *homes) failed(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	now := time.Now()

	s := h.state(id)
	if !s.lost.IsZero() || now.Sub(s.received) < lostAfter {
		return false
	}

	s.lost = now

	return h.set != nil && h.set.Has(id)
}

// due returns the homes whose delegation must be renewed now, and lost ones that are asked whether
// they answer again. Other nodes are forgotten.
func (h *homes) due() []target {
	h.mu.Lock()
	defer h.mu.Unlock()

	now := time.Now()

	var out []target

	for id, s := range h.states {
		interval := renewInterval
		if !h.delegated || !s.ready && s.lost.IsZero() {
			interval = ledger.TickInterval
		}

		if !h.uses(id) {
			interval = probeInterval

			if s.lost.IsZero() && !s.leaving && now.Sub(s.back) > returnAfter {
				continue
			}
		}

		if now.Sub(s.asked) >= interval-tolerance {
			s.asked = now
			out = append(out, target{id: id, address: s.address})
		}
	}

	return out
}

// current returns the homes in use.
func (h *homes) current() []string {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.set == nil {
		return nil
	}

	return h.set.IDs()
}

// lost returns the number of homes in use that do not answer.
func (h *homes) lost() int {
	h.mu.Lock()
	defer h.mu.Unlock()

	n := 0

	for id, s := range h.states {
		if h.uses(id) && !s.lost.IsZero() {
			n++
		}
	}

	return n
}
