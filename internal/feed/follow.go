package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membership"
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
	// checkShare is the mean pause between looks of all watchers at the store's revision.
	// Each takes its turn after as many of these as there are watchers, so that a missed
	// change is found after 0.4 s in the mean, of the 2 s in which a version has to be in
	// force, and more watchers look no more often in all. With 2.4 s for each, whatever their
	// number, eight looked 14 times in 4 s instead of 5.
	checkShare = 800 * time.Millisecond
	// peersFirst is how long a node that starts again tries to have a version from
	// another one, asking one each peersPause: it knows others after some 30 ms, and
	// those with fast links hold a version 80 ms after a restart of all.
	peersFirst = 300 * time.Millisecond
	peersPause = 10 * time.Millisecond
	// idlePause is how often a node that is not a watcher looks whether it has to go
	// to the store.
	idlePause = 200 * time.Millisecond
	// uninformed is how long no watcher may have told that it is current before that:
	// two questions.
	uninformed = 1200 * time.Millisecond
	// widenEvery is after how long twice as many nodes of a failure domain go to the
	// store while nobody is current. If all of them did at once, 84 nodes made 571 calls
	// while the store was away for 4.5 s; so it is 92, as counted by
	// TestAStoreThatIsAwayIsNotAskedByAll.
	widenEvery = 3 * time.Second
	// maxDoublings lets all nodes of the largest failure domain go to the store.
	maxDoublings = 12
)

// needsStore reports whether this node has to ask the store itself.
func (f *Feed) needsStore() bool {
	if f.options.Holder.Number() == 0 || f.watches() {
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
// such call is in vain and paid for, and 81 nodes made 449 in 8 s with the short pauses of
// a watcher.
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
			sleep(ctx, idlePause)

			pause = f.pauseAfter()

			continue
		}

		began := time.Now()
		err := f.watch(ctx)

		if err == nil || errors.Is(err, store.ErrCompacted) || errors.Is(err, errHurry) {
			continue
		}

		f.lost(err)

		if time.Since(began) > spare {
			pause = f.pauseAfter()
		}

		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, lastPause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// fromPeers has the first version from a watcher, if one can be found at once.
//
// A process that starts again is of no use until it holds a version. The store gives
// it as text, a third of a megabyte for 1,600 routes, which takes half a second on a
// link of 5 megabits; a node gives it packed, 19 times smaller. Only a node that the
// store answers will do: this one must not begin behind the others.
func (f *Feed) fromPeers(ctx context.Context) {
	if f.options.FirstStart {
		return
	}

	for began, turn := time.Now(), 0; time.Since(began) < peersFirst && f.options.Holder.Number() == 0; turn++ {
		watchers := without(f.nearFirst(), f.options.Members.Self().ID)

		// After a restart of all nodes somebody has to go to the store first: those that
		// will watch it.
		if len(watchers) > 0 && f.watches() {
			return
		}

		if len(watchers) > 0 && f.pull(ctx, watchers[turn%len(watchers)].PeerAddress) {
			f.informed.Store(steady())
			f.awaitFirst(ctx)

			return
		}

		sleep(ctx, peersPause)
	}
}

// nearFirst returns the watchers of all failure domains, those of the own one first.
func (f *Feed) nearFirst() []membership.Record {
	self := f.options.Members.Self()

	return append(f.options.Members.FirstOf(self.FailureDomain, Watchers), f.watchersOfAll()...)
}

// awaitFirst waits until what was had is decoded.
func (f *Feed) awaitFirst(ctx context.Context) {
	for began := time.Now(); f.options.Holder.Number() == 0 && time.Since(began) < peersFirst; {
		sleep(ctx, peersPause)
	}
}

// errHurry ends a watch that has missed a version.
var errHurry = errors.New("a newer version was heard of")

// watch reads the configuration and then its changes, until something fails or this
// node is no longer a watcher.
func (f *Feed) watch(ctx context.Context) error {
	at, err := f.read(ctx)
	if err != nil {
		return err
	}

	f.back()

	for f.needsStore() {
		changes, err := f.wait(ctx, at)
		if err != nil {
			return err
		}

		at = max(at, changes.Revision)

		if n := len(changes.Entries); n > 0 && !changes.Entries[n-1].Deleted {
			f.offer(fromStore, document{data: changes.Entries[n-1].Value})
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
		f.offer(fromStore, document{data: entry.Value})
	}

	return at, err
}

// wait is one watch. Word of a newer version ends it.
func (f *Feed) wait(ctx context.Context, at int64) (store.Changes, error) {
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
		}
	}()

	changes, err := f.options.Store.Watch(ctx, f.options.Key, at, patience)

	close(done)

	if <-hurried && err != nil {
		return changes, errHurry
	}

	return changes, err
}

// check looks for changes that the watch has missed.
func (f *Feed) check(ctx context.Context) {
	var last int64

	for ctx.Err() == nil {
		every := checkShare * time.Duration(max(len(f.watchersOfAll()), 1))
		sleep(ctx, every/2+rand.N(every))

		if !f.current.Load() || !f.needsStore() {
			continue
		}

		at, err := f.revision(ctx)
		if err != nil {
			// The watch may wait on a connection that has gone silent.
			f.lost(err)
			signal(f.hurry)

			continue
		}

		if at == last {
			continue
		}

		last = at
		before := f.options.Holder.Number()

		if f.missed(ctx) > before {
			f.hint(ctx)
		}
	}
}

func (f *Feed) revision(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()

	return f.options.Store.Revision(ctx)
}

// missed reads the configuration and returns the version that the store has.
func (f *Feed) missed(ctx context.Context) uint64 {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()

	entry, _, err := f.options.Store.Get(ctx, f.options.Key)
	if err != nil {
		return 0 // the next look tries again
	}

	f.apply(ctx, fromStore, document{data: entry.Value})

	return f.options.Holder.Number()
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
