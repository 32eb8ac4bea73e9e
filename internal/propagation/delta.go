package propagation

import (
	"maps"
	"net/http"
	"slices"

	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Errors of the spread.
var (
	// ErrNoVersion is returned by a node that holds nothing newer.
	ErrNoVersion = errs.New("spread.none", http.StatusServiceUnavailable, "no newer version held")
	// ErrDelta is returned for a delta that can't be used.
	ErrDelta = errs.New("spread.delta", http.StatusBadGateway, "delta can't be used")
)

// pieceBytes bounds one piece of a delta, so that a large tree does not hold up
// the heartbeats that share the connection.
const pieceBytes = 512 << 10

// Delta leads from one version to a newer one, branch by branch. From 0 means
// the whole tree. A large one travels in pieces: Rest is the path after which
// the next piece goes on, and is empty in the last one.
type Delta struct {
	From    uint64           `msgpack:"From,omitempty"`
	Version settings.Version `msgpack:"Version"`
	Changed settings.Records `msgpack:"Changed,omitempty"`
	Removed []string         `msgpack:"Removed,omitempty"`
	Packed  []byte           `msgpack:"Packed,omitempty"`
	Rest    string           `msgpack:"Rest,omitempty"`
	// RetryMs is set alone by a node that serves too many others already: come
	// back after so long.
	RetryMs int64 `msgpack:"RetryMs,omitempty"`
}

// Check reports whether a decoded delta can be used, and unpacks it.
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

// step is which branches changed from one held version to the next.
type step struct {
	from  uint64
	paths []string
}

// maxSteps bounds how far back a node can lead others; who is further behind
// needs the whole tree. A day has some 5,600 changes, so this is about an hour,
// the longest that regions usually lose each other.
const maxSteps = 256

// pathsSince returns the branches that changed since a version, in order. The
// whole tree is needed if that version was not held here.
func pathsSince(steps []step, have uint64) ([]string, bool) {
	i := slices.IndexFunc(steps, func(s step) bool { return s.from == have })
	if i < 0 || have == 0 {
		return nil, false
	}

	paths := map[string]bool{}

	for _, s := range steps[i:] {
		for _, path := range s.paths {
			paths[path] = true
		}
	}

	return slices.Sorted(maps.Keys(paths)), true
}

// between returns the paths at which two manifests differ.
func between(from, to map[string]settings.Digest) []string {
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

// cut returns one piece of the way to the snapshot.
func cut(s *settings.Snapshot, from uint64, paths []string, after string) Delta {
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

		if size >= pieceBytes && i+1 < len(paths) {
			d.Rest = path

			break
		}
	}

	return d
}

// Apply returns the snapshot that a delta without Rest leads to, checked as a
// whole.
func Apply(base *settings.Snapshot, d Delta) (*settings.Snapshot, error) {
	if d.From == 0 {
		return settings.NewSnapshot(d.Version, d.Changed)
	}

	if base == nil || base.Version().Number != d.From {
		return nil, ErrDelta.With("from version %d, which is not held", d.From)
	}

	return base.Apply(d.Version, d.Changed, d.Removed)
}
