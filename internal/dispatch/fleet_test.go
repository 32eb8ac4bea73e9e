package dispatch_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/balancer"
	"github.com/pollencart/pollencart/internal/dispatch"
	"github.com/pollencart/pollencart/internal/draining"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/internal/ingress"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/retrybudget"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/timeline"
)

// fleet simulates the membership view of the dispatcher and the other nodes.
type fleet struct {
	mu      sync.Mutex
	records []membership.Record
	dead    map[string]bool // no connection
	opened  []string
	// elsewhereCalls counts calls that may be abandoned once their link is in doubt.
	elsewhereCalls int
	draining       *draining.Intake
	contacted      []string
	requests       []forward.Request
	reply          func(ctx context.Context, address string, in forward.Request) (forward.Reply, error)
}

func (f *fleet) Serving(service string) []membership.Record {
	var out []membership.Record

	for _, r := range f.records {
		if r.Upstream.Service == service {
			out = append(out, r)
		}
	}

	return out
}

func (f *fleet) CountLive() int { return len(f.records) }

func (f *fleet) Link(address string, _ peer.Lane) peer.Link {
	if f.dead[address] {
		return peer.LinkDown
	}

	return peer.LinkReady
}

func (f *fleet) Open(address string, _ peer.Lane) { f.opened = append(f.opened, address) }

func (f *fleet) Do(ctx context.Context, address string, _ peer.Lane, _ string, in, out any) error {
	request := in.(forward.Request)

	f.mu.Lock()
	f.contacted = append(f.contacted, address)
	f.requests = append(f.requests, request)
	f.mu.Unlock()

	reply, err := f.reply(ctx, address, request)
	*out.(*forward.Reply) = reply

	return err
}

func (f *fleet) DoElsewhere(ctx context.Context, address string, l peer.Lane, method string, in, out any) error {
	f.mu.Lock()
	f.elsewhereCalls++
	f.mu.Unlock()

	return f.Do(ctx, address, l, method, in, out)
}

func answered(_ context.Context, _ string, _ forward.Request) (forward.Reply, error) {
	return forward.Reply{Result: forward.Answered, Status: http.StatusOK, Body: []byte("whole")}, nil
}

func newFleet(nodes int) *fleet {
	f := &fleet{dead: map[string]bool{}, draining: draining.New(), reply: answered}
	for i := range nodes {
		f.records = append(f.records, membership.Record{
			ID: "n" + strconv.Itoa(i), PeerAddress: "a" + strconv.Itoa(i), FailureDomain: "derby",
			Upstream: membership.Upstream{Service: "browse", State: membership.UpstreamReady, Slots: 9},
		})
	}

	return f
}

func holder(tb testing.TB, change ...func(*route.Route)) *route.Holder {
	tb.Helper()

	var routes []*route.Route

	for name, idempotent := range map[string]bool{"safe": true, "once": false} {
		r := &route.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: time.Second, Target: 400 * time.Millisecond,
			Attempts: 2, Destinations: []route.Destination{{Service: "browse", Weight: 1}},
		}
		for _, f := range change {
			f(r)
		}

		routes = append(routes, r)
	}

	table, err := route.New(7, route.Limits{}, []route.Service{{Name: "browse"}, {Name: "ledger"}}, routes)
	assert.NilError(tb, err)

	h := &route.Holder{}
	assert.Assert(tb, h.Offer(table, nil))

	return h
}

func newDispatcher(f *fleet, h *route.Holder) *dispatch.Dispatcher {
	return newRecordedDispatcher(f, h, timeline.New())
}

func newRecordedDispatcher(f *fleet, h *route.Holder, r *timeline.Recorder) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Options{
		Node: "me", FailureDomain: "derby", Service: "finder", Names: header.Default(), Tables: h, Members: f, Peers: f, Own: nil,
		Balancer: balancer.New(), Budget: retrybudget.New(retrybudget.Bound{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}), Recorder: r,
		Intake: f.draining,
	})
}

func send(d *dispatch.Dispatcher, path string, headers ...string) ingress.Response {
	h := http.Header{}
	h.Set("Pollencart-Call", "id-1")

	for i := 0; i < len(headers); i += 2 {
		h.Set(headers[i], headers[i+1])
	}

	return d.Serve(context.Background(), ingress.Request{
		Method: http.MethodPost, Host: "a.example", URI: path + "?q", Path: path, Header: h, Body: []byte("b"), Arrived: time.Now(),
	})
}

func retryAfter(t *testing.T, r ingress.Response) float64 {
	t.Helper()

	for _, f := range r.Header {
		if f.Name == "Retry-After" {
			seconds, err := strconv.ParseFloat(f.Value, 64)
			assert.NilError(t, err)

			return seconds
		}
	}

	return 0
}
