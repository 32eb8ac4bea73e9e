package quota

import (
	"slices"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/quota/home"
	"github.com/pollencart/pollencart/internal/quota/ledger"
)

// choose updates the set of homes, and reports whether it changed.
func (h *homes) choose(live []membership.Record, near []membership.Record) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	now := time.Now()
	h.forget(live)

	if h.next != nil {
		return h.move(now)
	}

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

	h.prepare(next, now)

	return h.next != nil && h.move(now)
}

// prepare starts the move to a chosen set.
func (h *homes) prepare(chosen *home.Set, now time.Time) {
	if h.set == nil || !h.delegated {
		if h.set == nil || h.set.Hash() != chosen.Hash() {
			h.next = chosen
		}

		return
	}

	// Homes that are lost are left out first: only their workspaces move, and what the others hold goes on.
	remaining := slices.DeleteFunc(slices.Clone(h.set.IDs()), func(id string) bool { return !chosen.Has(id) })
	lost := len(remaining) < len(h.set.IDs())

	switch {
	case lost && len(remaining) > 0:
		h.next = home.New(remaining)
	case chosen.Hash() != h.set.Hash() && (lost || now.Sub(h.wantedSince) >= h.settle(now)):
		h.next = chosen
	default:
		return
	}

	h.release(!lost, now)
}

// settle returns how long a choice must stay the same.
func (h *homes) settle(now time.Time) time.Duration {
	if now.Sub(h.started) < youngTime {
		return youngSettleTime
	}

	return settleTime
}

// release stops renewing the delegations to the homes that lose workspaces: all of them, or those that
// are not in the next set.
func (h *homes) release(all bool, now time.Time) {
	h.moveAt = now

	for _, id := range h.set.IDs() {
		if !all && h.next.Has(id) {
			continue
		}

		s := h.state(id)
		s.renewed = max(s.stamp, 1)

		if ends := s.received.Add(ledger.Lease); ends.After(h.moveAt) {
			h.moveAt = ends
		}
	}
}

// move replaces the set once no home that loses workspaces counts this node.
func (h *homes) move(now time.Time) bool {
	if now.Before(h.moveAt) {
		return false
	}

	h.set, h.next = h.next, nil

	for _, s := range h.states {
		s.renewed, s.asked = 0, time.Time{}
	}

	return true
}

// forget drops the states of nodes that are gone and count no delegation.
func (h *homes) forget(live []membership.Record) {
	alive := make(map[string]bool, len(live))

	for _, r := range live {
		alive[r.ID] = true

		if s := h.states[r.ID]; s != nil {
			s.address = r.PeerAddress
		}
	}

	for id := range h.states {
		if !alive[id] && !h.uses(id) {
			delete(h.states, id)
		}
	}
}

// uses reports whether a node is a home now or soon.
func (h *homes) uses(id string) bool {
	return h.set != nil && h.set.Has(id) || h.next != nil && h.next.Has(id)
}

// eligible returns the IDs of the candidates that answer, and updates their addresses.
func (h *homes) eligible(candidates []membership.Record, now time.Time) []string {
	var out []string

	for _, r := range candidates {
		s := h.state(r.ID)
		s.address = r.PeerAddress

		lost := s.leaving || !s.lost.IsZero() && (now.Sub(s.lost) > replaceAfter || !h.uses(r.ID))
		if back := h.set == nil || h.uses(r.ID) || now.Sub(s.back) > returnAfter; r.ID == h.self && !s.leaving || !lost && back {
			out = append(out, r.ID)
		}
	}

	return out
}
