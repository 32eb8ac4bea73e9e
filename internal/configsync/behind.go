package configsync

import (
	"context"
	"fmt"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/freshness"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/timeline"
)

// gapInterval is the pause between looks at a version that is missing.
const gapInterval = 50 * time.Millisecond

// Freshness returns what this node knows of newer versions than the active one.
func (s *Syncer) Freshness() *freshness.Tracker { return s.fresh }

// closeGaps waits for versions that this node lacks.
func (s *Syncer) closeGaps(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.fresh.Missing():
		}

		s.closeGap(ctx)
	}
}

// closeGap returns once this node lacks no version.
func (s *Syncer) closeGap(ctx context.Context) {
	var since time.Time // of a gap that was recorded

	for ctx.Err() == nil {
		gap, lacks := s.fresh.Gap()
		if !lacks {
			break
		}

		if wait := time.Until(gap.Due); wait > 0 {
			idle.For(ctx, wait)

			continue
		}

		if since.IsZero() {
			since = gap.Since
			s.options.Recorder.Record(event.VersionBehind, timeline.Entry{
				Version: gap.Version, Peer: gap.Addresses[0], Detail: s.describeGap(gap),
			})
		}

		idle.For(ctx, gapInterval)
	}

	if !since.IsZero() && ctx.Err() == nil {
		s.options.Recorder.Record(event.VersionCaughtUp, timeline.Entry{
			Version: s.options.Holder.Number(), Detail: fmt.Sprintf("after %d ms", time.Since(since).Milliseconds()),
		})
	}
}

func (s *Syncer) describeGap(gap freshness.Gap) string {
	confirmed := "never"
	if at := s.fresh.ConfirmedAt(); !at.IsZero() {
		confirmed = fmt.Sprintf("%d ms ago", time.Since(at).Milliseconds())
	}

	return fmt.Sprintf("active %d, missing for %d ms, known from %d nodes, store known %s, source %s",
		s.options.Holder.Number(), time.Since(gap.Since).Milliseconds(), len(gap.Addresses), confirmed, s.source())
}

// useSource records a change of the source that this node gets versions from. Single failures
// change nothing: the source is the one that vouched last.
func (s *Syncer) useSource(next, reason string) {
	s.mu.Lock()
	before := s.sourceName
	s.sourceName = next
	s.mu.Unlock()

	if before != next && before != "" {
		s.options.Recorder.Record(event.VersionSource, timeline.Entry{
			Version: s.options.Holder.Number(), Detail: fmt.Sprintf("from %s to %s: %s", before, next, reason),
		})
	}
}

func (s *Syncer) source() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.sourceName == "" {
		return sourceNone
	}

	return s.sourceName
}

// Sources of versions, by name.
const (
	sourceNone     = "none"
	sourceStore    = "the store"
	sourceWatchers = "watchers of its failure domain"
	sourceOthers   = "watchers of any failure domain"
)
