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

// The first node that is asked has a queue. One other node nearby is asked for a free slot; the
// call takes what it finds there, also a wait, since asking on for each call of a busy service
// would cost more than it gains. A large body is not sent twice for that, and no call leaves
// its failure domain for it.
func TestAFreeSlotNearbyIsLookedForOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *fleet)
		body   int
		nearby []bool
	}{
		{"others near", func(*fleet) {}, 100, []bool{true, false}},
		{"a large body", func(*fleet) {}, 5 << 10, []bool{false}},
		{"nobody else", func(f *fleet) { f.records = f.records[:1] }, 100, []bool{false}},
		{"others far", func(f *fleet) {
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
			for _, in := range f.seen {
				nearby = append(nearby, in.Nearby)
			}

			assert.DeepEqual(t, nearby, c.nearby)
		})
	}
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
			if c.leaving {
				f.draining.Leave()
			}

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
