package ledger

import (
	"math"
	"net/http"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrMessage is returned for an ask or an answer that is not valid.
var ErrMessage = errs.New("quota.message", http.StatusBadRequest, "message not accepted")

// maxItems bounds the workspaces in one ask, maxHomes the nodes in a set of homes.
const (
	maxItems = 64
	maxHomes = 16
)

// Limit is the limit of a workspace by a version of the configuration.
type Limit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Rate    float64 `msgpack:"Rate"`
	Burst   float64 `msgpack:"Burst"`
	Version uint64  `msgpack:"Version"`
}

// Item asks for calls of one workspace.
type Item struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Workspace string `msgpack:"Workspace"`
	Limit     Limit  `msgpack:"Limit"`
	// Need is the number of calls that wait for the answer, Spare that of calls expected soon. Refused
	// is the number of calls refused at the entry since its last ask.
	Need    int `msgpack:"Need"`
	Spare   int `msgpack:"Spare"`
	Refused int `msgpack:"Refused"`
}

// Ask renews the delegation of a node to a home, and asks for calls.
type Ask struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Node string `msgpack:"Node"`
	// Boot and Stamp are those of the home's last answer that the node received, or 0.
	Boot  uint64 `msgpack:"Boot"`
	Stamp int64  `msgpack:"Stamp"`
	// Known is the number of nodes that the node knows of, including failed ones.
	Known int `msgpack:"Known"`
	// Young reports that the node's process has just started and has not used its share alone.
	Young bool `msgpack:"Young"`
	// Set identifies the homes that the node uses; Homes lists them if this home has not confirmed them.
	Set   uint64   `msgpack:"Set"`
	Homes []string `msgpack:"Homes"`
	Items []Item   `msgpack:"Items"`
}

// Check reports whether a decoded ask is valid.
func (a *Ask) Check() error {
	if a.Node == "" || a.Known < 0 || len(a.Items) > maxItems || len(a.Homes) > maxHomes {
		return ErrMessage.With("ask of %q with %d items", a.Node, len(a.Items))
	}

	for _, i := range a.Items {
		if i.Workspace == "" || !i.Limit.valid() || i.Need < 0 || i.Spare < 0 || i.Refused < 0 {
			return ErrMessage.With("ask of %q for %q", a.Node, i.Workspace)
		}
	}

	return nil
}

func (l Limit) valid() bool {
	return l.Rate > 0 && l.Burst >= 0 && !math.IsInf(l.Rate, 0) && !math.IsInf(l.Burst, 0)
}

// Grant answers an [Item].
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Calls is the number of calls that may run.
	Calls int `msgpack:"Calls"`
	// Short reports that calls which wait were not granted. There is room for them between WaitMs and
	// WaitMs+SpreadMs from now.
	Short    bool  `msgpack:"Short"`
	WaitMs   int64 `msgpack:"WaitMs"`
	SpreadMs int64 `msgpack:"SpreadMs"`
	// Counted is the number of calls granted in the last window, Version the version of the limit.
	Counted int    `msgpack:"Counted"`
	Version uint64 `msgpack:"Version"`
	// Unready reports that no share of the limit is delegated to this home yet.
	Unready bool `msgpack:"Unready"`
}

// Answer answers an [Ask].
type Answer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Boot  uint64 `msgpack:"Boot"`
	Stamp int64  `msgpack:"Stamp"`
	// Set is the set of homes of the ask, or 0 if the home does not know its nodes.
	Set uint64 `msgpack:"Set"`
	// Ready is false while the home has just started and waits for delegations.
	Ready bool `msgpack:"Ready"`
	// Leaving reports that the process of the home is being stopped.
	Leaving bool    `msgpack:"Leaving"`
	Grants  []Grant `msgpack:"Grants"`
}

// Check reports whether a decoded answer is valid.
func (a *Answer) Check() error {
	for _, g := range a.Grants {
		if g.Calls < 0 || g.WaitMs < 0 || g.SpreadMs < 0 {
			return ErrMessage.With("grant of %d calls", g.Calls)
		}
	}

	return nil
}
