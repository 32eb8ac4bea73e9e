// Package membership knows which nodes there are, without a list: each node
// writes only its own record, and records spread by gossip.
//
// # Usage
//
//	t := membership.NewTable(self, recorder)
//	g := membership.NewGossip(t, peers, membership.Seeds("10.0.0.1:7000"))
//	go g.Run(ctx)
//	for _, r := range t.Serving("browse") { ... }
//
// Table and its parts are plain data structures that are read and tested without
// a network; Gossip drives them: it probes one random node a second, spreads
// each change a bounded number of times, and compares digests with others so
// that what gossip missed is repaired.
package membership

import (
	"cmp"
	"net/http"

	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/upstream"
)

// ErrRecord is returned for a record that does not check.
var ErrRecord = errs.New("membership.record", http.StatusBadRequest, "member record not accepted")

// State is what is believed of a node.
type State uint8

// The states, in the order in which a later one overrides an earlier one of the
// same epoch and sequence number.
const (
	StateAlive State = iota + 1
	StateSuspect
	StateDead
	StateLeft
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"", "alive", "suspect", "dead", "left"}
	if int(s) < len(names) {
		return names[s]
	}

	return "invalid"
}

// UpstreamState is what the backend server on the node's host says of itself.
type UpstreamState = upstream.State

// The states of a backend server.
const (
	UpstreamWarming  = upstream.Warming
	UpstreamReady    = upstream.Ready
	UpstreamDraining = upstream.Draining
	UpstreamGone     = upstream.Gone
)

// Upstream is what a node tells about the backend server on its host.
type Upstream struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Service     string        `json:"Service" msgpack:"Service"`
	State       UpstreamState `json:"State" msgpack:"State"`
	Slots       int           `json:"Slots" msgpack:"Slots"`
	Connections int           `json:"Connections" msgpack:"Connections"`
	ReadySince  int64         `json:"ReadySince" msgpack:"ReadySince"`
}

// Record is what a node says of itself; others only change State.
//
// Incarnation is set once in the life of a process and is never used by another
// life of the same ID. Epoch orders the records of an ID: it starts as the
// incarnation and is raised by the node itself when it meets a higher one, which
// an earlier life left behind on a host whose clock was set back since.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID             string   `json:"ID" msgpack:"ID"`
	Incarnation    uint64   `json:"Incarnation" msgpack:"Incarnation"`
	Epoch          uint64   `json:"Epoch" msgpack:"Epoch"`
	Seq            uint64   `json:"Seq" msgpack:"Seq"`
	State          State    `json:"State" msgpack:"State"`
	Region         string   `json:"Region" msgpack:"Region"`
	FailureDomain  string   `json:"FailureDomain" msgpack:"FailureDomain"`
	PeerAddress    string   `json:"PeerAddress" msgpack:"PeerAddress"`
	CallerAddress  string   `json:"CallerAddress" msgpack:"CallerAddress"`
	ControlAddress string   `json:"ControlAddress" msgpack:"ControlAddress"`
	Upstream       Upstream `json:"Upstream" msgpack:"Upstream"`
	// Capacity is the bandwidth of the host's link in megabits a second, 0 if all
	// hosts are alike. Those with most of it do what one node does for many.
	Capacity uint32 `json:"Capacity,omitempty" msgpack:"Capacity"`
}

// Check reports whether a decoded record can be used.
func (r *Record) Check() error {
	if r.ID == "" || r.PeerAddress == "" {
		return ErrRecord.With("ID or PeerAddress is missing")
	}

	if r.State < StateAlive || r.State > StateLeft {
		return ErrRecord.With("%s: state %d", r.ID, r.State)
	}

	return nil
}

// Compare orders records of one node: epoch, then what the node itself changed,
// then what others believe.
func (r Record) Compare(o Record) int {
	if c := r.compareWritten(o); c != 0 {
		return c
	}

	return cmp.Compare(r.State, o.State)
}

// compareWritten orders by what the node itself wrote.
func (r Record) compareWritten(o Record) int {
	if c := cmp.Compare(r.Epoch, o.Epoch); c != 0 {
		return c
	}

	return cmp.Compare(r.Seq, o.Seq)
}

// WithState returns the record with another belief.
func (r Record) WithState(s State) Record {
	r.State = s

	return r
}

// Live reports whether the node is thought to run.
func (r Record) Live() bool { return r.State == StateAlive || r.State == StateSuspect }

// Ready reports whether the node is thought to run and its backend server takes
// calls.
func (r Record) Ready() bool { return r.Live() && r.Upstream.State == UpstreamReady }

// Belief is what one node holds of another: suspected or dead.
type Belief struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID    string
	Epoch uint64
	Seq   uint64
	State State
	By    string
}

// Check reports whether a decoded belief can be used.
func (b *Belief) Check() error {
	if b.ID == "" || b.By == "" || (b.State != StateSuspect && b.State != StateDead) {
		return ErrRecord.With("belief of %q by %q in state %d", b.ID, b.By, b.State)
	}

	return nil
}
