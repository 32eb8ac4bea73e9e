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
	// patience is how long the store lets a watch wait; each one is a paid call.
	patience = 20 * time.Second
	// spare is what an answer may take beyond that.
	spare = 2 * time.Second
	// readTime bounds a read: 250 times the store's usual 4 ms.
	readTime = time.Second
	// firstPause and lastPause bound the pause between tries while the store does
	// not answer.
	firstPause = 50 * time.Millisecond
	lastPause  = 2 * time.Second
	// settle is after how long at the earliest a watch follows one that brought a version.
	// Versions that come faster are taken together: each would be a call of each watcher and
	// a push to all others, and most are out of date before they are read.
	settle = 400 * time.Millisecond
	// idlePause is how often a node that is not a watcher looks whether it has to go
	// to the store.
	idlePause = 200 * time.Millisecond
	// uninformed is how long no watcher may have told that it is current before that:
	// two questions.
	uninformed = 1200 * time.Millisecond
	// widenEvery is after how long twice as many nodes of a failure domain go to the
	// store while nobody is current: asked by all at once, a store that is away costs a call
	// a node and try (TestAStoreThatIsAwayIsNotAskedByAll).
	widenEvery = 3 * time.Second
	// spreadChange is within what those who watch read again after a change of the epoch:
	// long enough for their calls not to come at once, short beside the 2 s of a version.
	spreadChange = 500 * time.Millisecond
	// maxDoublings lets all nodes of the largest failure domain go to the store.
	maxDoublings = 12
)

// needsStore reports whether this node has to ask the store itself.
func (f *Feed) needsStore() bool {
	if f.watches() {
		return true
	}

	// A process that starts again is of no use until it holds a version; in a fleet that
	// starts for the first time there may be none.
	if f.options.Holder.Number() == 0 && !f.options.FirstStart {
		return true
	}

	now := steady()

	lacking := now - f.informed.Load() - int64(uninformed)
	if lacking < 0 {
		return false
	}

	// Who hears no other node may be the only one that the store answers.
	if now-f.answered.Load() > int64(uninformed) {
		return true
	}

	return f.isAmong(Watchers << min(1+lacking/int64(widenEvery), maxDoublings))
}

// pauseAfter is the pause after a call that the store did not answer. Who goes to the
// store in place of watchers that get no answer tries once, then seldom: in an outage each
// such call is in vain and paid for.
func (f *Feed) pauseAfter() time.Duration {
	if f.watches() || f.options.Holder.Number() == 0 {
		return firstPause
	}

	return lastPause
}

// follow waits on the store while that is this node's part.
func (f *Feed) follow(ctx context.Context) {
	pause := firstPause

	f.fromPeers(ctx)

	for ctx.Err() == nil {
		if !f.needsStore() {
			f.current.Store(false)
			idle.For(ctx, idlePause)

			pause = f.pauseAfter()

			continue
		}

		began := time.Now()
		changed := f.options.Epoch.Changed()
		err := f.watch(ctx, changed)

		if idle.Closed(changed) {
			f.again = true
			pause = firstPause
			idle.For(ctx, rand.N(spreadChange))

			continue
		}

		if err == nil || errors.Is(err, store.ErrCompacted) || errors.Is(err, errHurry) {
			continue
		}

		f.lost(err)

		if time.Since(began) > spare {
			pause = f.pauseAfter()
		}

		if idle.Unless(ctx, pause/2+rand.N(pause), changed) {
			f.again = true
			idle.For(ctx, rand.N(spreadChange))
		}

		pause = min(2*pause, lastPause)
	}
}

// errHurry ends a watch that has missed a version, or waits behind a revision of an epoch
// that is over.
var errHurry = errors.New("a newer version or epoch was heard of")

// watch reads the configuration and then its changes, until something fails, the epoch
// changes or this node is no longer a watcher.
func (f *Feed) watch(ctx context.Context, changed <-chan struct{}) error {
	at, err := f.read(ctx)
	if err != nil {
		return err
	}

	f.back()

	for f.needsStore() && !idle.Closed(changed) {
		changes, err := f.wait(ctx, at, changed)
		if err != nil {
			return err
		}

		at = max(at, changes.Revision)

		if n := len(changes.Entries); n > 0 && !changes.Entries[n-1].Deleted {
			f.offer(fromStore, document{data: changes.Entries[n-1].Value})
			idle.Unless(ctx, settle, changed)
		}
	}

	return nil
}

func (f *Feed) read(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()

	entry, at, err := f.options.Store.Get(ctx, f.options.Key)
	if errors.Is(err, platform.ErrNotFound) {
		return at, nil
	}

	if err == nil {
		f.offer(fromStore, document{data: entry.Value, again: f.again})
		f.again = false
	}

	return at, err
}

// wait is one watch. Word of a newer version or epoch ends it.
func (f *Feed) wait(ctx context.Context, at int64, changed <-chan struct{}) (store.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, patience+spare)
	defer cancel()

	done := make(chan struct{})
	hurried := make(chan bool, 1)

	go func() {
		select {
		case <-done:
			hurried <- false
		case <-f.hurry:
			cancel()

			hurried <- true
		case <-changed:
			cancel()

			hurried <- true
		}
	}()

	changes, err := f.options.Store.Watch(ctx, f.options.Key, at, patience)

	close(done)

	if <-hurried && err != nil {
		return changes, errHurry
	}

	return changes, err
}

func (f *Feed) lost(err error) {
	if f.current.Swap(false) {
		f.options.Recorder.Record(event.PlatformLost, timeline.Entry{Version: f.options.Holder.Number(), Detail: "configuration: " + err.Error()})
	}
}

func (f *Feed) back() {
	if !f.current.Swap(true) {
		f.options.Recorder.Record(event.PlatformBack, timeline.Entry{Version: f.options.Holder.Number(), Detail: "configuration"})
	}
}
