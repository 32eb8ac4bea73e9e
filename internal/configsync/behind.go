package configsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/freshness"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/timeline"
)

const (
	// minGapPause and maxGapPause bound the pause between attempts to get a missing version. It
	// doubles with each attempt.
	minGapPause     = 50 * time.Millisecond
	maxGapPause     = 400 * time.Millisecond
	maxGapDoublings = 3
	// sourceKinds is the number of kinds of sources that attempts alternate between.
	sourceKinds = 3
	// patientAfter is the number of attempts after which a pull may take longer.
	patientAfter = 2
	// minSourceTime is the time within which a change of the source is not recorded again.
	minSourceTime = 2 * time.Second
)

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

// closeGap gets a version that this node lacks from a node that has it. It returns once no version
// is missing.
func (s *Syncer) closeGap(ctx context.Context) {
	var since time.Time // of a gap that was recorded

	patient := make(chan struct{}, 1) // holds the one pull with a long time limit

	for attempt := 0; ctx.Err() == nil; {
		gap, lacks := s.fresh.Gap()
		if !lacks {
			break
		}

		if wait := time.Until(gap.Due); wait > 0 || s.isQueued(gap.Version) {
			idle.For(ctx, max(wait, minGapPause))

			continue
		}

		if since.IsZero() {
			since = gap.Since
			s.reportGap(gap)
		}

		// The short time limit passes over hosts that do not answer, which the long one would wait for.
		if attempt >= patientAfter {
			s.pullPatiently(ctx, s.sourceFor(gap, attempt), patient)
		}

		s.pull(ctx, s.sourceFor(gap, attempt))

		attempt = s.pauseInGap(ctx, attempt)
	}

	if !since.IsZero() && ctx.Err() == nil {
		s.options.Recorder.Record(event.VersionCaughtUp, timeline.Entry{
			Version: s.options.Holder.Number(), Detail: fmt.Sprintf("after %d ms", time.Since(since).Milliseconds()),
		})
	}
}

// pauseInGap waits after an attempt to get a version and returns the number of the next one. A new
// report ends the wait, and the next attempt is at its source.
func (s *Syncer) pauseInGap(ctx context.Context, attempt int) int {
	pause := min(minGapPause<<min(attempt, maxGapDoublings), maxGapPause)

	idle.For(ctx, minGapPause)

	select {
	case <-ctx.Done():
	case <-time.After(pause/2 + rand.N(pause)):
		attempt++
	case <-s.fresh.Missing():
		attempt += sourceKinds - attempt%sourceKinds
	}

	return attempt
}

// pullPatiently starts a pull with a long time limit, unless one is running.
func (s *Syncer) pullPatiently(ctx context.Context, address string, running chan struct{}) {
	select {
	case running <- struct{}{}:
	default:
		return
	}

	go func() {
		defer func() { <-running }()

		_, _ = s.pullWithin(ctx, address, maxPullTimeout) // the next attempt follows
	}()
}

// sourceFor returns the address to pull a missing version from: by turns a node that has it, a
// watcher of any failure domain and a node of this one.
func (s *Syncer) sourceFor(gap freshness.Gap, attempt int) string {
	var others []membership.Record

	switch attempt % sourceKinds {
	case 1:
		others = s.allWatchers()
	case 2:
		others = s.options.Members.Neighbours()
	}

	if others = membership.Without(others, s.options.Members.Self().ID); len(others) > 0 {
		return others[rand.IntN(len(others))].PeerAddress
	}

	// The first attempts of many nodes are spread; later ones go to the node that reported last.
	if attempt == 0 {
		return gap.Sources[rand.IntN(len(gap.Sources))].Address
	}

	return gap.Sources[0].Address
}

// reportGap records that a version is missing, and restarts a watch that did not return it.
func (s *Syncer) reportGap(gap freshness.Gap) {
	s.options.Recorder.Record(event.VersionBehind, timeline.Entry{
		Version: gap.Version, Peer: gap.Sources[0].Address, Detail: s.describeGap(gap),
	})

	if s.watchOpen.Load() {
		signal(s.restartWatch)
	}
}

func (s *Syncer) describeGap(gap freshness.Gap) string {
	confirmed := "never"
	if at := s.fresh.ConfirmedAt(); !at.IsZero() {
		confirmed = fmt.Sprintf("%d ms ago", time.Since(at).Milliseconds())
	}

	return fmt.Sprintf("active %d, missing for %d ms, known from %d nodes, store known %s, source %s",
		s.options.Holder.Number(), time.Since(gap.Since).Milliseconds(), len(gap.Sources), confirmed, s.source())
}

// useSource records a change of the source that this node gets versions from.
func (s *Syncer) useSource(next, reason string) {
	s.mu.Lock()
	before := s.sourceName
	changes := before != next && time.Since(s.sourceAt) > minSourceTime

	if changes {
		s.sourceName, s.sourceAt = next, time.Now()
	}
	s.mu.Unlock()

	if changes && before != "" {
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
