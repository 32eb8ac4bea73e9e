// Package membership maintains the set of nodes without a central list: each node writes
// only its own record, and records spread by gossip.
//
// # Usage
//
//	t := membership.NewTable(self, recorder)
//	g := membership.NewGossip(t, peers, membership.Seeds("10.0.0.1:7000"))
//	go g.Run(ctx)
//	for _, r := range t.Serving("browse") { ... }
//
// Table and its parts are plain data structures that can be read and tested without a
// network. Gossip drives them: it probes one random node a second, sends each change a
// bounded number of times, and compares digests with other nodes to repair what gossip
// missed.
package membership

import (
	"cmp"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/upstream"
)

// ErrRecord is returned for an invalid record or message.
var ErrRecord = errs.New("membership.record", http.StatusBadRequest, "member record not accepted")

// State is the state of a node in the view of another one.
type State uint8

// The states, in ascending precedence: a later one overrides an earlier one of the same epoch
// and sequence number.
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

// UpstreamState is the state that a backend server reports to the node on its host.
type UpstreamState = upstream.State

// The states of a backend server.
const (
	UpstreamWarming  = upstream.Warming
	UpstreamReady    = upstream.Ready
	UpstreamDraining = upstream.Draining
	UpstreamGone     = upstream.Gone
	// UpstreamCanary is the state of a backend server that runs the target version of a
	// roll-out and accepts only the calls assigned to it.
	UpstreamCanary UpstreamState = "Canary"
)

// Upstream is what a node announces about its local backend server.
type Upstream struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Service     string        `json:"Service" msgpack:"Service"`
	State       UpstreamState `json:"State" msgpack:"State"`
	Slots       int           `json:"Slots" msgpack:"Slots"`
	Connections int           `json:"Connections" msgpack:"Connections"`
	ReadySince  int64         `json:"ReadySince" msgpack:"ReadySince"`
	// Version is the version of the backend server's software, "" if roll-outs are not used.
	Version string `json:"Version,omitempty" msgpack:"Version"`
}

// upstreamFields is the number of fields of an Upstream without a version.
const upstreamFields = 5

// EncodeMsgpack leaves out an empty version, so that nodes which do not know the field can
// decode the record. They reject an array of another length.
func (u Upstream) EncodeMsgpack(m *msgpack.Encoder) error {
	fields := []any{u.Service, string(u.State), u.Slots, u.Connections, u.ReadySince}
	if u.Version != "" {
		fields = append(fields, u.Version)
	}

	if err := m.EncodeArrayLen(len(fields)); err != nil {
		return err
	}

	return m.EncodeMulti(fields...)
}

// DecodeMsgpack accepts an Upstream with and without a version.
func (u *Upstream) DecodeMsgpack(m *msgpack.Decoder) error {
	n, err := m.DecodeArrayLen()
	if err != nil {
		return err
	}

	if n != upstreamFields && n != upstreamFields+1 {
		return ErrRecord.With("backend server with %d fields", n)
	}

	var state string

	fields := []any{&u.Service, &state, &u.Slots, &u.Connections, &u.ReadySince, &u.Version}
	if n == upstreamFields {
		u.Version = ""
		fields = fields[:upstreamFields]
	}

	err = m.DecodeMulti(fields...)
	u.State = UpstreamState(state)

	return err
}

// Record is what a node announces about itself; other nodes change only State.
//
// Incarnation identifies the process: it is set once at start and never reused for the same
// ID. Epoch orders the records of an ID: it starts as the incarnation, and the node raises
// it when it receives a higher one, left by an earlier process on a host whose clock was
// set back since.
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
	// Capacity is the bandwidth of the host's link in megabits per second, 0 if all hosts are
	// alike. Nodes with more capacity are preferred for tasks that one node does for many.
	Capacity uint32 `json:"Capacity,omitempty" msgpack:"Capacity"`
}

// Check validates a decoded record.
func (r *Record) Check() error {
	if r.ID == "" || r.PeerAddress == "" {
		return ErrRecord.With("ID or PeerAddress is missing")
	}

	if r.State < StateAlive || r.State > StateLeft {
		return ErrRecord.With("%s: state %d", r.ID, r.State)
	}

	return nil
}

// Compare orders records of one node by epoch and sequence number, which the node itself sets,
// then by state, which other nodes set.
func (r Record) Compare(o Record) int {
	if c := r.compareEpochSeq(o); c != 0 {
		return c
	}

	return cmp.Compare(r.State, o.State)
}

// compareEpochSeq orders records by epoch and sequence number, ignoring the state.
func (r Record) compareEpochSeq(o Record) int {
	if c := cmp.Compare(r.Epoch, o.Epoch); c != 0 {
		return c
	}

	return cmp.Compare(r.Seq, o.Seq)
}

// WithState returns a copy of the record with another state.
func (r Record) WithState(s State) Record {
	r.State = s

	return r
}

// Live reports whether the node is considered alive, including suspected nodes.
func (r Record) Live() bool { return r.State == StateAlive || r.State == StateSuspect }

// Ready reports whether the node is considered alive and its backend server accepts calls.
func (r Record) Ready() bool { return r.Live() && r.Upstream.State == UpstreamReady }

// OnTrial reports whether the node is considered alive and its backend server is a canary.
func (r Record) OnTrial() bool { return r.Live() && r.Upstream.State == UpstreamCanary }

// Belief is one node's view that another node is suspect or dead.
type Belief struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID    string
	Epoch uint64
	Seq   uint64
	State State
	By    string
}

// Check validates a decoded belief.
func (b *Belief) Check() error {
	if b.ID == "" || b.By == "" || (b.State != StateSuspect && b.State != StateDead) {
		return ErrRecord.With("belief of %q by %q in state %d", b.ID, b.By, b.State)
	}

	return nil
}
