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

// large is a dispatcher that knows so many backend servers of a service, a sixth of them
// in its own failure domain.
func large(tb testing.TB, nodes int) (*dispatch.Dispatcher, *fleet, *membership.Table) {
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

// A service has hundreds of backend servers. If each call goes over all of them, hosts
// spend more of their processors on choosing than on the call, and callers wait for it.
func TestACallCostsTheSameWithHundredsOfBackendServers(t *testing.T) {
	const calls = 200

	allocations := func(nodes int) float64 {
		d, _, _ := large(t, nodes)
		send(d, "/safe/x")

		return testing.AllocsPerRun(calls, func() { send(d, "/safe/x") })
	}

	few, many := allocations(36), allocations(360)
	t.Logf("%.0f allocations a call with 36 backend servers, %.0f with 360", few, many)
	assert.Assert(t, many <= 1.5*few, "%.0f with 360, %.0f with 36", many, few)
}

// A backend server that leaves gets no more calls, and one that joins gets some, though
// whom a node calls is not worked out anew for each call.
func TestWhoIsCalledFollowsWhoServes(t *testing.T) {
	d, f, table := large(t, 6)

	called := func(address string) bool {
		f.asked = nil
		for range 200 {
			send(d, "/safe/x")
		}

		return slices.Contains(f.asked, address)
	}

	assert.Assert(t, called("a0"))

	gone := serving(0, 6)
	gone.Seq, gone.Upstream.State = 1, membership.UpstreamDraining
	table.Merge([]membership.Record{gone})
	assert.Assert(t, !called("a0"), "a backend server that left was called")

	table.Merge([]membership.Record{serving(12, 6)})
	assert.Assert(t, called("a12"), "a backend server that joined was not called")
}

func BenchmarkCall(b *testing.B) {
	for _, nodes := range []int{36, 360} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			d, _, _ := large(b, nodes)
			b.ReportAllocs()

			for b.Loop() {
				send(d, "/safe/x")
			}
		})
	}
}
