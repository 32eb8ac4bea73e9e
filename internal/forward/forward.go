// Package forward defines the messages with which the entry node, which received a call
// from its caller, forwards the call to the node on a backend server's host.
//
// The messages are kept small, because traffic between failure domains is a node's largest
// cost: they are encoded as arrays without field names, times are in milliseconds, and
// headers that the receiver can derive are left out.
//
//	reply := forward.Reply{}
//	err := peers.Do(ctx, address, peer.LaneCalls, forward.MethodRun, request, &reply)
package forward

import (
	"net/http"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/pkg/errs"
)

// MethodRun is the peer method that runs a call.
const MethodRun = "Run"

// ErrMessage is returned for an invalid message.
var ErrMessage = errs.New("forward.message", http.StatusBadRequest, "message not accepted")

// Request asks a node to run a call on its backend server.
type Request struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID      string `msgpack:"ID"`
	Service string `msgpack:"Service"`
	// Route names the route; nodes estimate service times per route.
	Route string `msgpack:"Route"`
	// Origin is the service of the host where the call originates.
	Origin string       `msgpack:"Origin"`
	Method string       `msgpack:"Method"`
	Host   string       `msgpack:"Host"`
	URI    string       `msgpack:"URI"`
	Header []call.Field `msgpack:"Header"`
	Body   []byte       `msgpack:"Body"`
	// Idempotent calls may be sent to more than one backend server.
	Idempotent bool `msgpack:"Idempotent"`
	Rank       int  `msgpack:"Rank"`
	// RemainingMs is the time until the caller's deadline, TargetMs the time until the call is
	// past its target.
	RemainingMs int64 `msgpack:"RemainingMs"`
	TargetMs    int64 `msgpack:"TargetMs"`
	// Elsewhere is set if another node can run the call if this one is busy.
	Elsewhere bool `msgpack:"Elsewhere"`
	// Crashes lists the backend server crashes during which earlier attempts were running.
	Crashes []call.Crash `msgpack:"Crashes"`
	// Nearby is set if another node of the same failure domain may have a free slot, in case
	// this one has none.
	Nearby bool `msgpack:"Nearby"`
	// Notice is what the sender knows of the backend server from earlier replies, or nil. The
	// process that runs the call may have started after them. It follows the message.
	Notice *Notice `msgpack:"-"`
}

// Check returns an error if a decoded request is invalid.
func (r *Request) Check() error {
	if r.ID == "" || r.Service == "" || r.Method == "" || r.URI == "" {
		return ErrMessage.With("ID, Service, Method or URI is missing")
	}

	return r.Notice.Check()
}

// Size returns about how many bytes the request has when it is encoded.
func (r Request) Size() int { return len(r.Body) + size(r.Header) }

// size returns about how many bytes fields have when they are encoded.
func size(fields []call.Field) int {
	const others = 8 // codes and lengths

	n := 0
	for _, f := range fields {
		n += len(f.Name) + len(f.Value) + others
	}

	return n
}

// Remaining returns the time until the caller's deadline.
func (r *Request) Remaining() time.Duration { return time.Duration(r.RemainingMs) * time.Millisecond }

// Target returns the time until the call is past its target.
func (r *Request) Target() time.Duration { return time.Duration(r.TargetMs) * time.Millisecond }

// Result is the outcome of a call at the node that the request was sent to.
type Result uint8

// The results of a request.
const (
	// Answered means that the reply holds the backend server's answer.
	Answered Result = iota + 1
	// Refused means that the node rejected the call without sending it to the backend server,
	// and will not send it later.
	Refused
	// Shed means that the backend server received the call and rejected it without running
	// it.
	Shed
	// Lost means that the call was sent to the backend server and it is unknown whether it
	// ran.
	Lost
	// Suspected means that the node rejected the call because it was running when backend
	// servers crashed. The call is not sent to other nodes, which may not know of the crashes.
	Suspected
)

// String returns the name of the result.
func (r Result) String() string {
	names := [...]string{"", "answered", "refused", "shed", "lost", "suspected"}
	if int(r) < len(names) {
		return names[r]
	}

	return "invalid"
}

// Reasons of a Refused reply that the entry node acts on.
const (
	// ReasonElsewhere means that the call would miss its target here and another node may run
	// it.
	ReasonElsewhere = "would be late here"
	// ReasonWaits means that the call would meet its target here but would wait, and that
	// another node of the same failure domain may have a free slot.
	ReasonWaits = "would wait here"
	// ReasonEnding means that the process is being stopped, and that the call must not run twice and might be cut off by
	// its end, which is RetryMs from now.
	ReasonEnding = "might outlast this process"
	// ReasonNone means that no backend server accepts calls at the node.
	ReasonNone = "no backend server takes calls"
)

// Load is the state of a node's backend server that is reported with each reply.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Slots   int `msgpack:"Slots"`
	Running int `msgpack:"Running"`
	Waiting int `msgpack:"Waiting"`
	// WaitsMs is the estimated wait of a new call by its rank; calls of higher ranks, which
	// are less urgent, wait as long as those of the last rank.
	WaitsMs [Ranks]int64 `msgpack:"WaitsMs"`
}

// Ranks is the number of ranks in a Load; routes have three priorities.
const Ranks = 3

// Wait returns the estimated wait of a call of the rank.
func (l Load) Wait(rank int) time.Duration {
	return time.Duration(l.WaitsMs[min(max(rank, 0), Ranks-1)]) * time.Millisecond
}

// Reply is the answer to a Request.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Result Result       `msgpack:"Result"`
	Status int          `msgpack:"Status"`
	Header []call.Field `msgpack:"Header"`
	Body   []byte       `msgpack:"Body"`
	// Reason says why there is no answer, RetryMs after what time to retry.
	Reason  string `msgpack:"Reason"`
	RetryMs int64  `msgpack:"RetryMs"`
	Load    Load   `msgpack:"Load"`
	// HeldMs is the service time of the call at the backend server, at the usual speed of its host.
	HeldMs int64 `msgpack:"HeldMs"`
	// Crashes lists the backend server crashes during which the call is known to have been
	// running.
	Crashes []call.Crash `msgpack:"Crashes"`
	// Notice is what the backend server said of itself in its answers, or nil. It follows the
	// message.
	Notice *Notice `msgpack:"-"`
	// Slowness is how long work usually takes on the host of the backend server, as a multiple of
	// a standard time, if the backend server states it; 0 otherwise. It follows the notice.
	Slowness float64 `msgpack:"-"`
}

// Check returns an error if a decoded reply is invalid.
func (r *Reply) Check() error {
	if r.Result < Answered || r.Result > Suspected {
		return ErrMessage.With("result %d", r.Result)
	}

	if r.Slowness < 0 {
		return ErrMessage.With("a slowness of %f", r.Slowness)
	}

	return r.Notice.Check()
}

// Size returns about how many bytes the reply has when it is encoded.
func (r Reply) Size() int { return len(r.Body) + size(r.Header) }

// Elsewhere reports whether the node rejected the call in favor of other nodes, and would
// run it if they do not.
func (r *Reply) Elsewhere() bool {
	return r.Result == Refused && (r.Reason == ReasonElsewhere || r.Reason == ReasonWaits || r.Reason == ReasonEnding)
}

// RetryAfter returns the time after which to retry.
func (r *Reply) RetryAfter() time.Duration { return time.Duration(r.RetryMs) * time.Millisecond }
