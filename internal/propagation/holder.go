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

// Holder holds the one version that the node answers with. It only goes up.
type Holder struct {
	recorder *timeline.Recorder
	current  atomic.Pointer[Held]

	mu      sync.Mutex
	changed chan struct{}
	past    acceptance.History
	steps   []step
}

// Held is a snapshot, when it came into force here and where it came from.
type Held struct {
	Snapshot *settings.Snapshot
	Since    time.Time
	Source   string
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
func (h *Holder) Offer(s *settings.Snapshot) bool { return h.OfferFrom(s, "") }

// OfferFrom is Offer with the source that status and the time line name.
//
// Updates cross in flight and a source can come back from an older copy; a node
// that took what came last would answer by rules that were withdrawn.
func (h *Holder) OfferFrom(s *settings.Snapshot, source string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	v, held := s.Version(), h.Load()

	if held != nil && v.Number <= held.Version().Number {
		if v.Number < held.Version().Number {
			h.recorder.Record(event.VersionOlder, timeline.Entry{Version: v.Number, Peer: source})
		}

		return false
	}

	h.check(s)
	h.remember(held, v)
	h.current.Store(&Held{Snapshot: s, Since: time.Now(), Source: source})
	h.recorder.Record(event.VersionInForce, timeline.Entry{Version: v.Number, Peer: source})
	close(h.changed)
	h.changed = make(chan struct{})

	return true
}

// remember keeps what deltas to other nodes and the repair of the platform need.
func (h *Holder) remember(held *settings.Snapshot, v settings.Version) {
	h.past = h.past.With(v)

	if held == nil {
		return
	}

	from := held.Version()
	h.steps = append(h.steps, step{from: from.Number, paths: between(from.Branches, v.Branches)})

	if len(h.steps) > maxSteps {
		h.steps = append([]step(nil), h.steps[len(h.steps)-maxSteps:]...)
	}
}

// Delta returns what leads from a version to the one held: a piece of it, after
// the path. It is the whole tree if that version was not held here.
func (h *Holder) Delta(have uint64, after string) (Delta, error) {
	h.mu.Lock()
	defer h.mu.Unlock()

	s := h.Load()
	if s == nil || s.Version().Number <= have {
		return Delta{}, ErrNoVersion
	}

	if paths, ok := pathsSince(h.steps, have); ok {
		return cut(s, have, paths, after), nil
	}

	return cut(s, 0, s.Paths(), after), nil
}

// Previous returns the version that was held before, or 0.
func (h *Holder) Previous() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()

	if len(h.steps) == 0 {
		return 0
	}

	return h.steps[len(h.steps)-1].from
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
