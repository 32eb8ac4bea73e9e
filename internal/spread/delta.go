package spread

import (
	"net/http"

	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// ErrNoVersion is returned by a node that holds no version yet.
var ErrNoVersion = errs.New("spread.none", http.StatusServiceUnavailable, "no version held yet")

// PullRequest asks a peer for what is newer than the given version.
type PullRequest struct {
	Have uint64 `msgpack:"Have"`
}

// Delta leads from one version to a newer one. From 0 means the whole tree.
type Delta struct {
	From    uint64           `msgpack:"From"`
	Version settings.Version `msgpack:"Version"`
	Changed settings.Records `msgpack:"Changed"`
	Removed []string         `msgpack:"Removed"`
}

// Check reports whether a decoded delta can be used.
func (d *Delta) Check() error {
	if d.Version.Number <= d.From {
		return errs.New("spread.delta", http.StatusBadGateway, "delta does not lead up")
	}

	return nil
}

// Whole returns the delta from nothing to the snapshot.
func Whole(s *settings.Snapshot) Delta {
	v := s.Version()
	v.Branches = nil

	return Delta{Version: v, Changed: s.Records()}
}

// Apply returns the snapshot that the delta leads to, checked as a whole.
func Apply(base *settings.Snapshot, d Delta) (*settings.Snapshot, error) {
	records := settings.Records{}

	if d.From != 0 && base != nil {
		for path, data := range base.Records() {
			records[path] = data
		}
	}

	for path, data := range d.Changed {
		records[path] = data
	}

	for _, path := range d.Removed {
		delete(records, path)
	}

	return settings.NewSnapshot(d.Version, records)
}
