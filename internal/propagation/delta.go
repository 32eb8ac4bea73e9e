package propagation

import (
	"maps"
	"net/http"
	"slices"

	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Errors of the package.
var (
	// ErrNoVersion is returned by a node that has no newer version.
	ErrNoVersion = errs.New("spread.none", http.StatusServiceUnavailable, "no newer version held")
	// ErrDelta is returned for a delta that can't be applied.
	ErrDelta = errs.New("spread.delta", http.StatusBadGateway, "delta can't be used")
)

// maxPieceBytes limits one piece of a delta, so that a large tree does not delay the
// heartbeats on the same connection.
const maxPieceBytes = 512 << 10

// Delta holds the branches that changed from one version to a newer one. From 0 means
// the whole tree. A large delta is sent in pieces: Rest is the path after which the
// next piece continues, and is empty in the last piece.
type Delta struct {
	From    uint64           `msgpack:"From,omitempty"`
	Version settings.Version `msgpack:"Version"`
	Changed settings.Records `msgpack:"Changed,omitempty"`
	Removed []string         `msgpack:"Removed,omitempty"`
	Packed  []byte           `msgpack:"Packed,omitempty"`
	Rest    string           `msgpack:"Rest,omitempty"`
	// RetryMs is set alone when the node serves too many pulls already: the caller
	// retries after this delay.
	RetryMs int64 `msgpack:"RetryMs,omitempty"`
}

// Check reports whether a decoded delta can be used, and decompresses it.
func (d *Delta) Check() error {
	if d.RetryMs > 0 {
		return nil
	}

	if d.Version.Number <= d.From {
		return ErrDelta.With("from version %d to %d", d.From, d.Version.Number)
	}

	return d.unpack()
}

func (d *Delta) size() int {
	n := len(d.Packed)
	for path, data := range d.Changed {
		n += len(path) + len(data)
	}

	return n
}

// changeset lists the branches that changed between two consecutive versions of this
// node.
type changeset struct {
	from  uint64
	paths []string
}

// maxChangesets limits how many versions back a delta can start; a node that is
// further behind pulls the whole tree. At some 5,600 changes a day this covers about
// an hour, the longest usual loss of connection between regions.
const maxChangesets = 256

// pathsSince returns the sorted paths of the branches that changed since a version. It
// returns false if this node never had that version, so that the whole tree is needed.
func pathsSince(changesets []changeset, have uint64) ([]string, bool) {
	i := slices.IndexFunc(changesets, func(s changeset) bool { return s.from == have })
	if i < 0 || have == 0 {
		return nil, false
	}

	paths := map[string]bool{}

	for _, s := range changesets[i:] {
		for _, path := range s.paths {
			paths[path] = true
		}
	}

	return slices.Sorted(maps.Keys(paths)), true
}

// changedPaths returns the paths at which two manifests differ.
func changedPaths(from, to map[string]settings.Digest) []string {
	var paths []string

	for path, d := range to {
		if from[path] != d {
			paths = append(paths, path)
		}
	}

	for path := range from {
		if _, ok := to[path]; !ok {
			paths = append(paths, path)
		}
	}

	return paths
}

// newPiece returns one piece of the delta to the snapshot, starting behind the path
// after.
func newPiece(s *settings.Snapshot, from uint64, paths []string, after string) Delta {
	v := s.Version()
	v.Branches = nil
	d := Delta{From: from, Version: v, Changed: settings.Records{}}
	size := 0

	for i, path := range paths {
		if after != "" && path <= after {
			continue
		}

		data, ok := s.Records()[path]
		if !ok {
			d.Removed = append(d.Removed, path)

			continue
		}

		d.Changed[path] = data
		size += len(data)

		if size >= maxPieceBytes && i+1 < len(paths) {
			d.Rest = path

			break
		}
	}

	return d
}

// Apply returns the snapshot that results from a complete delta, validated as a whole.
func Apply(base *settings.Snapshot, d Delta) (*settings.Snapshot, error) {
	if d.From == 0 {
		return settings.NewSnapshot(d.Version, d.Changed)
	}

	if base == nil || base.Version().Number != d.From {
		return nil, ErrDelta.With("from version %d, which is not held", d.From)
	}

	return base.Apply(d.Version, d.Changed, d.Removed)
}
