package configsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/timeline"
)

const (
	// checkInterval is the least time between two checks of the store by all watchers together. A
	// check proves to all watchers which version was the newest, so that one check is enough.
	checkInterval = 400 * time.Millisecond
	// checkSpread is the additional time for each watcher over which the watchers draw their next
	// check. The first one has told the others before the second one is due.
	checkSpread = 25 * time.Millisecond
	// maxStandIns is the number of nodes of a failure domain that tell each other of their checks.
	maxStandIns = 4 * Watchers
)

// storeState is what a watcher read from the store last.
type storeState struct {
	revision int64
	version  uint64
	changed  <-chan struct{} // closed when the epoch of the revision ends
}

// checkLoop compares the store's revision with the one seen last. It finds changes that the watch has
// missed, and proves that there are none. A watcher whose active version was proved meanwhile by
// another one puts its own check off.
func (s *Syncer) checkLoop(ctx context.Context) {
	var (
		last                storeState
		interval            time.Duration
		drawnFor, attempted = time.Time{}, time.Now()
	)

	for ctx.Err() == nil {
		if !s.storeReachable.Load() || !s.needsStore() {
			idle.For(ctx, checkInterval)

			continue
		}

		latest := attempted
		if at := s.fresh.ConfirmedAt(); at.After(latest) {
			latest = at
		}

		if latest != drawnFor {
			drawnFor, interval = latest, checkInterval+rand.N(checkSpread*time.Duration(len(s.allWatchers())+1))
		}

		if wait := time.Until(latest.Add(interval)); wait > 0 {
			idle.For(ctx, wait)

			continue
		}

		attempted = time.Now()
		s.check(ctx, &last)
	}
}

func (s *Syncer) check(ctx context.Context, last *storeState) {
	began := time.Now()
	changed := s.options.Epoch.Changed()

	at, err := s.revision(ctx)
	if err != nil {
		// The connection of the watch may be dead without an error.
		s.reportUnreachable(err)
		signal(s.restartWatch)

		return
	}

	before, watched := s.options.Holder.Number(), s.watchOpen.Load()

	if at != last.revision || last.changed == nil || idle.Closed(last.changed) {
		version, readAt, err := s.readMissed(ctx)
		if err != nil || readAt < at {
			return // the next check retries
		}

		*last = storeState{at, version, changed}
	}

	s.fresh.Confirm(last.version, began)

	// A watch that is still open has missed the version, and so may those of other watchers.
	message := versionMessage{Version: s.options.Holder.Number()}
	if message.Version == before || !watched || !s.watchOpen.Load() {
		message.Claim = s.claim()
	}

	for _, r := range s.checkers() {
		go s.sendHint(ctx, r.PeerAddress, message)
	}
}

// checkers returns the other nodes that check the store: the watchers of all failure domains, and
// those that stand in for the watchers of this one while this node does.
func (s *Syncer) checkers() []membership.Record {
	self := s.options.Members.Self()
	out := s.allWatchers()

	if !s.isWatcher() {
		out = append(out, s.standIns(self.FailureDomain)...)
	}

	return membership.Without(out, self.ID)
}

// standIns returns the nodes of a failure domain that are the first to stand in for its watchers.
func (s *Syncer) standIns(domain string) []membership.Record {
	first := s.options.Members.FirstOf(domain, maxStandIns)

	return first[min(len(first), Watchers):]
}

func (s *Syncer) revision(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()

	return s.options.Store.Revision(ctx)
}

// readMissed reads the configuration and activates it if it is newer. It returns the version that
// the store has, or the active one if that of the store is invalid, and the store's revision.
func (s *Syncer) readMissed(ctx context.Context) (uint64, int64, error) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()

	entry, at, err := s.options.Store.Get(readCtx, s.options.Key)

	switch {
	case errors.Is(err, platform.ErrNotFound):
		return 0, at, nil
	case err != nil:
		return 0, 0, err
	}

	return s.apply(ctx, fromStore, document{data: entry.Value}), at, nil
}

// maxRefused limits the remembered invalid documents.
const maxRefused = 256

// reportRefused records an invalid document once, however often it is read.
func (s *Syncer) reportRefused(from source, d document, err error) {
	name := string(from) + strconv.FormatUint(xxhash.Sum64(d.data), 16)

	s.mu.Lock()
	_, known := s.refused.Get(name)
	s.refused.At(name)
	s.mu.Unlock()

	if !known {
		s.options.Recorder.Record(event.VersionRefused, timeline.Entry{Version: d.version, Peer: d.from, Detail: string(from) + ": " + err.Error()})
	}
}
