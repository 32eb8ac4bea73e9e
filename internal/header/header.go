// Package header names the HTTP headers that mean something to the nodes, and
// tells which headers a node passes on.
//
// The names differ between platforms; what they hold does not.
//
//	names := header.Default()
//	fields := names.Forwarded(request.Header)
package header

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pollencart/pollencart/internal/call"
)

// Names are the headers by what they hold.
type Names struct {
	// Call identifies one attempt of a caller; a backend server echoes it, which
	// tells its answer from one that belongs to another request.
	Call string
	// Deadline holds how many milliseconds the sender still waits.
	Deadline string
	// Caller holds the service of the host where the call began.
	Caller string
	// Expected holds the instance that a call is meant for.
	Expected string
	// Instance holds the instance that answers.
	Instance string
	// Load holds running calls, waiting calls and slots of a backend server.
	Load string
	// NotRun is set on answers to calls that the backend server did not run.
	NotRun string
	// Signature proves that an answer is the backend server's.
	Signature string
}

// Default returns the product's own names.
func Default() Names {
	return Names{
		Call:      "Pollencart-Call",
		Deadline:  "Pollencart-Deadline-Ms",
		Caller:    "Pollencart-Caller",
		Expected:  "Pollencart-Expected-Instance",
		Instance:  "Pollencart-Instance",
		Load:      "Pollencart-Load",
		NotRun:    "Pollencart-Not-Run",
		Signature: "Pollencart-Signature",
	}
}

// Forwarded returns the headers of a request that go on to the backend server.
// Left out are those that concern one connection, and those that nodes or backend
// servers set: a caller could forge its service, or choose an instance.
func (n Names) Forwarded(h http.Header) []call.Field {
	return n.pass(h, n.Call, n.Deadline, n.Caller, n.Expected, n.Instance, n.Load, n.NotRun, n.Signature,
		"Host", "Content-Length", "Expect")
}

// Returned returns the headers of an answer that go back to the caller. The load
// is for the nodes; the length is written anew.
func (n Names) Returned(h http.Header) []call.Field {
	return n.pass(h, n.Load, n.NotRun, n.Instance, "Content-Length")
}

// Slots returns how many calls the backend server that answered runs at the same time,
// or 0 if it does not say.
func (n Names) Slots(h http.Header) int {
	parts := strings.Split(h.Get(n.Load), ",")

	slots, err := strconv.Atoi(parts[len(parts)-1])
	if err != nil || slots < 0 {
		return 0 // not told, or not a load
	}

	return slots
}

func (n Names) pass(h http.Header, without ...string) []call.Field {
	out := make([]call.Field, 0, len(h))
	named := h.Values("Connection")

	for name, values := range h {
		if oneConnection(name) || listed(without, name) || connectionNames(named, name) {
			continue
		}

		for _, v := range values {
			out = append(out, call.Field{Name: name, Value: v})
		}
	}

	return out
}

func listed(names []string, name string) bool {
	for _, n := range names {
		if strings.EqualFold(n, name) {
			return true
		}
	}

	return false
}

func connectionNames(values []string, name string) bool {
	for _, v := range values {
		for token := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}

	return false
}

func oneConnection(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade":
		return true
	}

	return false
}
