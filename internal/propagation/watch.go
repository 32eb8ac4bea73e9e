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

// watchCheck is how often a node asks whether it is still, or has become, one of
// the watchers.
const watchCheck = time.Second

// watch follows the platform's head while this node is one of the watchers of
// its failure domain. It returns when ctx ends.
func (s *Spreader) watch(ctx context.Context) {
	up, pause := true, s.options.Retry

	for ctx.Err() == nil {
		if !s.options.Watching() {
			idle.For(ctx, watchCheck)

			continue
		}

		err := s.follow(ctx)
		if ctx.Err() != nil {
			return
		}

		s.tellPlatform(&up, err)

		if err == nil {
			pause = s.options.Retry
		}

		// All watches end together in an outage; full jitter keeps them from
		// coming back together.
		idle.For(ctx, jitter(pause))
		pause = min(2*pause, s.options.MaxRetry)
	}
}

func (s *Spreader) tellPlatform(up *bool, err error) {
	if err != nil && *up {
		s.recorder.Record(event.PlatformLost, timeline.Entry{Detail: err.Error()})
	}

	if err == nil && !*up {
		s.recorder.Record(event.PlatformBack, timeline.Entry{})
	}

	*up = err == nil
}

// follow takes each head that the platform sends, and reads it now and then.
func (s *Spreader) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	changes, err := s.store.Watch(ctx, acceptance.HeadKey, 0)
	if err != nil {
		return err
	}

	check := time.NewTicker(watchCheck)
	defer check.Stop()

	recheck := time.NewTimer(s.recheckIn())
	defer recheck.Stop()

	for {
		select {
		case e, open := <-changes:
			if !open {
				return nil
			}

			if err := s.takeStream(ctx, e, changes); err != nil {
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

			recheck.Reset(s.recheckIn())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Spreader) recheckIn() time.Duration { return s.options.Recheck/2 + jitter(s.options.Recheck) }

// takeStream takes the newest head of those that are there.
func (s *Spreader) takeStream(ctx context.Context, e platform.Entry, changes <-chan platform.Entry) error {
	if err := s.takeHead(ctx, newest(e, changes).Value); err != nil {
		return err
	}

	return s.pace(ctx, changes)
}

// pace reads heads for a while and takes only the last one, until there is a
// while without any. Heads that were left in the stream meanwhile would come one
// at a time, each a while later than the one before.
func (s *Spreader) pace(ctx context.Context, changes <-chan platform.Entry) error {
	if s.options.Pace == 0 {
		return nil
	}

	for {
		last, open := collect(ctx, changes, s.options.Pace)
		if last != nil {
			if err := s.takeHead(ctx, last.Value); err != nil {
				return err
			}
		}

		if last == nil || !open {
			return ctx.Err()
		}
	}
}

// collect returns the last entry that came within a time, and whether the stream
// is still open.
func collect(ctx context.Context, changes <-chan platform.Entry, within time.Duration) (*platform.Entry, bool) {
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

// newest skips heads that were followed by another while this node was busy or
// frozen.
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

// Learn reads the head at once. The node through which a version was accepted
// holds it before the operator is told: a platform that comes back from an older
// copy a moment later would else find nobody who knows it.
func (s *Spreader) Learn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()

	_ = s.recheck(ctx) // the watchers bring it if the platform went away meanwhile
}

// recheck reads the head. A platform that lost it gets back what this node holds.
func (s *Spreader) recheck(ctx context.Context) error {
	e, err := s.store.Get(ctx, acceptance.HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return s.repair(ctx)
	}

	if err != nil {
		return err
	}

	return s.takeHead(ctx, e.Value)
}

func (s *Spreader) takeHead(ctx context.Context, data []byte) error {
	head, err := acceptance.DecodeHead(data)
	if err != nil {
		return err
	}

	held := s.holder.Load()
	if held == nil {
		return s.takeWhole(ctx, head)
	}

	now, next := held.Version(), head.Version

	switch {
	case next.Number == now.Number && next.Digest == now.Digest, s.isRefused(next.Number):
		return nil
	case next.Number <= now.Number:
		return s.repair(ctx)
	case head.Base == now.Number:
		return s.takeChange(ctx, head)
	default:
		return s.takeUnrelated(ctx, head)
	}
}

// takeChange reads only the branches that changed.
func (s *Spreader) takeChange(ctx context.Context, head acceptance.Head) error {
	records, err := s.acceptor.Changed(ctx, head)
	if err != nil {
		return err
	}

	d := Delta{From: head.Base, Version: head.Version, Changed: records, Removed: head.Removed}
	if s.take(d, fromPlatform, true) == nil || s.isRefused(head.Version.Number) {
		return nil
	}

	return s.takeUnrelated(ctx, head)
}

// takeUnrelated is for a head that is not the one after the version held: this
// node missed some, or the platform came back from an older copy and went on
// without the version held here.
func (s *Spreader) takeUnrelated(ctx context.Context, head acceptance.Head) error {
	if err := s.repair(ctx); err != nil {
		return err
	}

	return s.takeWhole(ctx, head)
}

func (s *Spreader) takeWhole(ctx context.Context, head acceptance.Head) error {
	snapshot, err := s.acceptor.Snapshot(ctx, head.Version, s.holder.Load())
	if err != nil {
		s.refuse(head.Version, fromPlatform, err)

		if s.isRefused(head.Version.Number) {
			return nil
		}

		return err
	}

	if s.holder.OfferFrom(snapshot, fromPlatform) {
		s.passOn(true)
	}

	return nil
}

// repair gives a platform with an older copy back what this node holds.
func (s *Spreader) repair(ctx context.Context) error {
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
		return nil // another watcher repairs it; its head comes with the watch
	}

	return err
}
