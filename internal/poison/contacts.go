package poison

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/internal/membership"
)

const (
	// unreachableTTL is how long a contact that can't be reached is remembered. Membership notices
	// within that time that a node has terminated.
	unreachableTTL = 10 * time.Second
	// maxContacts bounds the contacts. If there are as many, those older than contactTTL are dropped;
	// membership has these nodes by then.
	maxContacts = 1024
	contactTTL  = 10 * time.Second
	// contactSweepInterval is how often contacts that membership has are forgotten.
	contactSweepInterval = 10 * time.Second
)

// Gate identifies the process of a gate to other gates.
type Gate struct {
	Node        string `msgpack:"Node"`
	Incarnation uint64 `msgpack:"Incarnation"`
	Address     string `msgpack:"Address"`
	Service     string `msgpack:"Service"`
}

func gateOf(m membership.Record) Gate {
	return Gate{Node: m.ID, Incarnation: m.Incarnation, Address: m.PeerAddress, Service: m.Upstream.Service}
}

// hash identifies the gate in [Notification.KnownGates].
func (g Gate) hash() uint64 {
	var d xxhash.Digest

	d.ResetWithSeed(g.Incarnation)
	_, _ = d.WriteString(g.Node)

	return d.Sum64()
}

// record is the membership record that the gate is assumed to have.
func (g Gate) record() membership.Record {
	return membership.Record{
		ID: g.Node, Incarnation: g.Incarnation, PeerAddress: g.Address, State: membership.StateAlive,
		Upstream: membership.Upstream{Service: g.Service},
	}
}

// contacts are the gates that have contacted this one, or that others have named to it, until
// membership has them.
//
// Gates that start at the same time run calls before membership has told each of them of all others.
// Without contacts, a crash at one of them is not reported to those that membership does not have yet,
// and copies of the request run there without a permit.
type contacts struct {
	mu    sync.Mutex
	gates map[string]contact // by node
}

type contact struct {
	gate  Gate
	added time.Time
	// until is when the contact is forgotten, zero while it can be reached.
	until time.Time
	// direct reports that the gate itself contacted this one. Only direct contacts are named to others:
	// gates that name each other a terminated one would keep it forever.
	direct bool
}

// add remembers a gate. Older programs do not name themselves.
func (c *contacts) add(g Gate, direct bool) {
	if g.Node == "" || g.Address == "" {
		return
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	if c.gates == nil {
		c.gates = map[string]contact{}
	}

	if len(c.gates) >= maxContacts {
		maps.DeleteFunc(c.gates, func(_ string, k contact) bool { return time.Since(k.added) > contactTTL })
	}

	old, known := c.gates[g.Node]
	if old.gate.Incarnation > g.Incarnation || (!known && len(c.gates) >= maxContacts) {
		return
	}

	direct = direct || (old.direct && old.gate.Incarnation == g.Incarnation)
	c.gates[g.Node] = contact{gate: g, added: time.Now(), direct: direct}
}

// reached records whether a gate could be notified.
func (c *contacts) reached(node string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	k, known := c.gates[node]

	switch {
	case !known:
		return
	case ok:
		k.until = time.Time{}
	case k.until.IsZero():
		k.until = time.Now().Add(unreachableTTL)
	}

	c.gates[node] = k
}

// merge returns the known gates of a service and the contacts that membership does not have yet. It
// forgets the others.
func (c *contacts) merge(service string, known []membership.Record, include func(contact) bool) []membership.Record {
	c.mu.Lock()
	defer c.mu.Unlock()

	now := time.Now()

	for id, k := range c.gates {
		i := slices.IndexFunc(known, func(m membership.Record) bool { return m.ID == id })

		switch {
		case i >= 0 && known[i].Incarnation >= k.gate.Incarnation, !k.until.IsZero() && now.After(k.until):
			delete(c.gates, id)
		case k.gate.Service != service || !include(k):
		case i >= 0:
			known[i] = k.gate.record()
		default:
			known = append(known, k.gate.record())
		}
	}

	return known
}

// services returns the services of the contacts.
func (c *contacts) services() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	out := map[string]bool{}
	for _, k := range c.gates {
		out[k.gate.Service] = true
	}

	return out
}

// forgetContacts forgets the contacts that membership has. Without it, a contact would stay until the
// next crash, and be notified in vain if membership has forgotten the node by then.
func (w *Watch) forgetContacts() {
	for s := range w.contacts.services() {
		w.contacts.merge(s, w.candidates(s), anyContact)
	}
}

func anyContact(contact) bool { return true }

func directContact(k contact) bool { return k.direct }

// asGate names this gate to others.
func (w *Watch) asGate(service string) Gate {
	return Gate{Node: w.self.Node, Incarnation: w.self.Incarnation, Address: w.self.Address, Service: service}
}

// candidates returns the nodes that membership has as gates of a service, and those whose service it
// does not have yet.
func (w *Watch) candidates(service string) []membership.Record {
	known := w.members.OfService(service)

	for _, m := range w.members.OfService("") {
		if !slices.ContainsFunc(known, func(k membership.Record) bool { return k.ID == m.ID }) {
			known = append(known, m)
		}
	}

	return known
}

// hashes returns the hashes of the live gates of a service that this one knows, including itself.
func (w *Watch) hashes(service string) []uint64 {
	out := []uint64{w.asGate(service).hash()}

	for _, m := range w.otherGates(service, live) {
		out = append(out, gateOf(m).hash())
	}

	return out
}

// unknownTo returns the live gates of a service that the sender of a notification does not know.
func (w *Watch) unknownTo(n Notification) []Gate {
	if n.From.Node == "" { // an older program
		return nil
	}

	known := make(map[uint64]bool, len(n.KnownGates))
	for _, h := range n.KnownGates {
		known[h] = true
	}

	var out []Gate

	for _, m := range w.contacts.merge(n.From.Service, w.candidates(n.From.Service), directContact) {
		if g := gateOf(m); m.Live() && m.ID != w.self.Node && m.ID != n.From.Node && !known[g.hash()] {
			out = append(out, g)
		}
	}

	return out[:min(len(out), maxContacts)]
}

// maxNamedGates bounds the gates that a line names.
const maxNamedGates = 12

// names describes gates by number and node ID.
func names(gates []membership.Record) string {
	named := gates[:min(len(gates), maxNamedGates)]
	ids := make([]string, 0, len(named))

	for _, m := range named {
		ids = append(ids, m.ID)
	}

	return fmt.Sprintf("%d gates %v", len(gates), ids)
}
