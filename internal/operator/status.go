package operator

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
)

// NodeStatus is what one node tells of itself.
type NodeStatus struct {
	ID            string    `json:"ID" msgpack:"ID"`
	FailureDomain string    `json:"FailureDomain" msgpack:"FailureDomain"`
	Belief        string    `json:"Belief" msgpack:"Belief"`
	Version       uint64    `json:"Version" msgpack:"Version"`
	AcceptedAt    time.Time `json:"AcceptedAt" msgpack:"AcceptedAt"`
	InForceSince  time.Time `json:"InForceSince" msgpack:"InForceSince"`
	// Source is the platform or the peer that the version came from.
	Source string `json:"Source" msgpack:"Source"`
	// Heard is the newest version that the node has heard of, and Trouble why it
	// does not hold that.
	Heard    uint64              `json:"Heard" msgpack:"Heard"`
	Trouble  string              `json:"Trouble,omitempty" msgpack:"Trouble,omitempty"`
	Upstream membership.Upstream `json:"Upstream" msgpack:"Upstream"`
	InFlight int64               `json:"InFlight" msgpack:"InFlight"`
	// Known is how many ready backend servers the node could send a call to.
	Known int    `json:"Known" msgpack:"Known"`
	Error string `json:"Error,omitempty" msgpack:"Error,omitempty"`
}

// Status is what a node sees of the fleet.
type Status struct {
	Newest     uint64       `json:"Newest"`
	AcceptedAt time.Time    `json:"AcceptedAt"`
	InForce    int          `json:"InForce"`
	Nodes      []NodeStatus `json:"Nodes"`
}

// NewStatus sums up what the nodes told; newest is the newest version known to
// the one who asked them.
func NewStatus(newest uint64, nodes []NodeStatus) Status {
	s := Status{Newest: newest, Nodes: nodes}
	for _, n := range nodes {
		s.Newest = max(s.Newest, n.Version)
	}

	for _, n := range nodes {
		if n.Version == s.Newest && n.Error == "" {
			s.InForce++
			s.AcceptedAt = n.AcceptedAt
		}
	}

	return s
}

// Delay is how long the newest version took to a node, or why it is not there.
type Delay struct {
	Node   string        `json:"Node"`
	After  time.Duration `json:"AfterNs"`
	Behind bool          `json:"Behind"`
	Why    string        `json:"Why"`
}

// Slowest returns the nodes that do not hold the newest version, and then those
// that it reached last, at most count.
func (s Status) Slowest(count int) []Delay {
	var out []Delay

	for _, n := range s.Nodes {
		d := Delay{Node: n.ID, Behind: n.Version != s.Newest || n.Error != "", Why: n.why()}
		if !d.Behind {
			d.After = n.InForceSince.Sub(s.AcceptedAt)
			d.Why = "from " + n.Source
		}

		if n.Belief != membership.StateLeft.String() {
			out = append(out, d)
		}
	}

	slices.SortStableFunc(out, func(a, b Delay) int {
		if a.Behind != b.Behind {
			return map[bool]int{true: -1, false: 1}[a.Behind]
		}

		return cmp.Compare(b.After, a.After)
	})

	return out[:min(count, len(out))]
}

// why tells why a node does not hold the newest version.
func (n NodeStatus) why() string {
	switch {
	case n.Error != "":
		return "does not answer, believed " + n.Belief + ": " + n.Error
	case n.Trouble != "":
		return n.Trouble
	default:
		return "has not heard of it"
	}
}

// Running counts the nodes that have not left by themselves.
func (s Status) Running() int {
	count := 0

	for _, n := range s.Nodes {
		if n.Belief != membership.StateLeft.String() {
			count++
		}
	}

	return count
}
