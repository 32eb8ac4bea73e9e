package main

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/operator"
)

// With thousands of nodes, the table alone does not show which nodes delay a
// version and why; the lines above it must.
func TestStatusReportsSlowestNodesAndCauses(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	node := func(id string, version uint64, after time.Duration, state membership.State) operator.NodeStatus {
		return operator.NodeStatus{
			ID: id, FailureDomain: "derby", MemberState: state.String(), Version: version, AcceptedAt: at,
			ActiveSince: at.Add(after), Source: "127.0.0.1:7000",
		}
	}

	refused := node("e", 6, time.Second, membership.StateAlive)
	refused.Trouble = "refused: settings.invalid: the tree does not check: /x: no service"
	dead := node("f", 0, 0, membership.StateDead)
	dead.Error = "peer.unreachable"
	left := node("g", 0, 0, membership.StateLeft)
	left.Error = "left"

	s := operator.NewStatus(7, []operator.NodeStatus{
		node("a", 7, 12*time.Millisecond, membership.StateAlive),
		node("b", 7, 180*time.Millisecond, membership.StateAlive),
		node("c", 7, 90*time.Millisecond, membership.StateSuspect),
		node("d", 6, time.Second, membership.StateAlive),
		refused, dead, left,
	})

	var b strings.Builder

	writeStatus(&b, statusReport{Status: s, Slowest: s.Slowest(5)})
	golden.Assert(t, b.String(), "status.golden")
	assert.Equal(t, s.ActiveNodes, 3)
	assert.Equal(t, s.Running(), 6)
}
