package dispatch_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/ingress"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/timeline"
)

func TestCallIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		r := send(newDispatcher(f, holder(t)), "/once/x")
		assert.Equal(t, r.Status, http.StatusOK)
		assert.Equal(t, string(r.Body), "whole")
		assert.Equal(t, len(f.contacted), 1)
	})
}

// A backend server answers a non-idempotent call with an error. The entry node must record
// each such call, since its caller may ask about it; only successful calls are sampled.
func TestBackendServerFailureIsRecorded(t *testing.T) {
	f := newFleet(1)
	f.reply = func(context.Context, string, forward.Request) (forward.Reply, error) {
		return forward.Reply{Result: forward.Answered, Status: http.StatusGatewayTimeout}, nil
	}

	recorder := timeline.New()
	r := send(newRecordedDispatcher(f, holder(t), recorder), "/once/x")
	assert.Equal(t, r.Status, http.StatusGatewayTimeout)

	entries := recorder.Entries(timeline.Filter{Call: "id-1"})
	assert.Equal(t, len(entries), 1)
	assert.Equal(t, entries[0].Name, event.CallFailed.Name)
}

// The answer to a non-idempotent call is lost. It may have run, so it must not be sent again,
// and the caller must not get a response that says that it did not run.
func TestNonIdempotentCallThatMayHaveRunIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, reply := range []forward.Reply{{Result: forward.Lost}, {Result: forward.Answered, Status: http.StatusInternalServerError}} {
			f := newFleet(3)
			f.reply = func(context.Context, string, forward.Request) (forward.Reply, error) { return reply, nil }
			r := send(newDispatcher(f, holder(t)), "/once/x")
			assert.Equal(t, len(f.contacted), 1)
			assert.Assert(t, r.Status == http.StatusBadGateway || r.Status == http.StatusInternalServerError)
		}
	})
}

// The connection to the node breaks after a non-idempotent call was sent on it.
func TestNonIdempotentCallOnBrokenConnectionIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.reply = func(context.Context, string, forward.Request) (forward.Reply, error) {
			return forward.Reply{}, peer.ErrBroken
		}
		r := send(newDispatcher(f, holder(t)), "/once/x")
		assert.Equal(t, len(f.contacted), 1)
		assert.Equal(t, r.Status, http.StatusBadGateway)
	})
}

// A node is unreachable, so the call did not run. It goes to another node, even if it is not
// idempotent.
func TestCallThatDidNotRunGoesToAnotherNode(t *testing.T) {
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
		assert.Equal(t, len(f.contacted), 2)
		assert.Assert(t, f.contacted[0] != f.contacted[1])
	})
}

// The first node has a queue, and one other node of the same failure domain is contacted for a
// free slot. The call waits there if there is none, since contacting more nodes of a busy
// service costs more than it gains. Large bodies are not sent twice for this, and no call
// leaves its failure domain for it.
func TestOneOtherNodeIsContactedForFreeSlot(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *fleet)
		body   int
		nearby []bool
	}{
		{"others in the same failure domain", func(*fleet) {}, 100, []bool{true, false}},
		{"a large body", func(*fleet) {}, 5 << 10, []bool{false}},
		{"no other node", func(f *fleet) { f.records = f.records[:1] }, 100, []bool{false}},
		{"others in another failure domain", func(f *fleet) {
			f.records[1].FailureDomain, f.records[2].FailureDomain = "leic", "leic"
			f.dead[f.records[1].PeerAddress], f.dead[f.records[2].PeerAddress] = true, true
		}, 100, []bool{false}},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(3)
			c.change(f)
			f.reply = func(ctx context.Context, a string, in forward.Request) (forward.Reply, error) {
				if in.Nearby {
					return forward.Reply{Result: forward.Refused, Reason: forward.ReasonWaits}, nil
				}

				return answered(ctx, a, in)
			}

			r := newDispatcher(f, holder(t)).Serve(context.Background(), ingress.Request{
				Method: http.MethodPost, Host: "a.example", URI: "/once/x", Path: "/once/x", Header: http.Header{},
				Body: make([]byte, c.body), Arrived: time.Now(),
			})
			assert.Equal(t, r.Status, http.StatusOK)

			var nearby []bool
			for _, in := range f.requests {
				nearby = append(nearby, in.Nearby)
			}

			assert.DeepEqual(t, nearby, c.nearby)
		})
	}
}

// An idempotent call fails at one backend server and succeeds at another one.
func TestFailedIdempotentCallIsRetried(t *testing.T) {
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

// Every backend server fails. A call gets the number of attempts that its route allows, and the
// caller gets the last error response.
func TestAttemptsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5)
		f.reply = func(context.Context, string, forward.Request) (forward.Reply, error) {
			return forward.Reply{Result: forward.Answered, Status: http.StatusInternalServerError, Body: []byte("theirs")}, nil
		}
		r := send(newDispatcher(f, holder(t)), "/safe/x")
		assert.Equal(t, r.Status, http.StatusInternalServerError)
		assert.Equal(t, string(r.Body), "theirs")
		assert.Equal(t, len(f.contacted), 2)
	})
}

