// Package call defines the request and the answer that pass through the filter chains of
// the entry node, which receives a call from its caller, and of the gate node, which is on
// the backend server's host.
//
// Values are immutable: a filter passes on a modified copy that it makes with a With method.
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

// ErrInvalid is returned for a message with missing or invalid fields.
var ErrInvalid = errs.New("call.invalid", http.StatusBadRequest, "call message not accepted")

// Field is a header field.
type Field struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Name  string
	Value string
}

// Call is a caller's request.
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
	// BootID is the boot ID of the process that the entry node considers the owner of an
	// opaque key, which is a key that names no owner.
	BootID string `msgpack:"Life,omitempty"`
	// Crashes are the crashes of backend servers during earlier attempts of this call.
	Crashes []Crash `msgpack:"Crashes,omitempty"`
}

// Crash identifies a crash of a backend server.
type Crash struct {
	// Gate is the boot ID of the gate node that observed the crash, Number its sequence
	// number there.
	Gate   string `msgpack:"Gate"`
	Number uint64 `msgpack:"Number"`
	// Address is the gate's address for permission requests.
	Address string `msgpack:"Address"`
}

// Check returns an error if a decoded call is invalid.
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

// Size returns about how many bytes the call has when it is encoded.
func (c Call) Size() int { return len(c.Body) }

// WithRoute returns the call with the settings of its route.
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

// WithAttempt returns the call with the number of the attempt.
func (c Call) WithAttempt(n int) Call {
	c.Attempt = n

	return c
}

// WithKey returns the call with an idempotency key.
func (c Call) WithKey(key string) Call {
	c.Key = key

	return c
}

// WithTicket returns the call with an attempt ticket.
func (c Call) WithTicket(t Ticket) Call {
	c.Ticket = &t

	return c
}

// WithCrashes returns the call with the crashes during its earlier attempts.
func (c Call) WithCrashes(crashes []Crash) Call {
	c.Crashes = crashes

	return c
}

// WithBootID returns the call with the boot ID of the process that it is sent to.
func (c Call) WithBootID(bootID string) Call {
	c.BootID = bootID

	return c
}

// WithRemaining returns the call with the time left until its deadline.
func (c Call) WithRemaining(d time.Duration) Call {
	c.Remaining = settings.Duration(d)

	return c
}

// Ticket is an attempt ticket: it authorizes one attempt of a call that must run at most once.
type Ticket struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Home is the boot ID of the process that sends the attempt, the owner of the key.
	// Number identifies the attempt; the owner never uses a number twice.
	Home   string `msgpack:"Home"`
	Number uint64 `msgpack:"Number"`
	// Low is the lowest number that is still in use by the owner.
	Low uint64 `msgpack:"Low"`
	// Epoch is the epoch of the gate that the attempt is sent to.
	Epoch string `msgpack:"Epoch"`
}

// Check returns an error if a decoded ticket is invalid.
func (t *Ticket) Check() error {
	if t.Home == "" || t.Number == 0 || t.Low > t.Number {
		return ErrInvalid.With("ticket of home %q, number %d, low %d", t.Home, t.Number, t.Low)
	}

	return nil
}

// Ran is whether a backend server ran the call.
type Ran string

// The values of Ran.
const (
	// RanNo means that no byte of the call has reached a backend server and none will.
	RanNo Ran = "not-run"
	// RanYes means that a backend server answered.
	RanYes Ran = "ran"
	// RanUnknown means that a backend server was reached but did not answer, so the call
	// may have run.
	RanUnknown Ran = "unknown"
)

