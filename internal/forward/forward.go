// Package forward holds the messages with which the node that a caller reaches
// hands a call to the node beside a backend server.
//
// Both are kept small, since bytes between failure domains cost more than anything
// else that a node does: arrays without field names, times in milliseconds, and no
// header that the other end can work out.
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

// ErrMessage is returned for a message that does not check.
var ErrMessage = errs.New("forward.message", http.StatusBadRequest, "message not accepted")

// Request is a call on its way to a backend server.
type Request struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID      string `msgpack:"ID"`
	Service string `msgpack:"Service"`
	// Route names the route; the time that its calls take is learnt by it.
	Route string `msgpack:"Route"`
	// Origin is the service of the host where the call began.
	Origin string       `msgpack:"Origin"`
	Method string       `msgpack:"Method"`
	Host   string       `msgpack:"Host"`
	URI    string       `msgpack:"URI"`
	Header []call.Field `msgpack:"Header"`
	Body   []byte       `msgpack:"Body"`
	// Idempotent calls may be sent to more than one backend server.
	Idempotent bool `msgpack:"Idempotent"`
	Rank       int  `msgpack:"Rank"`
	// RemainingMs is until the caller gives up, TargetMs until the answer is worth
	// less to it.
	RemainingMs int64 `msgpack:"RemainingMs"`
	TargetMs    int64 `msgpack:"TargetMs"`
	// Elsewhere says that another node can take the call if this one is busy.
	Elsewhere bool `msgpack:"Elsewhere"`
	// Crashes are those of backend servers that earlier tries were running in.
	Crashes []call.Crash `msgpack:"Crashes"`
	// Nearby says that another node of the failure domain may have a slot free, if this
	// one has none.
	Nearby bool `msgpack:"Nearby"`
}

// Check reports whether a decoded request can be used.
func (r *Request) Check() error {
	if r.ID == "" || r.Service == "" || r.Method == "" || r.URI == "" {
		return ErrMessage.With("ID, Service, Method or URI is missing")
	}

	return nil
}

// Remaining returns the time until the caller gives up.
func (r *Request) Remaining() time.Duration { return time.Duration(r.RemainingMs) * time.Millisecond }

// Target returns the time until the answer is worth less.
func (r *Request) Target() time.Duration { return time.Duration(r.TargetMs) * time.Millisecond }

// Result says what became of a call at the node that was asked.
type Result uint8

// The results.
const (
	// Answered means that the backend server gave the answer.
	Answered Result = iota + 1
	// Refused means that the node did not pass the call on, and never will.
	Refused
	// Shed means that the backend server was asked and said that it did not run
	// the call.
	Shed
	// Lost means that the backend server was asked and nobody knows whether it ran
	// the call.
	Lost
	// Suspected means that the node did not pass the call on, since it was running when
	// backend servers crashed. No other node is asked: one may not have heard of it.
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

// Reasons that the node that asked acts on.
const (
	// ReasonElsewhere means that the call would be late and others may take it.
	ReasonElsewhere = "would be late here"
	// ReasonWaits means that the call would be on time but would wait, and that others near
	// may have a slot free.
	ReasonWaits = "would wait here"
	// ReasonNone means that no backend server takes calls there.
	ReasonNone = "no backend server takes calls"
)

// Load is what a node tells about its backend server with each reply.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Slots   int `msgpack:"Slots"`
	Running int `msgpack:"Running"`
	Waiting int `msgpack:"Waiting"`
	// WaitsMs is how long a call would wait now, by its rank; less urgent ones wait
	// as long as the last.
	WaitsMs [Ranks]int64 `msgpack:"WaitsMs"`
}

// Ranks is how many ranks a load tells apart; routes have three priorities.
const Ranks = 3

// Wait returns how long a call of a rank would wait.
func (l Load) Wait(rank int) time.Duration {
	return time.Duration(l.WaitsMs[min(max(rank, 0), Ranks-1)]) * time.Millisecond
}

// Reply is what became of a call.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Result Result       `msgpack:"Result"`
	Status int          `msgpack:"Status"`
	Header []call.Field `msgpack:"Header"`
	Body   []byte       `msgpack:"Body"`
	// Reason says why there is no answer, RetryMs when to come back.
	Reason  string `msgpack:"Reason"`
	RetryMs int64  `msgpack:"RetryMs"`
	Load    Load   `msgpack:"Load"`
	// HeldMs is how long the backend server took.
	HeldMs int64 `msgpack:"HeldMs"`
	// Crashes are those of backend servers that the call is known to have been running in.
	Crashes []call.Crash `msgpack:"Crashes"`
}

// Check reports whether a decoded reply can be used.
func (r *Reply) Check() error {
	if r.Result < Answered || r.Result > Suspected {
		return ErrMessage.With("result %d", r.Result)
	}

	return nil
}

// Elsewhere reports whether the node left the call to others, and would take it if they do
// not.
func (r *Reply) Elsewhere() bool {
	return r.Result == Refused && (r.Reason == ReasonElsewhere || r.Reason == ReasonWaits)
}

// RetryAfter returns when to come back.
func (r *Reply) RetryAfter() time.Duration { return time.Duration(r.RetryMs) * time.Millisecond }
