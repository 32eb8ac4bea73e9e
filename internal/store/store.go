// Package store holds the types for the parts of the platform's key-value store that only
// sidecars use, in addition to internal/platform, which every node uses: lists of keys, and
// watches of a prefix that return when a key changes.
//
//	changes, err := s.Watch(ctx, "fleet/", after, 20*time.Second)
//	after = changes.Revision
package store

import (
	"net/http"

	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrCompacted is returned if the store no longer has the requested changes. The caller has to
// read the keys again.
var ErrCompacted = errs.New("store.compacted", http.StatusGone, "the store no longer has these changes")

// ErrSuperseded is returned if the store was restored from an older copy during the call. Its
// answer belongs to the previous epoch or to an unknown one. The cause is platform.ErrUnknown.
var ErrSuperseded = errs.New("store.superseded", http.StatusGatewayTimeout, "the store came back from an older copy meanwhile")

// Change is one change of a key.
type Change struct {
	platform.Entry

	Deleted bool
}

// Changes are the changes of the keys under a prefix.
type Changes struct {
	Entries []Change
	// Revision is the revision to continue the watch from.
	Revision int64
}
