// Package call holds the request and the answer as they pass through the pipe
// of filters, at the entry node and at the gate node.
//
// Values are immutable: a filter that changes something makes a copy by a With
// method and hands that on.
//
//	pipe := call.Chain(route, deadline, once, attempt)
//	answer, err := pipe(ctx, c)
package call

import (
	"context"
	"net/http"
	"time"

	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// ErrInvalid is returned for a message that does not check.
var ErrInvalid = errs.New("call.invalid", http.StatusBadRequest, "call message not accepted")

// Field is one header line.
type Field struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Name  string
	Value string
}

// Call is one request of a caller.
type Call struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID         string            `msgpack:"ID"`
	Caller     string            `msgpack:"Caller"`
	Service    string            `msgpack:"Service"`
	Route      string            `msgpack:"Route"`
	Class      settings.Class    `msgpack:"Class"`
	Idempotent bool              `msgpack:"Idempotent"`
	Method     string            `msgpack:"Method"`
	URI        string            `msgpack:"URI"`
	Header     []Field           `msgpack:"Header"`
	Body       []byte            `msgpack:"Body"`
	Key        string            `msgpack:"Key,omitempty"`
	Attempt    int               `msgpack:"Attempt"`
	Depth      int               `msgpack:"Depth"`
	Version    uint64            `msgpack:"Version"`
	Queue      int               `msgpack:"Queue"`
	Values     *settings.Values  `msgpack:"-"`
	Remaining  settings.Duration `msgpack:"Remaining"`
	Ticket     *Ticket           `msgpack:"Ticket,omitempty"`
	// Life is the process that an entry took for the home of an opaque key.
	Life string `msgpack:"Life,omitempty"`
	// Crashes are those of backend servers that earlier attempts were running in.
	Crashes []Crash `msgpack:"Crashes,omitempty"`
}

// Crash names one end of one backend server.
type Crash struct {
	// Gate is the node that saw it, by its life, and Number counts there.
	Gate   string `msgpack:"Gate"`
	Number uint64 `msgpack:"Number"`
	// Address is where the gate is asked for permission.
	Address string `msgpack:"Address"`
}

// Check reports whether a decoded call can be used.
func (c *Call) Check() error {
	if c.ID == "" || c.Service == "" || c.Method == "" || c.URI == "" {
		return ErrInvalid.With("ID, Service, Method or URI is missing")
	}

	if !c.Class.Valid() {
		return ErrInvalid.With("class %q", c.Class)
	}

	if c.Ticket != nil {
		return c.Ticket.Check()
	}

	return nil
}

// WithRoute returns the call with the values of its route.
func (c Call) WithRoute(r settings.Resolved, version uint64) Call {
	c.Route = r.Path
	c.Service = r.Values.Service
	c.Class = r.Values.Class
	c.Idempotent = r.Values.Idempotent
	c.Queue = r.Values.Queue
	c.Version = version
	c.Values = &r.Values

	return c
}

// WithAttempt returns the call as it is sent for the nth time.
func (c Call) WithAttempt(n int) Call {
	c.Attempt = n

	return c
}

// WithKey returns the call with an idempotency key.
func (c Call) WithKey(key string) Call {
	c.Key = key

	return c
}

// WithTicket returns the call as one attempt of its home.
func (c Call) WithTicket(t Ticket) Call {
	c.Ticket = &t

	return c
}

// WithCrashes returns the call with what is known of crashes that it was running in.
func (c Call) WithCrashes(crashes []Crash) Call {
	c.Crashes = crashes

	return c
}

// WithLife returns the call as it is meant for one process.
func (c Call) WithLife(life string) Call {
	c.Life = life

	return c
}

// WithRemaining returns the call with the time that is left.
func (c Call) WithRemaining(d time.Duration) Call {
	c.Remaining = settings.Duration(d)

	return c
}

// Ticket names one attempt of a call that must run at most once.
type Ticket struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Home is the life of the process that sends the attempt, Number the
	// attempt; Home sends no number twice.
	Home   string `msgpack:"Home"`
	Number uint64 `msgpack:"Number"`
	// Low is the lowest number that Home still cares for.
	Low uint64 `msgpack:"Low"`
	// Epoch is the epoch of the gate that the attempt is meant for.
	Epoch string `msgpack:"Epoch"`
}

// Check reports whether a decoded ticket can be used.
func (t *Ticket) Check() error {
	if t.Home == "" || t.Number == 0 || t.Low > t.Number {
		return ErrInvalid.With("ticket of home %q, number %d, low %d", t.Home, t.Number, t.Low)
	}

	return nil
}

// Ran says whether a backend server ran the call.
type Ran string

// The outcomes.
const (
	// RanNo is said only when no byte of the call reached a backend server and
	// none will.
	RanNo Ran = "not-run"
	// RanYes means that a backend server answered.
	RanYes Ran = "ran"
	// RanUnknown means that a backend server was reached and did not answer.
	RanUnknown Ran = "unknown"
)

