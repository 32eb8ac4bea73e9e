package dispatch_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/dispatch"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/internal/ingress"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/place"
	"github.com/pollencart/pollencart/internal/repeats"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/timeline"
)

// fleet is what the dispatcher knows of other nodes, and what they do.
type fleet struct {
	mu      sync.Mutex
	records []membership.Record
	dead    map[string]bool // no connection
	opened  []string
	// elsewhere counts calls that are given up when their link is in doubt.
	elsewhere int
	leaving   bool
	asked     []string
	seen      []forward.Request
	reply     func(ctx context.Context, address string, in forward.Request) (forward.Reply, error)
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
	f.asked = append(f.asked, address)
	f.seen = append(f.seen, request)
	f.mu.Unlock()

	reply, err := f.reply(ctx, address, request)
	*out.(*forward.Reply) = reply

	return err
}

func (f *fleet) DoElsewhere(ctx context.Context, address string, l peer.Lane, method string, in, out any) error {
	f.mu.Lock()
	f.elsewhere++
	f.mu.Unlock()

	return f.Do(ctx, address, l, method, in, out)
}

func answered(_ context.Context, _ string, _ forward.Request) (forward.Reply, error) {
	return forward.Reply{Result: forward.Answered, Status: http.StatusOK, Body: []byte("whole")}, nil
}

func newFleet(nodes int) *fleet {
	f := &fleet{dead: map[string]bool{}, reply: answered}
	for i := range nodes {
		f.records = append(f.records, membership.Record{
			ID: "n" + strconv.Itoa(i), PeerAddress: "a" + strconv.Itoa(i), FailureDomain: "derby",
			Upstream: membership.Upstream{Service: "browse", State: membership.UpstreamReady, Slots: 9},
		})
	}

	return f
}

func holder(t *testing.T, change ...func(*route.Route)) *route.Holder {
	t.Helper()

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
	assert.NilError(t, err)

	h := &route.Holder{}
	assert.Assert(t, h.Offer(table, nil))

	return h
}

func newDispatcher(f *fleet, h *route.Holder) *dispatch.Dispatcher {
	return recorded(f, h, timeline.New())
}

func recorded(f *fleet, h *route.Holder, r *timeline.Recorder) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Options{
		Node: "me", FailureDomain: "derby", Service: "finder", Names: header.Default(), Tables: h, Members: f, Peers: f, Own: nil,
		Placer: place.New(), Budget: repeats.New(repeats.Bound{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}), Recorder: r,
		Leaving: func() bool { return f.leaving },
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

func TestACallIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		r := send(newDispatcher(f, holder(t)), "/once/x")
		assert.Equal(t, r.Status, http.StatusOK)
		assert.Equal(t, string(r.Body), "whole")
		assert.Equal(t, len(f.asked), 1)
	})
}

// A backend server failed an upload, and its caller complains. The line of the node that
// the caller reached is no sample of many.
func TestAFailureOfTheBackendServerHasItsLine(t *testing.T) {
	f := newFleet(1)
	f.reply = func(context.Context, string, forward.Request) (forward.Reply, error) {
		return forward.Reply{Result: forward.Answered, Status: http.StatusGatewayTimeout}, nil
	}

	recorder := timeline.New()
	r := send(recorded(f, holder(t), recorder), "/once/x")
	assert.Equal(t, r.Status, http.StatusGatewayTimeout)

	told := recorder.Entries(timeline.Filter{Call: "id-1"})
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0].Name, event.CallFailed.Name)
}

// An upload was handed over and its answer was lost. Nobody knows whether it ran, so
// it is never sent again, and the caller isn't told that it did not run.
func TestAnUploadThatMayHaveRunIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, reply := range []forward.Reply{{Result: forward.Lost}, {Result: forward.Answered, Status: http.StatusInternalServerError}} {
			f := newFleet(3)
			f.reply = func(context.Context, string, forward.Request) (forward.Reply, error) { return reply, nil }
			r := send(newDispatcher(f, holder(t)), "/once/x")
			assert.Equal(t, len(f.asked), 1)
			assert.Assert(t, r.Status == http.StatusBadGateway || r.Status == http.StatusInternalServerError)
		}
	})
}

