package forward

import (
	"math"
	"time"
)

// Notice is what a backend server said of itself in its answers. It travels with replies to the
// nodes that passed such answers on, and back with their next requests: the process on the backend
// server's host may have restarted and know nothing of it.
type Notice struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Instance and Started are the start of the backend server that the notice is about. Started is
	// in Unix milliseconds, or 0 if it is unknown.
	Instance string `msgpack:"Instance"`
	Started  int64  `msgpack:"Started"`
	// Limit is the calls a second that it takes from all nodes together, if Limited is set.
	Limited bool    `msgpack:"Limited"`
	Limit   float64 `msgpack:"Limit"`
	Leaving bool    `msgpack:"Leaving"`
	// AgeMs is the time since the newest answer that said so.
	AgeMs int64 `msgpack:"AgeMs"`
}

// Check returns an error if a decoded notice is invalid. No notice is valid.
func (n *Notice) Check() error {
	switch {
	case n == nil:
	case n.Instance == "":
		return ErrMessage.With("a notice without an instance")
	case math.IsNaN(n.Limit), math.IsInf(n.Limit, 0), n.Limit < 0:
		return ErrMessage.With("a limit of %f", n.Limit)
	case n.AgeMs < 0:
		return ErrMessage.With("an age of %d ms", n.AgeMs)
	}

	return nil
}

// IsAbout reports whether the notice is about a start of a backend server. An unknown start time
// matches any.
func (n *Notice) IsAbout(instance string, started int64) bool {
	return n.Instance == instance && (n.Started == 0 || started == 0 || n.Started == started)
}

// Age returns the time since the newest answer that said so.
func (n *Notice) Age() time.Duration { return time.Duration(n.AgeMs) * time.Millisecond }
