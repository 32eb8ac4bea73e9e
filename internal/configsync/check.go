package configsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/platform"
)

// checkInterval is the mean time between two revision checks by all watchers together.
// Each watcher multiplies it by the number of watchers, so that the load on the store does
// not grow with their number. A missed change is found after 0.4 s on average, well within
// the 2 s in which a version has to become active.
const checkInterval = 800 * time.Millisecond

// pollRevision compares the store's revision with the one seen last, to find changes that
// the watch has missed.
func (s *Syncer) pollRevision(ctx context.Context) {
	var lastRevision int64 // valid until lastChanged is closed

	lastChanged := s.options.Epoch.Changed()

	for ctx.Err() == nil {
		interval := checkInterval * time.Duration(max(len(s.allWatchers()), 1))
		idle.For(ctx, interval/2+rand.N(interval))

		if !s.storeReachable.Load() || !s.needsStore() {
			continue
		}

		nextChanged := s.options.Epoch.Changed()

		at, err := s.revision(ctx)
		if err != nil {
			// The connection of the watch may be dead without an error.
			s.reportUnreachable(err)
			signal(s.restartWatch)

			continue
		}

		if at == lastRevision && !idle.Closed(lastChanged) {
			continue
		}

		before := s.options.Holder.Number()

		if s.readMissed(ctx) != nil {
			continue // the next check retries
		}

		lastRevision, lastChanged = at, nextChanged

		if s.options.Holder.Number() > before {
			s.hint(ctx)
		}
	}
}

func (s *Syncer) revision(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()

	return s.options.Store.Revision(ctx)
}

// readMissed reads the configuration and activates it if it is newer.
func (s *Syncer) readMissed(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()

	entry, _, err := s.options.Store.Get(ctx, s.options.Key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}

	if err == nil {
		s.apply(ctx, fromStore, document{data: entry.Value})
	}

	return err
}