// The connection to the node broke after the upload was sent on it.
func TestAnUploadOnABrokenConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.reply = func(context.Context, string, forward.Request) (forward.Reply, error) {
			return forward.Reply{}, peer.ErrBroken
		}
		r := send(newDispatcher(f, holder(t)), "/once/x")
		assert.Equal(t, len(f.asked), 1)
		assert.Equal(t, r.Status, http.StatusBadGateway)
	})
}

// A node turned the call away, or could not be reached. It has not run and goes to
// another, uploads too.
func TestWhatDidNotRunGoesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := true
		f := newFleet(3)
		f.reply = func(ctx context.Context, a string, in forward.Request) (forward.Reply, error) {
			if first {
				first = false

				return forward.Reply{}, peer.ErrUnreachable
			}

			return answered(ctx, a, in)
		}
		r := send(newDispatcher(f, holder(t)), "/once/x")
		assert.Equal(t, r.Status, http.StatusOK)
		assert.Equal(t, len(f.asked), 2)
		assert.Assert(t, f.asked[0] != f.asked[1])
	})
}

// A folder open fails at one backend server and is answered by another one.
func TestAnIdempotentCallIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := true
		f := newFleet(3)
		f.reply = func(ctx context.Context, a string, in forward.Request) (forward.Reply, error) {
			if first {
				first = false

				return forward.Reply{Result: forward.Answered, Status: http.StatusInternalServerError}, nil
			}

			return answered(ctx, a, in)
		}
		assert.Equal(t, send(newDispatcher(f, holder(t)), "/safe/x").Status, http.StatusOK)
	})
}

// Every backend server fails. A call reaches as many as its route allows, and the
// caller gets the last one's answer.
func TestAttemptsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5)
		f.reply = func(context.Context, string, forward.Request) (forward.Reply, error) {
			return forward.Reply{Result: forward.Answered, Status: http.StatusInternalServerError, Body: []byte("theirs")}, nil
		}
		r := send(newDispatcher(f, holder(t)), "/safe/x")
		assert.Equal(t, r.Status, http.StatusInternalServerError)
		assert.Equal(t, string(r.Body), "theirs")
		assert.Equal(t, len(f.asked), 2)
	})
}

// Every node is too busy. The caller is told at once that the call has not run, and
// when to come back.
func TestARefusalSaysWhenToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.reply = func(context.Context, string, forward.Request) (forward.Reply, error) {
			return forward.Reply{Result: forward.Refused, Reason: "busy", RetryMs: 250}, nil
		}
		start := time.Now()
		r := send(newDispatcher(f, holder(t)), "/once/x")
		assert.Equal(t, r.Status, http.StatusServiceUnavailable)
		assert.Equal(t, retryAfter(t, r), 0.25)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

// No backend server of the service is known: waiting would not help.
func TestNobodyServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := send(newDispatcher(newFleet(0), holder(t)), "/safe/x")
		assert.Equal(t, r.Status, http.StatusServiceUnavailable)
		assert.Assert(t, retryAfter(t, r) > 0)
	})
}

// A process that has just started knows no route. It must not say that there is none.
func TestNoVersionYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := send(newDispatcher(newFleet(3), &route.Holder{}), "/safe/x")
		assert.Equal(t, r.Status, http.StatusServiceUnavailable)
		assert.Assert(t, retryAfter(t, r) > 0)
	})
}

func TestNoRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Equal(t, send(newDispatcher(newFleet(3), holder(t)), "/other").Status, http.StatusNotFound)
	})
}

// The node does not answer. The caller has its final answer when the route's time is
// over, and the node was given no more time than that.
func TestTheTimeOfTheRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.reply = func(ctx context.Context, _ string, _ forward.Request) (forward.Reply, error) {
			<-ctx.Done()

			return forward.Reply{}, peer.ErrBroken.Wrap(ctx.Err())
		}
		start := time.Now()
		r := send(newDispatcher(f, holder(t)), "/safe/x", "Pollencart-Deadline-Ms", "60000")
		assert.Equal(t, r.Status, http.StatusGatewayTimeout)
		assert.Equal(t, time.Since(start), time.Second)
		assert.Assert(t, f.seen[0].RemainingMs <= 1000)
	})
}

