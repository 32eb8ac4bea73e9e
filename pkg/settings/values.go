package settings

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrDuration is returned for JSON that is not a string with a valid duration.
var ErrDuration = errs.New("settings.duration", http.StatusBadRequest, "not a duration such as \"250ms\" or \"2s\"")

// Duration is a time.Duration that is a string in JSON, such as "250ms".
type Duration time.Duration

// String returns the duration in the format of time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return ErrDuration.With("%s", data)
	}

	v, err := time.ParseDuration(text)
	if err != nil {
		return ErrDuration.With("%q", text)
	}

	*d = Duration(v)

	return nil
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (d Duration) EncodeMsgpack(e *msgpack.Encoder) error { return e.EncodeInt(int64(d)) }

// DecodeMsgpack implements msgpack.CustomDecoder.
func (d *Duration) DecodeMsgpack(dec *msgpack.Decoder) error {
	v, err := dec.DecodeInt64()
	*d = Duration(v)

	return err
}

// Class is the urgency of a route's calls.
type Class string

// The classes, most urgent first.
const (
	ClassInteractive Class = "Interactive"
	ClassWrite       Class = "Write"
	ClassBackground  Class = "Background"
)

// Classes lists the classes, most urgent first.
func Classes() []Class { return []Class{ClassInteractive, ClassWrite, ClassBackground} }

// ClassCount is the number of classes.
const ClassCount = 3

// Rank returns the index of the class in Classes. An unknown class ranks as the most
// urgent.
func (c Class) Rank() int {
	switch c {
	case ClassWrite:
		return 1
	case ClassBackground:
		return ClassCount - 1
	case ClassInteractive:
	}

	return 0
}

// Valid reports whether the class is known.
func (c Class) Valid() bool {
	return c == ClassInteractive || c == ClassWrite || c == ClassBackground
}

// Overrides are the values that a tree node sets; nil fields are inherited.
type Overrides struct {
	// Service is the service that runs the calls; by default the nearest enclosing
	// service branch.
	Service *string `json:"Service,omitempty" msgpack:"Service,omitempty"`
	// Class is Interactive, Write or Background, most urgent first.
	Class *Class `json:"Class,omitempty" msgpack:"Class,omitempty"`
	// Idempotent allows a call to run more than once; other calls run at most once.
	Idempotent *bool `json:"Idempotent,omitempty" msgpack:"Idempotent,omitempty"`
	// Deadline is the maximum time from the arrival of a call to its answer.
	Deadline *Duration `json:"Deadline,omitempty" msgpack:"Deadline,omitempty"`
	// Attempts is the maximum number of times that a call is sent to a gate node.
	Attempts *int `json:"Attempts,omitempty" msgpack:"Attempts,omitempty"`
	// RetryBudget is the maximum ratio of retries to calls.
	RetryBudget *float64 `json:"RetryBudget,omitempty" msgpack:"RetryBudget,omitempty"`
	// BodyLimit is the maximum size of a request body in bytes.
	BodyLimit *int `json:"BodyLimit,omitempty" msgpack:"BodyLimit,omitempty"`
	// Queue is the maximum number of calls that wait at one gate node.
	Queue *int `json:"Queue,omitempty" msgpack:"Queue,omitempty"`
}

// Values are the effective values of a route after inheritance.
type Values struct {
	Service     string
	Class       Class
	Idempotent  bool
	Deadline    Duration
	Attempts    int
	RetryBudget float64
	BodyLimit   int
	Queue       int
}

// DefaultValues returns the values that the root of every tree inherits.
func DefaultValues() Values {
	return Values{
		Class:       ClassInteractive,
		Deadline:    Duration(2 * time.Second),
		Attempts:    2,
		RetryBudget: 0.1,
		BodyLimit:   1 << 20,
		Queue:       64,
	}
}

// With returns the values with the overrides applied.
func (v Values) With(o Overrides) Values {
	set(&v.Service, o.Service)
	set(&v.Class, o.Class)
	set(&v.Idempotent, o.Idempotent)
	set(&v.Deadline, o.Deadline)
	set(&v.Attempts, o.Attempts)
	set(&v.RetryBudget, o.RetryBudget)
	set(&v.BodyLimit, o.BodyLimit)
	set(&v.Queue, o.Queue)

	return v
}

func set[T any](dst *T, src *T) {
	if src != nil {
		*dst = *src
	}
}