// Every node rejects the call. The caller must get an immediate 503 with the Retry-After time
// of the nodes.
func TestRejectionCarriesRetryAfter(t *testing.T) {
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

// No backend server of the service is known. Waiting doesn't help, so the call is rejected at
// once.
func TestServiceWithoutBackendServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := send(newDispatcher(newFleet(0), holder(t)), "/safe/x")
		assert.Equal(t, r.Status, http.StatusServiceUnavailable)
		assert.Assert(t, retryAfter(t, r) > 0)
	})
}

// A process without configuration knows no routes. It must respond with a retryable 503, not
// with 404.
func TestNodeWithoutConfigurationRejectsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := send(newDispatcher(newFleet(3), &route.Holder{}), "/safe/x")
		assert.Equal(t, r.Status, http.StatusServiceUnavailable)
		assert.Assert(t, retryAfter(t, r) > 0)
	})
}

func TestUnknownRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Equal(t, send(newDispatcher(newFleet(3), holder(t)), "/other").Status, http.StatusNotFound)
	})
}

// The node doesn't answer. The caller gets the final response when the route's timeout ends,
// and the node gets no more than that time.
func TestRouteTimeoutBoundsCall(t *testing.T) {
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
		assert.Assert(t, f.requests[0].RemainingMs <= 1000)
	})
}

// A retry must carry the remaining time, not the original one.
func TestRetryCarriesRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.reply = func(ctx context.Context, a string, in forward.Request) (forward.Reply, error) {
			time.Sleep(300 * time.Millisecond)

			if len(f.contacted) == 1 {
				return forward.Reply{Result: forward.Lost}, nil
			}

			return answered(ctx, a, in)
		}
		send(newDispatcher(f, holder(t)), "/safe/x", "Pollencart-Deadline-Ms", "800")
		assert.Equal(t, len(f.requests), 2)
		assert.Assert(t, f.requests[0].RemainingMs <= 800)
		assert.Assert(t, f.requests[1].RemainingMs <= 500)
	})
}

// Callers may send headers with which they would impersonate another service, choose an
// instance or make their request look like an answer.
func TestForgedHeadersAreNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		send(newDispatcher(f, holder(t)), "/safe/x", "Pollencart-Caller", "root", "Pollencart-Expected-Instance", "i-9",
			"Pollencart-Signature", "s", "Connection", "X-Hop", "X-Hop", "1", "X-Mine", "2")

		var names []string
		for _, h := range f.requests[0].Header {
			names = append(names, h.Name)
		}

		assert.Equal(t, strings.Join(names, ","), "X-Mine")
		assert.Equal(t, f.requests[0].Origin, "finder")
		assert.Equal(t, f.requests[0].URI, "/safe/x?q")
	})
}

// A call must not wait for a new connection while other nodes are connected. The missing
// connection is opened in the background.
func TestCallDoesNotWaitForConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.dead["a0"] = true
		d := newDispatcher(f, holder(t))

		for range 20 {
			send(d, "/safe/x")
		}

		for _, a := range f.contacted {
			assert.Equal(t, a, "a1")
		}

		assert.Assert(t, len(f.opened) > 0)
	})
}

// A draining node has little CPU time left, so its links look silent while backend servers run
// its calls. Abandoning these would cut off calls that the drain must finish. A call that no
// other node can take gains nothing from being abandoned.
func TestCallsAreNotAbandonedWhileDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			nodes   int
			leaving bool
			path    string
			want    int
		}{{3, false, "/safe/x", 1}, {3, true, "/safe/x", 0}, {1, false, "/safe/x", 0}, {3, false, "/once/x", 0}} {
			f := newFleet(c.nodes)
			if c.leaving {
				f.draining.Leave()
			}

			send(newDispatcher(f, holder(t)), c.path)
			assert.Equal(t, f.elsewhereCalls, c.want, "%v", c)
		}
	})
}

// A failure domain is cut off and has no backend server of the service. The caller must get the
// response at once, not after a connection attempt.
func TestCallIsRejectedWhenAllLinksAreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.dead["a0"], f.dead["a1"] = true, true
		r := send(newDispatcher(f, holder(t)), "/once/x")
		assert.Equal(t, r.Status, http.StatusServiceUnavailable)
		assert.Equal(t, len(f.contacted), 0)
		assert.Equal(t, len(f.opened), 2)
	})
}

// One node knows that the request was running in two crashes of backend servers and refuses
// it. Another node may not know of the crashes yet, would run the request and lose a third
// backend server.
func TestSuspectedCallIsNotSentToAnotherNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.reply = func(context.Context, string, forward.Request) (forward.Reply, error) {
			return forward.Reply{Result: forward.Suspected, Reason: "poison.refused", RetryMs: 600_000}, nil
		}
		r := send(newDispatcher(f, holder(t)), "/safe/x")
		assert.Equal(t, len(f.contacted), 1)
		assert.Equal(t, r.Status, http.StatusServiceUnavailable)
	})
}

// The answer to an idempotent call is lost in a crash of the backend server. The retry must
// report the crash to the next node.
func TestRetryReportsCrashToNextNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crash := call.Crash{Gate: "a#1", Number: 1, Address: "a"}
		f := newFleet(3)
		f.reply = func(context.Context, string, forward.Request) (forward.Reply, error) {
			return forward.Reply{Result: forward.Lost, Crashes: []call.Crash{crash}}, nil
		}
		send(newDispatcher(f, holder(t)), "/safe/x")
		assert.Equal(t, len(f.requests), 2)
		assert.DeepEqual(t, f.requests[1].Crashes, []call.Crash{crash})
	})
}
