package propagation

import (
	"context"
	"errors"
	"time"

	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/timeline"
)

// fromPlatform is the source of versions that were read from the platform.
const fromPlatform = "platform"

// watcherCheckInterval is how often a node checks whether it is a watcher.
const watcherCheckInterval = time.Second

// watch follows the platform's head while this node is one of the watchers of its
// failure domain. It returns when ctx ends.
func (s *Propagator) watch(ctx context.Context) {
	up, pause := true, s.options.Retry

	for ctx.Err() == nil {
		if !s.options.Watching() {
			idle.For(ctx, watcherCheckInterval)

			continue
		}

		err := s.followHead(ctx)
		if ctx.Err() != nil {
			return
		}

		s.recordPlatformState(&up, err)

		if err == nil {
			pause = s.options.Retry
		}

		// All watches end together in an outage; full jitter spreads the reconnects.
		idle.For(ctx, jitter(pause))
		pause = min(2*pause, s.options.MaxRetry)
	}
}

func (s *Propagator) recordPlatformState(up *bool, err error) {
	if err != nil && *up {
		s.recorder.Record(event.PlatformLost, timeline.Entry{Detail: err.Error()})
	}

	if err == nil && !*up {
		s.recorder.Record(event.PlatformBack, timeline.Entry{})
	}

	*up = err == nil
}

// followHead applies each head that the watch delivers, and also reads the head at
// intervals.
func (s *Propagator) followHead(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	changes, err := s.store.Watch(ctx, acceptance.HeadKey, 0)
	if err != nil {
		return err
	}

	check := time.NewTicker(watcherCheckInterval)
	defer check.Stop()

	recheck := time.NewTimer(s.recheckDelay())
	defer recheck.Stop()

	for {
		select {
		case e, open := <-changes:
			if !open {
				return nil
			}

			if err := s.applyStream(ctx, e, changes); err != nil {
				return err
			}
		case <-check.C:
			if !s.options.Watching() {
				return nil
			}
		case <-recheck.C:
			if err := s.recheck(ctx); err != nil {
				return err
			}

			recheck.Reset(s.recheckDelay())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Propagator) recheckDelay() time.Duration {
	return s.options.RecheckInterval/2 + jitter(s.options.RecheckInterval)
}

// applyStream applies the newest head that is available.
func (s *Propagator) applyStream(ctx context.Context, e platform.Entry, changes <-chan platform.Entry) error {
	if err := s.applyHead(ctx, newest(e, changes).Value); err != nil {
		return err
	}

	return s.coalesceHeads(ctx, changes)
}

// coalesceHeads collects heads for PushInterval and applies only the last one, until
// an interval passes without any. Heads left in the stream would be applied one at a
// time, each an interval later than the one before.
func (s *Propagator) coalesceHeads(ctx context.Context, changes <-chan platform.Entry) error {
	if s.options.PushInterval == 0 {
		return nil
	}

	for {
		last, open := lastWithin(ctx, changes, s.options.PushInterval)
		if last != nil {
			if err := s.applyHead(ctx, last.Value); err != nil {
				return err
			}
		}

		if last == nil || !open {
			return ctx.Err()
		}
	}
}

// lastWithin returns the last entry that arrives within a time, and whether the stream
// is still open.
func lastWithin(ctx context.Context, changes <-chan platform.Entry, within time.Duration) (*platform.Entry, bool) {
	var last *platform.Entry

	end := time.After(within)

	for {
		select {
		case e, open := <-changes:
			if !open {
				return last, false
			}

			last = &e
		case <-end:
			return last, true
		case <-ctx.Done():
			return nil, false
		}
	}
}

// newest skips heads that were replaced while this node was busy or stalled.
func newest(e platform.Entry, changes <-chan platform.Entry) platform.Entry {
	for {
		select {
		case next, open := <-changes:
			if !open {
				return e
			}

			e = next
		default:
			return e
		}
	}
}

// Refresh reads the head at once. The node through which a version was accepted
// activates it before it answers the operator: else a platform restored from an older
// copy right afterwards would find no node that has the version.
func (s *Propagator) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()

	_ = s.recheck(ctx) // on failure, the watchers deliver the version
}

// recheck reads the head, and repairs a platform that lost it.
func (s *Propagator) recheck(ctx context.Context) error {
	e, err := s.store.Get(ctx, acceptance.HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return s.repair(ctx)
	}

	if err != nil {
		return err
	}

	return s.applyHead(ctx, e.Value)
}

func (s *Propagator) applyHead(ctx context.Context, data []byte) error {
	head, err := acceptance.DecodeHead(data)
	if err != nil {
		return err
	}

	active := s.holder.Load()
	if active == nil {
		return s.readTree(ctx, head)
	}

	now, next := active.Version(), head.Version

	switch {
	case next.Number == now.Number && next.Digest == now.Digest, s.isRejected(next.Number):
		return nil
	case next.Number <= now.Number:
		return s.repair(ctx)
	case head.Base == now.Number:
		return s.readChange(ctx, head)
	default:
		return s.readUnrelated(ctx, head)
	}
}

// readChange reads only the branches that changed.
func (s *Propagator) readChange(ctx context.Context, head acceptance.Head) error {
	records, err := s.acceptor.Changed(ctx, head)
	if err != nil {
		return err
	}

	d := Delta{From: head.Base, Version: head.Version, Changed: records, Removed: head.Removed}
	if s.applyDelta(d, fromPlatform, true) == nil || s.isRejected(head.Version.Number) {
		return nil
	}

	return s.readUnrelated(ctx, head)
}

// readUnrelated handles a head that does not follow the active version: this node
// missed versions, or the platform was restored from an older copy and accepted
// versions without the active one.
func (s *Propagator) readUnrelated(ctx context.Context, head acceptance.Head) error {
	if err := s.repair(ctx); err != nil {
		return err
	}

	return s.readTree(ctx, head)
}

func (s *Propagator) readTree(ctx context.Context, head acceptance.Head) error {
	snapshot, err := s.acceptor.Snapshot(ctx, head.Version, s.holder.Load())
	if err != nil {
		s.reject(head.Version, fromPlatform, err)

		if s.isRejected(head.Version.Number) {
			return nil
		}

		return err
	}

	if s.holder.OfferFrom(snapshot, fromPlatform) {
		s.propagate(true)
	}

	return nil
}

// repair restores the versions of this node to a platform with an older copy.
func (s *Propagator) repair(ctx context.Context) error {
	known := s.holder.Known()
	if known.Snapshot == nil {
		return nil
	}

	outcome, err := s.acceptor.Repair(ctx, known)
	if outcome.Repaired {
		s.recorder.Record(event.PlatformRepaired, timeline.Entry{Version: known.Snapshot.Version().Number})
	}

	for _, v := range outcome.Lost {
		s.recorder.Record(event.VersionLost, timeline.Entry{Version: v.Number, Detail: "acceptance ID " + v.AcceptanceID})
	}

	if errors.Is(err, platform.ErrConflict) {
		return nil // another watcher repairs the platform; its head arrives through the watch
	}

	return err
}
