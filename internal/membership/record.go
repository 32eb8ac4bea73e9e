// Package membership knows which nodes there are, without a list: each node
// writes only its own record, and records spread by gossip.
//
//	t := membership.NewTable(self, recorder)
//	t.Merge(record)
//	for _, m := range t.Serving("browse") { ... }
//
// The table is a plain data structure that is read and tested without a
// network; Gossip drives it.
package membership

import (
	"cmp"
	"net/http"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrRecord is returned for a record that does not check.
var ErrRecord = errs.New("membership.record", http.StatusBadRequest, "member record not accepted")

// State is what is believed of a node.
type State uint8

// The states, in the order in which a later one overrides an earlier one of the
// same incarnation.
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
type UpstreamState string

// The states of a backend server.
const (
	UpstreamWarming  UpstreamState = "Warming"
	UpstreamReady    UpstreamState = "Ready"
	UpstreamDraining UpstreamState = "Draining"
	UpstreamGone     UpstreamState = "Gone"
)

// Valid reports whether the state is known.
func (s UpstreamState) Valid() bool {
	return s == UpstreamWarming || s == UpstreamReady || s == UpstreamDraining || s == UpstreamGone
}

// Upstream is what a node tells about the backend server on its host.
type Upstream struct {
	Service     string        `json:"Service" msgpack:"Service"`
	State       UpstreamState `json:"State" msgpack:"State"`
	Slots       int           `json:"Slots" msgpack:"Slots"`
	Connections int           `json:"Connections" msgpack:"Connections"`
	ReadySince  int64         `json:"ReadySince" msgpack:"ReadySince"`
}

// Record is what a node says of itself; others only change State.
type Record struct {
	ID             string   `json:"ID" msgpack:"ID"`
	Incarnation    uint64   `json:"Incarnation" msgpack:"Incarnation"`
	Seq            uint64   `json:"Seq" msgpack:"Seq"`
	State          State    `json:"State" msgpack:"State"`
	Region         string   `json:"Region" msgpack:"Region"`
	FailureDomain  string   `json:"FailureDomain" msgpack:"FailureDomain"`
	PeerAddress    string   `json:"PeerAddress" msgpack:"PeerAddress"`
	CallerAddress  string   `json:"CallerAddress" msgpack:"CallerAddress"`
	ControlAddress string   `json:"ControlAddress" msgpack:"ControlAddress"`
	Upstream       Upstream `json:"Upstream" msgpack:"Upstream"`
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

// Compare orders records of one node: incarnation, then what the node itself
// changed, then what others believe.
func (r Record) Compare(o Record) int {
	if c := cmp.Compare(r.Incarnation, o.Incarnation); c != 0 {
		return c
	}

	if c := cmp.Compare(r.Seq, o.Seq); c != 0 {
		return c
	}

	return cmp.Compare(r.State, o.State)
}

// WithState returns the record with another belief.
func (r Record) WithState(s State) Record {
	r.State = s

	return r
}

// Live reports whether the node is thought to run.
func (r Record) Live() bool { return r.State == StateAlive || r.State == StateSuspect }
