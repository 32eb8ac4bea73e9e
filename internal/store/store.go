// Package store says what a sidecar needs of the platform's key-value store beside
// what every node needs (see internal/platform): lists, and watches of a prefix
// that return when something changed.
//
//	changes, err := s.Watch(ctx, "fleet/", after, 20*time.Second)
//	after = changes.Revision
package store

import (
	"net/http"

	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrCompacted means that the store no longer has the changes that were asked for;
// the keys have to be read again.
var ErrCompacted = errs.New("store.compacted", http.StatusGone, "the store no longer has these changes")

// ErrSuperseded means that the store came back from an older copy while the call was under
// way: its answer is from the epoch before, or nobody knows of which. Its cause is
// platform.ErrUnknown.
var ErrSuperseded = errs.New("store.superseded", http.StatusGatewayTimeout, "the store came back from an older copy meanwhile")

// Change is one change of a key.
type Change struct {
	platform.Entry

	Deleted bool
}

// Changes are what happened to the keys of a prefix.
type Changes struct {
	Entries []Change
	// Revision is where to go on from.
	Revision int64
}
