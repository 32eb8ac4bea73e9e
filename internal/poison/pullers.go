package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
)

const (
	// pullerTTL outlasts the time in which membership tells a node of a new gate, some rounds of
	// gossip.
	pullerTTL = 10 * time.Second
	// maxPullers bounds the gates that are remembered.
	maxPullers = 1024
)

// pullers are the gates that have pulled reports from this one recently.
//
// A gate that has just started pulls before it runs its first call. The gates that it asks may not
// know from membership yet that it is a gate of the service. Without this, a crash at one of them
// in that moment is never reported to the new gate, and copies of the request run there without a
// permit.
type pullers struct {
	mu    sync.Mutex
	gates map[string]puller // by node
}

type puller struct {
	record membership.Record
	until  time.Time
}

// add remembers the sender of a pull. Older programs do not name themselves.
func (p *pullers) add(r PullRequest) {
	if r.Node == "" || r.Address == "" {
		return
	}

	now := time.Now()

	p.mu.Lock()
	defer p.mu.Unlock()

	if p.gates == nil {
		p.gates = map[string]puller{}
	}

	for id, g := range p.gates {
		if now.After(g.until) {
			delete(p.gates, id)
		}
	}

	if len(p.gates) >= maxPullers {
		return
	}

	p.gates[r.Node] = puller{
		record: membership.Record{
			ID: r.Node, Incarnation: r.Incarnation, PeerAddress: r.Address, State: membership.StateAlive,
			Upstream: membership.Upstream{Service: r.Service},
		},
		until: now.Add(pullerTTL),
	}
}

// merge returns the known gates of a service and those that membership does not have yet.
func (p *pullers) merge(service string, known []membership.Record) []membership.Record {
	p.mu.Lock()
	defer p.mu.Unlock()

	now := time.Now()

	for _, g := range p.gates {
		if g.record.Upstream.Service != service || now.After(g.until) {
			continue
		}

		i := slices.IndexFunc(known, func(m membership.Record) bool { return m.ID == g.record.ID })

		switch {
		case i < 0:
			known = append(known, g.record)
		case known[i].Incarnation < g.record.Incarnation:
			known[i] = g.record
		}
	}

	return known
}

// pullRequest names this gate to the gates that it pulls from.
func (w *Watch) pullRequest(service string) PullRequest {
	return PullRequest{Node: w.self.Node, Incarnation: w.self.Incarnation, Address: w.self.Address, Service: service}
}
