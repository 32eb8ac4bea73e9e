package operator

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
)

// NodeStatus is the status that one node reports about itself, with the view that the queried
// node has of it.
type NodeStatus struct {
	ID            string    `json:"ID" msgpack:"ID"`
	FailureDomain string    `json:"FailureDomain" msgpack:"FailureDomain"`
	MemberState   string    `json:"Belief" msgpack:"Belief"`
	Version       uint64    `json:"Version" msgpack:"Version"`
	AcceptedAt    time.Time `json:"AcceptedAt" msgpack:"AcceptedAt"`
	ActiveSince   time.Time `json:"InForceSince" msgpack:"InForceSince"`
	// Source is the platform or the peer from which the node received the version.
	Source string `json:"Source" msgpack:"Source"`
	// Heard is the newest version that the node has learned of. Trouble is the reason why that
	// version is not active on the node.
	Heard    uint64              `json:"Heard" msgpack:"Heard"`
	Trouble  string              `json:"Trouble,omitempty" msgpack:"Trouble,omitempty"`
	Upstream membership.Upstream `json:"Upstream" msgpack:"Upstream"`
	InFlight int64               `json:"InFlight" msgpack:"InFlight"`
	// ReadyBackends is the number of ready backend servers that the node can send calls to.
	ReadyBackends int    `json:"Known" msgpack:"Known"`
	Error         string `json:"Error,omitempty" msgpack:"Error,omitempty"`
}

// Status is a node's view of the fleet. ActiveNodes is the number of nodes on which the newest
// version is active.
type Status struct {
	Newest      uint64       `json:"Newest"`
	AcceptedAt  time.Time    `json:"AcceptedAt"`
	ActiveNodes int          `json:"InForce"`
	Nodes       []NodeStatus `json:"Nodes"`
}

// NewStatus combines the statuses of the nodes; newest is the newest version that the querying
// node has learned of.
func NewStatus(newest uint64, nodes []NodeStatus) Status {
	s := Status{Newest: newest, Nodes: nodes}
	for _, n := range nodes {
		s.Newest = max(s.Newest, n.Version)
	}

	for _, n := range nodes {
		if n.Version == s.Newest && n.Error == "" {
			s.ActiveNodes++
			s.AcceptedAt = n.AcceptedAt
		}
	}

	return s
}

// Delay is the time from the acceptance of the newest version until it was active on a node, or
// the reason why it is not active there.
type Delay struct {
	Node   string        `json:"Node"`
	After  time.Duration `json:"AfterNs"`
	Behind bool          `json:"Behind"`
	Why    string        `json:"Why"`
}

// Slowest returns at most count nodes: first those on which the newest version is not active,
// then those on which it became active last.
func (s Status) Slowest(count int) []Delay {
	var out []Delay

	for _, n := range s.Nodes {
		d := Delay{Node: n.ID, Behind: n.Version != s.Newest || n.Error != "", Why: n.reasonBehind()}
		if !d.Behind {
			d.After = n.ActiveSince.Sub(s.AcceptedAt)
			d.Why = "from " + n.Source
		}

		if n.MemberState != membership.StateLeft.String() {
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

// reasonBehind returns the reason why the newest version is not active on a node.
func (n NodeStatus) reasonBehind() string {
	switch {
	case n.Error != "":
		return "does not answer, believed " + n.MemberState + ": " + n.Error
	case n.Trouble != "":
		return n.Trouble
	default:
		return "has not heard of it"
	}
}

// Running returns the number of nodes that have not left the fleet.
func (s Status) Running() int {
	count := 0

	for _, n := range s.Nodes {
		if n.MemberState != membership.StateLeft.String() {
			count++
		}
	}

	return count
}
