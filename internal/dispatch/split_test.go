package dispatch_test

import (
	"context"
	"math"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/route"
)

// A route splits calls 90:10 between two services and one of them rejects its calls. Its share
// must not move to the other.
func TestWeightsAreExactWhenOneServiceRejects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.records[1].Upstream.Service = "ledger"
		f.reply = func(ctx context.Context, a string, in forward.Request) (forward.Reply, error) {
			if in.Service == "browse" {
				return forward.Reply{Result: forward.Refused, Reason: "busy"}, nil
			}

			return answered(ctx, a, in)
		}
		d := newDispatcher(f, holder(t, func(r *route.Route) {
			r.Destinations = []route.Destination{{Service: "browse", Weight: 90}, {Service: "ledger", Weight: 10}}
		}))

		for range 300 {
			send(d, "/safe/x")
		}

		ledger := 0

		for _, r := range f.requests {
			if r.Service == "ledger" {
				ledger++
			}
		}

		assert.Assert(t, ledger >= 29 && ledger <= 31, "%d", ledger)
	})
}

// One of two services has no capacity and its callers retry later. Their retries must go to the
// same service, or the other one would get more than its share.
func TestCallerRetriesKeepTheirDestination(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.records[1].Upstream.Service = "ledger"
		f.reply = func(ctx context.Context, a string, in forward.Request) (forward.Reply, error) {
			if in.Service == "ledger" {
				return forward.Reply{Result: forward.Refused, Reason: "busy"}, nil
			}

			return answered(ctx, a, in)
		}
		d := newDispatcher(f, holder(t, func(r *route.Route) {
			r.Destinations = []route.Destination{{Service: "browse", Weight: 50}, {Service: "ledger", Weight: 50}}
		}))
		served := 0

		for range 200 {
			if send(d, "/safe/x", "Pollencart-Deadline-Ms", "900").Status == http.StatusOK {
				served++

				continue
			}

			time.Sleep(200 * time.Millisecond)

			if send(d, "/safe/x", "Pollencart-Deadline-Ms", "700").Status == http.StatusOK {
				served++
			}
		}

		assert.Equal(t, served, 100)
	})
}

// Nodes are restarted one after the other. Each starts its round robin at a random position, and
// the calls of all nodes together must still follow the weights.
func TestWeightsHoldAcrossRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.records[1].Upstream.Service = "ledger"
		h := holder(t, func(r *route.Route) {
			r.Destinations = []route.Destination{{Service: "browse", Weight: 70}, {Service: "ledger", Weight: 30}}
		})

		const nodes, each = 40, 25

		for range nodes {
			d := newDispatcher(f, h)
			for range each {
				send(d, "/safe/x")
			}
		}

		ledger := 0

		for _, r := range f.requests {
			if r.Service == "ledger" {
				ledger++
			}
		}

		assert.Assert(t, math.Abs(float64(ledger)/(nodes*each)-0.3) < 0.03, "%d", ledger)
	})
}

// An operator names weights in the billions. A node that steps through a whole cycle before its first
// call answers no call of the route for many seconds.
func TestLargeWeightsDoNotDelayTheFirstCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls, weight = 300, 2_000_000_000

		f := newFleet(2)
		f.records[1].Upstream.Service = "ledger"
		d := newDispatcher(f, holder(t, func(r *route.Route) {
			r.Destinations = []route.Destination{{Service: "browse", Weight: 3*weight - 1}, {Service: "ledger", Weight: weight}}
		}))

		for range calls {
			send(d, "/safe/x")
		}

		ledger := 0

		for _, r := range f.requests {
			if r.Service == "ledger" {
				ledger++
			}
		}

		assert.Assert(t, ledger >= calls/4-1 && ledger <= calls/4+1, "%d", ledger)
	})
}