// A call that is sent once more has less time left, and says so.
func TestTheTimeHandedOnIsWhatIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.reply = func(ctx context.Context, a string, in forward.Request) (forward.Reply, error) {
			time.Sleep(300 * time.Millisecond)

			if len(f.asked) == 1 {
				return forward.Reply{Result: forward.Lost}, nil
			}

			return answered(ctx, a, in)
		}
		send(newDispatcher(f, holder(t)), "/safe/x", "Pollencart-Deadline-Ms", "800")
		assert.Equal(t, len(f.seen), 2)
		assert.Assert(t, f.seen[0].RemainingMs <= 800)
		assert.Assert(t, f.seen[1].RemainingMs <= 500)
	})
}

// Callers may send headers by which they would pass for another service, choose an
// instance, or make their request look like an answer.
func TestForgedHeadersAreNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		send(newDispatcher(f, holder(t)), "/safe/x", "Pollencart-Caller", "root", "Pollencart-Expected-Instance", "i-9",
			"Pollencart-Signature", "s", "Connection", "X-Hop", "X-Hop", "1", "X-Mine", "2")

		var names []string
		for _, h := range f.seen[0].Header {
			names = append(names, h.Name)
		}

		assert.Equal(t, strings.Join(names, ","), "X-Mine")
		assert.Equal(t, f.seen[0].Origin, "finder")
		assert.Equal(t, f.seen[0].URI, "/safe/x?q")
	})
}

// A node to which there is no connection is not what a call waits for while others
// are there; a connection is made beside it.
func TestACallDoesNotWaitForAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.dead["a0"] = true
		d := newDispatcher(f, holder(t))

		for range 20 {
			send(d, "/safe/x")
		}

		for _, a := range f.asked {
			assert.Equal(t, a, "a1")
		}

		assert.Assert(t, len(f.opened) > 0)
	})
}

// A node that is being stopped has little processor time left, and its links look
// silent while backend servers work at its calls. Giving these up would cut off what a
// planned stop has to finish; and a call that has nowhere else to go gains nothing.
func TestCallsAreNotGivenUpDuringAPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			nodes   int
			leaving bool
			path    string
			want    int
		}{{3, false, "/safe/x", 1}, {3, true, "/safe/x", 0}, {1, false, "/safe/x", 0}, {3, false, "/once/x", 0}} {
			f := newFleet(c.nodes)
			f.leaving = c.leaving
			send(newDispatcher(f, holder(t)), c.path)
			assert.Equal(t, f.elsewhere, c.want, "%v", c)
		}
	})
}

// A failure domain is cut off and none of its own backend servers has the service. The
// caller is told at once, not after a connection attempt.
func TestAllLinksAreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.dead["a0"], f.dead["a1"] = true, true
		r := send(newDispatcher(f, holder(t)), "/once/x")
		assert.Equal(t, r.Status, http.StatusServiceUnavailable)
		assert.Equal(t, len(f.asked), 0)
		assert.Equal(t, len(f.opened), 2)
	})
}

// One node knows that the request ended two backend servers and refuses it. Another one
// may not have heard of it: asked next, it ran the request and lost the third.
func TestASuspectIsNotTakenElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.reply = func(context.Context, string, forward.Request) (forward.Reply, error) {
			return forward.Reply{Result: forward.Suspected, Reason: "poison.refused", RetryMs: 600_000}, nil
		}
		r := send(newDispatcher(f, holder(t)), "/safe/x")
		assert.Equal(t, len(f.asked), 1)
		assert.Equal(t, r.Status, http.StatusServiceUnavailable)
	})
}

// The answer of an idempotent call is lost in a crash, and it goes to another node, which
// is told of the crash by the call.
func TestTheNextNodeIsToldOfACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crash := call.Crash{Gate: "a#1", Number: 1, Address: "a"}
		f := newFleet(3)
		f.reply = func(context.Context, string, forward.Request) (forward.Reply, error) {
			return forward.Reply{Result: forward.Lost, Crashes: []call.Crash{crash}}, nil
		}
		send(newDispatcher(f, holder(t)), "/safe/x")
		assert.Equal(t, len(f.seen), 2)
		assert.DeepEqual(t, f.seen[1].Crashes, []call.Crash{crash})
	})
}
