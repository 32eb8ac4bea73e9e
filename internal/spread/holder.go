// Package spread brings accepted versions to every node and keeps the one that
// this node answers with.
//
//	h := spread.NewHolder(recorder)
//	h.Offer(snapshot)       // taken only if it is newer
//	route, ok := h.Load().Match("GET", "/folders/1")
package spread

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/invariant"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Holder holds the one version that the node answers with. It only goes up.
type Holder struct {
	recorder *timeline.Recorder
	current  atomic.Pointer[Held]

	mu      sync.Mutex
	changed chan struct{}
	past    acceptance.History
}

// Held is a snapshot and when it came into force here.
type Held struct {
	Snapshot *settings.Snapshot
	Since    time.Time
}

// NewHolder returns an empty holder.
func NewHolder(recorder *timeline.Recorder) *Holder {
	return &Holder{recorder: recorder, changed: make(chan struct{})}
}

// Load returns the snapshot in force, or nil.
func (h *Holder) Load() *settings.Snapshot {
	if held := h.current.Load(); held != nil {
		return held.Snapshot
	}

	return nil
}

// Held returns the snapshot in force and since when.
func (h *Holder) Held() Held {
	if held := h.current.Load(); held != nil {
		return *held
	}

	return Held{}
}

// Number returns the version in force, or 0.
func (h *Holder) Number() uint64 {
	if s := h.Load(); s != nil {
		return s.Version().Number
	}

	return 0
}

// Known returns the version held and the ones held before it.
func (h *Holder) Known() acceptance.Known {
	h.mu.Lock()
	defer h.mu.Unlock()

	return acceptance.Known{Snapshot: h.Load(), Versions: h.past}
}

// Offer takes the snapshot if it is newer than the one held, and reports so.
//
// Updates cross in flight and a source can come back from an older copy; a node
// that took what came last would answer by rules that were withdrawn.
func (h *Holder) Offer(s *settings.Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	number := s.Version().Number

	if number <= h.Number() {
		if number < h.Number() {
			h.recorder.Record(event.VersionOlder, timeline.Entry{Version: number})
		}

		return false
	}

	h.check(s)
	h.past = h.past.With(s.Version())
	h.current.Store(&Held{Snapshot: s, Since: time.Now()})
	h.recorder.Record(event.VersionInForce, timeline.Entry{Version: number})
	close(h.changed)
	h.changed = make(chan struct{})

	return true
}

// check asserts what Offer and NewSnapshot promise of what comes into force.
func (h *Holder) check(s *settings.Snapshot) {
	v := s.Version()
	entry := timeline.Entry{Version: v.Number}

	invariant.Check(h.recorder, invariant.VersionsGoUp, v.Number > h.Number(), entry)
	invariant.Check(h.recorder, invariant.VersionsAreWhole, settings.TreeDigest(v.Branches) == v.Digest, entry)
	invariant.Check(h.recorder, invariant.ServicesAreKnown, s.UnknownService() == "", entry)
}

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.changed
}