// Load is the load of a backend server, which its gate reports with every answer.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Slots    int               `msgpack:"Slots"`
	InFlight int               `msgpack:"InFlight"`
	Queued   int               `msgpack:"Queued"`
	Wait     settings.Duration `msgpack:"Wait"`
	Leaving  bool              `msgpack:"Leaving"`
	// Work is the number of calls ahead of a new call, per class: the calls in slots and
	// those queued in the same class and in more urgent ones. Usual is the average of Work
	// over the last second.
	Work  [settings.ClassCount]int     `msgpack:"Work"`
	Usual [settings.ClassCount]float64 `msgpack:"Usual"`
	// Waited is the queueing time of this call, Held its service time in a slot.
	Waited settings.Duration `msgpack:"Waited"`
	Held   settings.Duration `msgpack:"Held"`
}

// WithTimes returns the load with the queueing and service time of a call.
func (l Load) WithTimes(waited, held time.Duration) Load {
	l.Waited = settings.Duration(waited)
	l.Held = settings.Duration(held)

	return l
}

// Answer is the answer to a call.
type Answer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Call is the ID of the answered call.
	Call     string  `msgpack:"Call"`
	Status   int     `msgpack:"Status"`
	Header   []Field `msgpack:"Header"`
	Body     []byte  `msgpack:"Body"`
	Ran      Ran     `msgpack:"Ran"`
	Upstream string  `msgpack:"Upstream"`
	Load     Load    `msgpack:"Load"`
	Repeat   bool    `msgpack:"Repeat,omitempty"`
	Key      string  `msgpack:"Key,omitempty"`
	// Attempts is the number of times that the call was sent to a gate.
	Attempts int `msgpack:"Attempts"`
}

// WithKey returns the answer with its idempotency key.
func (a Answer) WithKey(key string) Answer {
	a.Key = key

	return a
}

// WithAttempts returns the answer with the number of attempts made.
func (a Answer) WithAttempts(n int) Answer {
	a.Attempts = n

	return a
}

// WithRepeat returns the answer marked as the stored result of an earlier request with the
// same key.
func (a Answer) WithRepeat() Answer {
	a.Repeat = true

	return a
}

// Refusal is the reply to a call that was rejected or has failed without a usable answer.
type Refusal struct { //nolint:errname // a wire type; callers use this name
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Fault      *errs.Error       `msgpack:"Fault"`
	Ran        Ran               `msgpack:"Ran"`
	RetryAfter settings.Duration `msgpack:"RetryAfter"`
	Load       Load              `msgpack:"Load"`
	// Key is set by the key's owner node. Ran then applies to all attempts with the key, not
	// only to this one.
	Key string `msgpack:"Key,omitempty"`
	// NotForwarded is set if this attempt did not reach the key's owner node; an earlier
	// attempt may have run.
	NotForwarded bool `msgpack:"NotForwarded,omitempty"`
	// Attempts is the number of times that the call was sent to a gate.
	Attempts int `msgpack:"Attempts"`
	// Crashes are the known crashes of backend servers that were running the call. The next
	// gate that gets the call may not have learned of them yet.
	Crashes []Crash `msgpack:"Crashes,omitempty"`
}

// Refuse returns a refusal with the given fault.
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

// WithCrashes returns the refusal with the known crashes.
func (r Refusal) WithCrashes(crashes []Crash) *Refusal {
	r.Crashes = crashes

	return &r
}

// WithKey returns the refusal as the owner node's reply for a key.
func (r Refusal) WithKey(key string) *Refusal {
	r.Key = key

	return &r
}

// WithNotForwarded returns the refusal of a call that did not reach its key's owner node.
func (r Refusal) WithNotForwarded() *Refusal {
	r.Ran = RanUnknown
	r.NotForwarded = true

	return &r
}

// Error implements error.
func (r *Refusal) Error() string { return r.Fault.Error() + " (" + string(r.Ran) + ")" }

// Unwrap returns the fault.
func (r *Refusal) Unwrap() error { return r.Fault }

// Handler processes a call and returns its answer.
type Handler func(ctx context.Context, c Call) (Answer, error)

// Filter wraps a handler as one stage of a chain.
type Filter func(next Handler) Handler

// Chain returns a handler that runs the filters in order and then end.
func Chain(end Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		end = filters[i](end)
	}

	return end
}
