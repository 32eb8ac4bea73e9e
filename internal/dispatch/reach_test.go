package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/balancer"
	"github.com/pollencart/pollencart/internal/dispatch"
	"github.com/pollencart/pollencart/internal/draining"
	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/retrybudget"
	"github.com/pollencart/pollencart/internal/timeline"
)

// newLargeFleet returns a dispatcher with a membership view of the given number of nodes, a
// sixth of them in its own failure domain.
func newLargeFleet(tb testing.TB, nodes int) (*dispatch.Dispatcher, *fleet, *membership.Table) {
	tb.Helper()

	const domains = 6

	table := membership.NewTable(membership.Record{ID: "host-of-the-caller", PeerAddress: "a", FailureDomain: "derby-0"}, timeline.New())

	for i := range nodes {
		table.Merge([]membership.Record{serving(i, domains)})
	}

	f := newFleet(0)

	return dispatch.New(dispatch.Options{
		Node: "host-of-the-caller", FailureDomain: "derby-0", Service: "finder", Names: header.Default(), Tables: holder(tb), Members: table,
		Peers: f, Balancer: balancer.New(), Budget: retrybudget.New(retrybudget.Bound{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}),
		Recorder: timeline.New(), Intake: draining.New(),
	}), f, table
}

func serving(i, domains int) membership.Record {
	return membership.Record{
		ID: fmt.Sprintf("host-in-a-failure-domain-%03d", i), PeerAddress: fmt.Sprint("a", i), State: membership.StateAlive,
		FailureDomain: fmt.Sprint("derby-", i%domains),
		Upstream:      membership.Upstream{Service: "browse", State: membership.UpstreamReady, Slots: 9},
	}
}

// A service has hundreds of backend servers. If each call iterated over all of them, choosing
// would take more CPU time than the rest of the call and delay callers.
func TestAllocationsDoNotGrowWithBackendServers(t *testing.T) {
	const calls = 200

	allocations := func(nodes int) float64 {
		d, _, _ := newLargeFleet(t, nodes)
		send(d, "/safe/x")

		return testing.AllocsPerRun(calls, func() { send(d, "/safe/x") })
	}

	few, many := allocations(36), allocations(360)
	t.Logf("%.0f allocations per call with 36 backend servers, %.0f with 360", few, many)
	assert.Assert(t, many <= 1.5*few, "%.0f with 360, %.0f with 36", many, few)
}

// The cached subset must follow membership changes: a draining backend server gets no more
// calls, and a new one gets some.
func TestSubsetFollowsMembershipChanges(t *testing.T) {
	d, f, table := newLargeFleet(t, 6)

	called := func(address string) bool {
		f.contacted = nil
		for range 200 {
			send(d, "/safe/x")
		}

		return slices.Contains(f.contacted, address)
	}

	assert.Assert(t, called("a0"))

	draining := serving(0, 6)
	draining.Seq, draining.Upstream.State = 1, membership.UpstreamDraining
	table.Merge([]membership.Record{draining})
	assert.Assert(t, !called("a0"), "a draining backend server was called")

	table.Merge([]membership.Record{serving(12, 6)})
	assert.Assert(t, called("a12"), "a new backend server was not called")
}

func BenchmarkCall(b *testing.B) {
	for _, nodes := range []int{36, 360} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			d, _, _ := newLargeFleet(b, nodes)
			b.ReportAllocs()

			for b.Loop() {
				send(d, "/safe/x")
			}
		})
	}
}