// Load is what a gate tells about its backend server with every answer.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Slots    int               `msgpack:"Slots"`
	InFlight int               `msgpack:"InFlight"`
	Queued   int               `msgpack:"Queued"`
	Wait     settings.Duration `msgpack:"Wait"`
	Leaving  bool              `msgpack:"Leaving"`
	// Work is what a call of each class has in front of it now: the calls in
	// slots and those that wait in its class and in more urgent ones. Usual is
	// the same, averaged over the last second.
	Work  [settings.ClassCount]int     `msgpack:"Work"`
	Usual [settings.ClassCount]float64 `msgpack:"Usual"`
	// Waited and Held are the times that this call spent in the queue and in a
	// slot.
	Waited settings.Duration `msgpack:"Waited"`
	Held   settings.Duration `msgpack:"Held"`
}

// WithTimes returns the load with the times of one call.
func (l Load) WithTimes(waited, held time.Duration) Load {
	l.Waited = settings.Duration(waited)
	l.Held = settings.Duration(held)

	return l
}

// Answer is what the caller gets.
type Answer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Call is the ID of the call that this answers.
	Call     string  `msgpack:"Call"`
	Status   int     `msgpack:"Status"`
	Header   []Field `msgpack:"Header"`
	Body     []byte  `msgpack:"Body"`
	Ran      Ran     `msgpack:"Ran"`
	Upstream string  `msgpack:"Upstream"`
	Load     Load    `msgpack:"Load"`
	Repeat   bool    `msgpack:"Repeat,omitempty"`
	Key      string  `msgpack:"Key,omitempty"`
	// Attempts is how many times the call was sent to a gate.
	Attempts int `msgpack:"Attempts"`
}

// WithKey returns the answer with the idempotency key that it belongs to.
func (a Answer) WithKey(key string) Answer {
	a.Key = key

	return a
}

// WithAttempts returns the answer with the number of attempts made.
func (a Answer) WithAttempts(n int) Answer {
	a.Attempts = n

	return a
}

// WithRepeat marks the answer as one that an earlier run gave.
func (a Answer) WithRepeat() Answer {
	a.Repeat = true

	return a
}

// Refusal is the final answer to a call that was given up.
type Refusal struct { //nolint:errname // a wire type, named as callers see it
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Fault      *errs.Error       `msgpack:"Fault"`
	Ran        Ran               `msgpack:"Ran"`
	RetryAfter settings.Duration `msgpack:"RetryAfter"`
	Load       Load              `msgpack:"Load"`
	// Key is set by the home of the key: what Ran says holds for the key, not
	// only for this attempt.
	Key string `msgpack:"Key,omitempty"`
	// NotForwarded says that this attempt did not get to the key's home; an
	// earlier one may have run.
	NotForwarded bool `msgpack:"NotForwarded,omitempty"`
	// Attempts is how many times the call was sent to a gate.
	Attempts int `msgpack:"Attempts"`
	// Crashes are those of backend servers that the call is known to have been running
	// in. The next gate that gets it may not have heard of them yet.
	Crashes []Crash `msgpack:"Crashes,omitempty"`
}

// Refuse returns a refusal.
func Refuse(fault error, ran Ran, retryAfter time.Duration) *Refusal {
	return &Refusal{Fault: errs.From(fault), Ran: ran, RetryAfter: settings.Duration(retryAfter)}
}

// WithLoad returns the refusal with the gate's load.
func (r Refusal) WithLoad(l Load) *Refusal {
	r.Load = l

	return &r
}

// WithAttempts returns the refusal with the number of attempts made.
func (r Refusal) WithAttempts(n int) *Refusal {
	r.Attempts = n

	return &r
}

// WithCrashes returns the refusal with what is known of crashes.
func (r Refusal) WithCrashes(crashes []Crash) *Refusal {
	r.Crashes = crashes

	return &r
}

// WithKey returns the refusal as the home's word on a key.
func (r Refusal) WithKey(key string) *Refusal {
	r.Key = key

	return &r
}

// WithNotForwarded returns the refusal as it must be told of a key whose home
// was not asked.
func (r Refusal) WithNotForwarded() *Refusal {
	r.Ran = RanUnknown
	r.NotForwarded = true

	return &r
}

// Error implements error.
func (r *Refusal) Error() string { return r.Fault.Error() + " (" + string(r.Ran) + ")" }

// Unwrap returns the fault.
func (r *Refusal) Unwrap() error { return r.Fault }

// Handler takes a call to its answer.
type Handler func(ctx context.Context, c Call) (Answer, error)

// Filter is one stage of the pipe.
type Filter func(next Handler) Handler

// Chain makes one handler of the filters, first to last, and the end.
func Chain(end Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		end = filters[i](end)
	}

	return end
}
