package propagation

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

// Holder stores the active version of this node. The version number never decreases.
type Holder struct {
	recorder *timeline.Recorder
	current  atomic.Pointer[Active]

	mu         sync.Mutex
	changed    chan struct{}
	history    acceptance.History
	changesets []changeset
}

// Active is a snapshot with the time at which it became active on this node and
// its source.
type Active struct {
	Snapshot *settings.Snapshot
	Since    time.Time
	Source   string
}

// NewHolder returns an empty holder.
func NewHolder(recorder *timeline.Recorder) *Holder {
	return &Holder{recorder: recorder, changed: make(chan struct{})}
}

// Load returns the active snapshot, or nil.
func (h *Holder) Load() *settings.Snapshot {
	if active := h.current.Load(); active != nil {
		return active.Snapshot
	}

	return nil
}

// Active returns the active snapshot with its activation time and source.
func (h *Holder) Active() Active {
	if active := h.current.Load(); active != nil {
		return *active
	}

	return Active{}
}

// Number returns the active version number, or 0.
func (h *Holder) Number() uint64 {
	if s := h.Load(); s != nil {
		return s.Version().Number
	}

	return 0
}

// Known returns the active version and the earlier versions of this node.
func (h *Holder) Known() acceptance.Known {
	h.mu.Lock()
	defer h.mu.Unlock()

	return acceptance.Known{Snapshot: h.Load(), Versions: h.history}
}

// Offer activates the snapshot if it is newer than the active one, and reports whether
// it did.
func (h *Holder) Offer(s *settings.Snapshot) bool { return h.OfferFrom(s, "") }

// OfferFrom is Offer with the source that is shown in the status and the time line.
//
// Updates can arrive out of order, and a source can be restored from an older copy. A
// node that activated the latest arrival would answer by rules that were withdrawn.
func (h *Holder) OfferFrom(s *settings.Snapshot, source string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	v, active := s.Version(), h.Load()

	if active != nil && v.Number <= active.Version().Number {
		if v.Number < active.Version().Number {
			h.recorder.Record(event.VersionOlder, timeline.Entry{Version: v.Number, Peer: source})
		}

		return false
	}

	h.checkInvariants(s)
	h.recordHistory(active, v)
	h.current.Store(&Active{Snapshot: s, Since: time.Now(), Source: source})
	h.recorder.Record(event.VersionInForce, timeline.Entry{Version: v.Number, Peer: source})
	close(h.changed)
	h.changed = make(chan struct{})

	return true
}

// recordHistory stores what deltas to other nodes and the repair of the platform need.
func (h *Holder) recordHistory(active *settings.Snapshot, v settings.Version) {
	h.history = h.history.With(v)

	if active == nil {
		return
	}

	from := active.Version()
	h.changesets = append(h.changesets, changeset{from: from.Number, paths: changedPaths(from.Branches, v.Branches)})

	if len(h.changesets) > maxChangesets {
		h.changesets = append([]changeset(nil), h.changesets[len(h.changesets)-maxChangesets:]...)
	}
}

// Delta returns one piece of the delta from a version to the active one, starting
// behind the path after. It is a delta of the whole tree if this node never had that
// version.
func (h *Holder) Delta(have uint64, after string) (Delta, error) {
	h.mu.Lock()
	defer h.mu.Unlock()

	s := h.Load()
	if s == nil || s.Version().Number <= have {
		return Delta{}, ErrNoVersion
	}

	if paths, ok := pathsSince(h.changesets, have); ok {
		return newPiece(s, have, paths, after), nil
	}

	return newPiece(s, 0, s.Paths(), after), nil
}

// Previous returns the version that was active before, or 0.
func (h *Holder) Previous() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()

	if len(h.changesets) == 0 {
		return 0
	}

	return h.changesets[len(h.changesets)-1].from
}

// checkInvariants checks the guarantees of Offer and NewSnapshot for a snapshot that
// becomes active.
func (h *Holder) checkInvariants(s *settings.Snapshot) {
	v := s.Version()
	entry := timeline.Entry{Version: v.Number}

	invariant.Check(h.recorder, invariant.VersionsGoUp, v.Number > h.Number(), entry)
	invariant.Check(h.recorder, invariant.VersionsAreWhole, settings.TreeDigest(v.Branches) == v.Digest, entry)
	invariant.Check(h.recorder, invariant.ServicesAreKnown, s.UnknownService() == "", entry)
}

// Changed returns a channel that is closed when the next version becomes active.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.changed
}
