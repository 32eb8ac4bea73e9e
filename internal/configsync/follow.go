package configsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/store"
	"github.com/pollencart/pollencart/internal/timeline"
)

const (
	// watchTimeout is how long the store keeps a watch open; each watch is a paid call.
	watchTimeout = 20 * time.Second
	// watchMargin is the additional time allowed for the answer to a watch.
	watchMargin = 2 * time.Second
	// revisionTimeout bounds a check of the revision: 250 times the store's usual 4 ms.
	revisionTimeout = time.Second
	// readTimeout bounds a read of the whole configuration over a slow link. The store's client
	// ends a read much earlier if nothing arrives.
	readTimeout = 8 * time.Second
	// minBackoff and maxBackoff bound the pause between attempts while the store does not
	// answer.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// minWatchInterval is the minimum pause after a watch that returned a version. Versions
	// that follow each other faster are batched: each would cost a call of every watcher and a
	// push to all other nodes, and most would be outdated before they are decoded.
	minWatchInterval = 400 * time.Millisecond
	// roleCheckInterval is how often a node that is not a watcher checks whether it has to
	// read the store itself.
	roleCheckInterval = 200 * time.Millisecond
	// informedTimeout is the age of the knowledge that a version is the newest, after which a
	// node no longer vouches for it, and nodes read the store themselves: a check of the store
	// and a pull take less.
	informedTimeout = 1200 * time.Millisecond
	// fallbackDoublingInterval is the time after which twice as many nodes of a failure domain
	// read the store while no watcher is up to date. If all nodes did at once, an unavailable
	// store would cost one call per node and attempt (TestUnavailableStoreGetsFewCalls).
	fallbackDoublingInterval = 3 * time.Second
	// epochRereadJitter is the time over which the reads after a change of the epoch are
	// spread: long enough to avoid a burst of calls, short compared with the 2 s in which a
	// version has to become active.
	epochRereadJitter = 500 * time.Millisecond
	// maxFallbackDoublings is enough for all nodes of the largest failure domain to read the
	// store.
	maxFallbackDoublings = 12
)

// needsStore reports whether this node has to read the store itself.
func (s *Syncer) needsStore() bool {
	if s.isWatcher() {
		return true
	}

	// A restarted process can't serve calls before it has a version. When the deployment
	// starts for the first time, the store may have none.
	if s.options.Holder.Number() == 0 && !s.options.FirstStart {
		return true
	}

	s.mu.Lock()
	uninformedFor, unansweredFor := time.Since(s.informedAt)-informedTimeout, time.Since(s.answeredAt)
	s.mu.Unlock()

	if uninformedFor < 0 {
		return false
	}

	// A node that no other node answers may be the only one that reaches the store.
	if unansweredFor > informedTimeout {
		return true
	}

	return s.isAmongFirst(Watchers << min(1+uninformedFor/fallbackDoublingInterval, maxFallbackDoublings))
}

// backoffAfterError returns the first pause after a failed store call. A node that stands in
// for watchers without answers retries rarely: during an outage every call fails and still
// has to be paid for.
func (s *Syncer) backoffAfterError() time.Duration {
	if s.isWatcher() || s.options.Holder.Number() == 0 {
		return minBackoff
	}

	return maxBackoff
}

// follow watches the store while needsStore holds.
func (s *Syncer) follow(ctx context.Context) {
	backoff := minBackoff

	s.pullFirst(ctx)

	for ctx.Err() == nil {
		if !s.needsStore() {
			s.storeReachable.Store(false)
			idle.For(ctx, roleCheckInterval)

			backoff = s.backoffAfterError()

			continue
		}

		start := time.Now()
		changed := s.options.Epoch.Changed()
		err := s.watch(ctx, changed)

		if idle.Closed(changed) {
			s.epochChanged = true
			backoff = minBackoff
			idle.For(ctx, rand.N(epochRereadJitter))

			continue
		}

		if err == nil || errors.Is(err, store.ErrCompacted) || errors.Is(err, errRestartWatch) {
			continue
		}

		s.reportUnreachable(err)

		if time.Since(start) > watchMargin {
			backoff = s.backoffAfterError()
		}

		if idle.Unless(ctx, backoff/2+rand.N(backoff), changed) {
			s.epochChanged = true
			idle.For(ctx, rand.N(epochRereadJitter))
		}

		backoff = min(2*backoff, maxBackoff)
	}
}

// errRestartWatch ends a watch that has missed a version, or that waits for a revision of an
// earlier epoch.
var errRestartWatch = errors.New("a newer version or epoch is known")

// watch reads the configuration and then its changes, until a call fails, the epoch changes
// or this node no longer needs the store.
func (s *Syncer) watch(ctx context.Context, changed <-chan struct{}) error {
	at, err := s.read(ctx)
	if err != nil {
		return err
	}

	s.reportReachable()

	for s.needsStore() && !idle.Closed(changed) {
		began := time.Now()

		changes, err := s.wait(ctx, at, changed)
		if err != nil {
			return err
		}

		at = max(at, changes.Revision)

		if n := len(changes.Entries); n > 0 && !changes.Entries[n-1].Deleted {
			s.enqueue(fromStore, document{data: changes.Entries[n-1].Value, readAt: began})
			idle.Unless(ctx, minWatchInterval, changed)
		}
	}

	return nil
}

func (s *Syncer) read(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()

	began := time.Now()

	entry, at, err := s.options.Store.Get(ctx, s.options.Key)
	if errors.Is(err, platform.ErrNotFound) {
		s.fresh.Confirm(0, began)

		return at, nil
	}

	if err == nil {
		s.enqueue(fromStore, document{data: entry.Value, epochChanged: s.epochChanged, readAt: began})
		s.epochChanged = false
	}

	return at, err
}

// wait runs one watch. A signal on restartWatch or a change of the epoch ends it early.
func (s *Syncer) wait(ctx context.Context, at int64, changed <-chan struct{}) (store.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+watchMargin)
	defer cancel()

	done := make(chan struct{})
	interrupted := make(chan bool, 1)

	go func() {
		select {
		case <-done:
			interrupted <- false
		case <-s.restartWatch:
			cancel()

			interrupted <- true
		case <-changed:
			cancel()

			interrupted <- true
		}
	}()

	s.watchOpen.Store(true)

	changes, err := s.options.Store.Watch(ctx, s.options.Key, at, watchTimeout)

	s.watchOpen.Store(false)
	close(done)

	if <-interrupted && err != nil {
		return changes, errRestartWatch
	}

	return changes, err
}

func (s *Syncer) reportUnreachable(err error) {
	if s.storeReachable.Swap(false) {
		s.options.Recorder.Record(event.PlatformLost, timeline.Entry{Version: s.options.Holder.Number(), Detail: "configuration: " + err.Error()})
	}
}

func (s *Syncer) reportReachable() {
	if !s.storeReachable.Swap(true) {
		s.options.Recorder.Record(event.PlatformBack, timeline.Entry{Version: s.options.Holder.Number(), Detail: "configuration"})
	}
}
