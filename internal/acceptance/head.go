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
	// HeadKey is the one record that says which version is accepted.
	HeadKey = "/pollencart/head"

	historyKey     = "/pollencart/history"
	branchPrefix   = "/pollencart/branch/"
	manifestPrefix = "/pollencart/manifest/"
	// idPrefix holds the outcome of each acceptance ID. It is written in the
	// transaction of the head, so that an ID can be settled long after its
	// version has left the history.
	idPrefix = "/pollencart/acceptance/"
)

// idKept is how long an ID can be settled after its version has left the
// history.
const idKept = 7 * 24 * time.Hour

// historyLength bounds the history record, and with it how old the base of an
// edit may be.
const historyLength = 64

// maxChanged bounds the head record, which each watcher receives at each
// change; a larger change is read from the manifest.
const maxChanged = 32

// Head is the accepted version, and what it changed against the version before,
// so that who holds Base reads only the branches that changed. Base 0 means that
// the manifest has to be read.
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

// History is the newest accepted versions, newest first.
type History []settings.Version

// Number returns the version with the number.
func (h History) Number(number uint64) (settings.Version, bool) {
	i := slices.IndexFunc(h, func(v settings.Version) bool { return v.Number == number })
	if i < 0 {
		return settings.Version{}, false
	}

	return h[i], true
}

// ID returns the version that an acceptance ID led to.
func (h History) ID(id string) (settings.Version, bool) {
	i := slices.IndexFunc(h, func(v settings.Version) bool { return v.AcceptanceID == id })
	if i < 0 {
		return settings.Version{}, false
	}

	return h[i], true
}

// With returns the history with more versions.
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
