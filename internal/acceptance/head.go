package acceptance

import (
	"cmp"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pollencart/pollencart/pkg/settings"
)

// Keys on the platform.
const (
	// HeadKey holds the head record, which identifies the accepted version.
	HeadKey = "/pollencart/head"

	historyKey     = "/pollencart/history"
	branchPrefix   = "/pollencart/branch/"
	manifestPrefix = "/pollencart/manifest/"
	// idPrefix precedes the keys of the outcome records, one for each acceptance
	// ID. They are written in the transaction that swaps the head, so that a retry
	// is resolved even after its version has left the history.
	idPrefix = "/pollencart/acceptance/"
)

// idRetention is the lifetime of an outcome record, by which a retry is resolved
// after its version has left the history.
const idRetention = 7 * 24 * time.Hour

// historyLength is the number of versions in the history record; the base of an
// edit must be one of them.
const historyLength = 64

// maxChanged is the number of changed paths that a head record lists. It bounds
// the record, which every watcher receives at each change; a watcher reads a
// larger change from the manifest.
const maxChanged = 32

// Head is the accepted version and its changes against the version Base, so that
// a node that stores Base reads only the changed branches. Base 0 means that the
// node has to read the manifest.
type Head struct {
	Version settings.Version           `msgpack:"Version"`
	Base    uint64                     `msgpack:"Base"`
	Changed map[string]settings.Digest `msgpack:"Changed"`
	Removed []string                   `msgpack:"Removed"`
}

// DecodeHead decodes a head record.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := msgpack.Unmarshal(data, &h); err != nil {
		return Head{}, settings.ErrRecord.Wrap(err)
	}

	return h, nil
}

// History lists the most recent accepted versions, newest first.
type History []settings.Version

// Number returns the version with the given number.
func (h History) Number(number uint64) (settings.Version, bool) {
	i := slices.IndexFunc(h, func(v settings.Version) bool { return v.Number == number })
	if i < 0 {
		return settings.Version{}, false
	}

	return h[i], true
}

// ID returns the version that was accepted under the acceptance ID.
func (h History) ID(id string) (settings.Version, bool) {
	i := slices.IndexFunc(h, func(v settings.Version) bool { return v.AcceptanceID == id })
	if i < 0 {
		return settings.Version{}, false
	}

	return h[i], true
}

// With returns the history with the versions added; the oldest ones beyond
// historyLength are dropped.
func (h History) With(versions ...settings.Version) History {
	next := slices.Clone(h)

	for _, v := range versions {
		v.Branches = nil
		if _, ok := next.ID(v.AcceptanceID); !ok {
			next = append(next, v)
		}
	}

	slices.SortStableFunc(next, func(a, b settings.Version) int { return cmp.Compare(b.Number, a.Number) })

	return next[:min(len(next), historyLength)]
}
