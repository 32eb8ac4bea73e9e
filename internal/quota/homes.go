package quota

import (
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/quota/home"
	"github.com/pollencart/pollencart/internal/quota/ledger"
)

const (
	// renewInterval is the longest pause between two asks to a home. It lets one renewal get lost within
	// a lease.
	renewInterval = 400 * time.Millisecond
	// probeInterval is the pause between asks to a candidate that is not in use.
	probeInterval = time.Second
	// lostAfter is how long a home may answer nothing before a failed ask means that it is lost.
	lostAfter = 250 * time.Millisecond
	// replaceAfter is how long a home may be lost before it is left out of the set.
	replaceAfter = 700 * time.Millisecond
	// returnAfter is how long a candidate must answer before it is taken into the set again.
	returnAfter = 3 * time.Second
	// settleTime is how long a new choice of homes must stay the same before it is used.
	settleTime = 200 * time.Millisecond
	// domainHomes is the number of homes in the own failure domain while no better one is reachable.
	domainHomes = 2
)

// homes holds this entry's view of the homes, and its delegations to them.
type homes struct {
	self    string
	started time.Time

	mu          sync.Mutex
	set, prior  *home.Set
	priorEnds   time.Time // until when homes of the prior set may count this node
	wanted      uint64    // the set chosen last
	wantedSince time.Time
	states      map[string]*state
}

// state is what the entry knows of a home.
type state struct {
	id, address string
	boot        uint64
	stamp       int64
	silentUntil time.Time // until when a process before this one may count the delegation
	confirmed   uint64    // the set that the home knows
	asked       time.Time
	received    time.Time // of the last answer
	lost        time.Time // zero while it answers
	back        time.Time // when it answered again
}

func newHomes(self string) *homes {
	return &homes{self: self, started: time.Now(), states: map[string]*state{}}
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
	t := target{id: s.id, address: s.address, reachable: s.lost.IsZero(), lost: s.lost, own: s.received.Add(ledger.Lease)}

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
	in := ledger.Ask{Node: h.self, Known: known}

	if !now.Before(s.silentUntil) {
		in.Boot, in.Stamp = s.boot, s.stamp
	}

	if h.set == nil {
		return in
	}

	in.Set = h.set.Hash()
	if s.confirmed != in.Set {
		in.Homes = h.set.IDs()
	}

	if h.prior != nil && now.Before(h.priorEnds) {
		in.Prior, in.PriorMs = h.prior.IDs(), h.priorEnds.Sub(now).Milliseconds()+1
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
	}

	s.confirmed, s.received = out.Set, now

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

// choose updates the set of homes, and reports whether it changed.
func (h *homes) choose(live []membership.Record, near []membership.Record) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	now := time.Now()
	h.forget(live, now)

	wanted := h.eligible(home.Strongest(live, home.MaxHomes), now)
	if len(wanted) == 0 {
		wanted = h.eligible(near, now)
	}

	if len(wanted) == 0 {
		return false
	}

	next := home.New(wanted)
	if next.Hash() != h.wanted {
		h.wanted, h.wantedSince = next.Hash(), now
	}

	if h.set != nil && h.set.Hash() == h.wanted || now.Sub(h.wantedSince) < settleTime || now.Before(h.priorEnds) {
		return false
	}

	h.prior, h.set = h.set, next

	for _, s := range h.states {
		if ends := s.received.Add(ledger.Lease); h.prior != nil && h.prior.Has(s.id) && ends.After(h.priorEnds) {
			h.priorEnds = ends
		}
	}

	return true
}

// forget drops the states of nodes that are gone and count no delegation.
func (h *homes) forget(live []membership.Record, now time.Time) {
	if !now.After(h.priorEnds) {
		return
	}

	alive := make(map[string]bool, len(live))
	for _, r := range live {
		alive[r.ID] = true
	}

	for id := range h.states {
		if !alive[id] && (h.set == nil || !h.set.Has(id)) {
			delete(h.states, id)
		}
	}
}

// eligible returns the IDs of the candidates that answer, and updates their addresses.
func (h *homes) eligible(candidates []membership.Record, now time.Time) []string {
	var out []string

	for _, r := range candidates {
		s := h.state(r.ID)
		s.address = r.PeerAddress

		lost := !s.lost.IsZero() && now.Sub(s.lost) > replaceAfter
		if back := h.set == nil || h.set.Has(r.ID) || now.Sub(s.back) > returnAfter; r.ID == h.self || !lost && back {
			out = append(out, r.ID)
		}
	}

	return out
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
		if h.set == nil || !h.set.Has(id) {
			interval = probeInterval

			if s.lost.IsZero() && now.Sub(s.back) > returnAfter {
				if now.After(h.priorEnds) {
					delete(h.states, id)
				}

				continue
			}
		}

		if now.Sub(s.asked) >= interval {
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
