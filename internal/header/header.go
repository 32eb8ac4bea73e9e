// Package header defines the names of the HTTP headers that nodes interpret, and filters
// the headers that a node forwards.
//
// The names differ between platforms; the meanings are the same.
//
//	names := header.Default()
//	fields := names.Forwarded(request.Header)
package header

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/pollencart/pollencart/internal/call"
)

// Names holds the header names by meaning.
type Names struct {
	// Call identifies one attempt of a caller. The backend server echoes it, which
	// distinguishes its answer from one to another request.
	Call string
	// Deadline holds the remaining time until the sender's deadline, in milliseconds.
	Deadline string
	// Caller holds the service of the host where the call originates.
	Caller string
	// Expected holds the instance that the call is sent to.
	Expected string
	// Instance holds the instance that sends the answer.
	Instance string
	// Load holds the numbers of running calls, waiting calls and slots of a backend server.
	Load string
	// Limit holds the calls a second that a backend server in need takes from all nodes together.
	Limit string
	// Leaving is set to 1 on the answers of a backend server that is leaving.
	Leaving string
	// NotRun is set on answers to calls that the backend server did not run.
	NotRun string
	// Key holds the caller's key. It is a secret and stays at the node that the caller reached.
	Key string
	// Workspace holds the name of the workspace that a call runs for. Only nodes set it.
	Workspace string
	// Signature proves that an answer comes from the backend server.
	Signature string
}

// Default returns the default names.
func Default() Names {
	return Names{
		Call:      "Pollencart-Call",
		Deadline:  "Pollencart-Deadline-Ms",
		Caller:    "Pollencart-Caller",
		Expected:  "Pollencart-Expected-Instance",
		Instance:  "Pollencart-Instance",
		Load:      "Pollencart-Load",
		Limit:     "Pollencart-Limit",
		Leaving:   "Pollencart-Leaving",
		NotRun:    "Pollencart-Not-Run",
		Signature: "Pollencart-Signature",
		Key:       "Pollencart-Caller-Key",
		Workspace: "Pollencart-Workspace",
	}
}

// Forwarded returns the headers of a request that are sent to the backend server. It omits
// hop-by-hop headers and those that nodes or backend servers set, since a caller could use
// the latter to forge its service or to choose an instance.
func (n Names) Forwarded(h http.Header) []call.Field {
	return n.filter(h, n.Call, n.Deadline, n.Caller, n.Expected, n.Instance, n.Load, n.Limit, n.Leaving, n.NotRun, n.Signature,
		"Host", "Content-Length", "Expect")
}

// ForwardedFor returns the headers of a request while callers need keys. It also omits the key, and the
// workspace that the caller named: the backend server learns the given one, or none if it is empty.
func (n Names) ForwardedFor(h http.Header, workspace string) []call.Field {
	out := slices.DeleteFunc(n.Forwarded(h), func(f call.Field) bool {
		return strings.EqualFold(f.Name, n.Key) || strings.EqualFold(f.Name, n.Workspace)
	})
	if workspace != "" {
		out = append(out, call.Field{Name: n.Workspace, Value: workspace})
	}

	return out
}

// Returned returns the headers of an answer that are sent to the caller. It omits
// hop-by-hop headers, those that are meant for nodes, and the length, which is set anew.
func (n Names) Returned(h http.Header) []call.Field {
	return n.filter(h, n.Load, n.NotRun, n.Instance, "Content-Length")
}

// Slots returns the number of calls that the backend server runs concurrently according to
// the load header, or 0 if that header is missing or invalid.
func (n Names) Slots(h http.Header) int {
	parts := strings.Split(h.Get(n.Load), ",")

	slots, err := strconv.Atoi(parts[len(parts)-1])
	if err != nil || slots < 0 {
		return 0
	}

	return slots
}

func (n Names) filter(h http.Header, excluded ...string) []call.Field {
	out := make([]call.Field, 0, len(h))
	connectionValues := h.Values("Connection")

	for name, values := range h {
		if isHopByHop(name) || containsFold(excluded, name) || listedInConnection(connectionValues, name) {
			continue
		}

		for _, v := range values {
			out = append(out, call.Field{Name: name, Value: v})
		}
	}

	return out
}

func containsFold(names []string, name string) bool {
	for _, n := range names {
		if strings.EqualFold(n, name) {
			return true
		}
	}

	return false
}

func listedInConnection(values []string, name string) bool {
	for _, v := range values {
		for token := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}

	return false
}

func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade":
		return true
	}

	return false
}
