// Package feed brings the operator's configuration from the platform's store to a
// node, and from node to node while the store is away.
//
// Each node waits on the store for changes of one key. It asks other nodes as well
// while the store does not answer it, and whenever gossip tells of a version that
// is newer than its own: a watch may hear nothing for long without an error.
// Whatever arrives, the holder takes it only if it is newer.
//
//	f := feed.New(feed.Options{...})
//	server.Handle(feed.MethodPull, peer.Typed(f.ServePull))
//	go f.Run(ctx)
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/store"
	"github.com/pollencart/pollencart/internal/timeline"
)

// MethodPull is the peer method that asks for a newer version.
const MethodPull = "Feed.Pull"

const (
	// patience is how long the store lets a watch wait. Each one is a paid call.
	patience = 20 * time.Second
	// spare is what an answer may take beyond that.
	spare = 2 * time.Second
	// readTime bounds a read.
	readTime = time.Second
	// firstPause and lastPause bound the pause between tries while the store does
	// not answer.
	firstPause = 50 * time.Millisecond
	lastPause  = 2 * time.Second
	// askEvery is the pause between questions to other nodes while the store does
	// not answer: a fifth of the time in which a version has to be in force.
	askEvery = 400 * time.Millisecond
	// askTime bounds such a question.
	askTime = 500 * time.Millisecond
)

// Store is what is needed of the platform.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, int64, error)
	Watch(ctx context.Context, prefix string, after int64, patience time.Duration) (store.Changes, error)
}

// Peers sends messages to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Members gives other nodes.
type Members interface {
	Live() []membership.Record
	Self() membership.Record
}

// Options of a feed.
type Options struct {
	Key      string
	Decode   func([]byte) (*route.Table, error)
	Store    Store
	Holder   *route.Holder
	Peers    Peers
	Members  Members
	Recorder *timeline.Recorder
}

// Feed follows the configuration.
type Feed struct {
	options Options
	away    atomic.Bool   // the store does not answer
	hurry   chan struct{} // a newer version was heard of
	heard   atomic.Uint64
}

// Have tells which version a node holds.
type Have struct {
	Version uint64 `msgpack:"Version"`
}

// Newer is a version that is newer than what was held, or nothing.
type Newer struct {
	Version uint64 `msgpack:"Version"`
	Data    []byte `msgpack:"Data"`
}

// New returns a feed.
func New(o Options) *Feed {
	f := &Feed{options: o, hurry: make(chan struct{}, 1)}
	f.away.Store(true)

	return f
}

// Run follows the store until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	go f.askWhileAway(ctx)

	pause := firstPause

	for ctx.Err() == nil {
		began := time.Now()
		err := f.follow(ctx)

		if errors.Is(err, store.ErrCompacted) || errors.Is(err, errHurry) {
			continue
		}

		f.lost(err)

		if time.Since(began) > spare {
			pause = firstPause
		}

		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}

		pause = min(2*pause, lastPause)
	}
}

// errHurry ends a watch that has missed a version.
var errHurry = errors.New("a newer version was heard of")

// follow reads the configuration and then its changes, until something fails.
func (f *Feed) follow(ctx context.Context) error {
	at, err := f.read(ctx)
	if err != nil {
		return err
	}

	f.back()

	for {
		changes, err := f.watch(ctx, at)
		if err != nil {
			return err
		}

		at = max(at, changes.Revision)

		if n := len(changes.Entries); n > 0 && !changes.Entries[n-1].Deleted {
			f.offer(changes.Entries[n-1].Value, "store")
		}
	}
}

func (f *Feed) read(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()

	entry, at, err := f.options.Store.Get(ctx, f.options.Key)
	if errors.Is(err, platform.ErrNotFound) {
		return at, nil
	}

	if err == nil {
		f.offer(entry.Value, "store")
	}

	return at, err
}

func (f *Feed) watch(ctx context.Context, at int64) (store.Changes, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, patience+spare, context.DeadlineExceeded)
	defer cancel()

	hurried := false
	done := make(chan struct{})
	stopped := make(chan struct{})

	go func() {
		defer close(stopped)

		select {
		case <-done:
		case <-f.hurry:
			hurried = true

			cancel()
		}
	}()

	changes, err := f.options.Store.Watch(ctx, f.options.Key, at, patience)

	close(done)
	<-stopped

	if err != nil && hurried {
		return changes, errHurry
	}

	return changes, err
}

func (f *Feed) offer(data []byte, source string) {
	table, err := f.options.Decode(data)
	if err != nil {
		f.options.Recorder.Record(event.VersionRefused, timeline.Entry{Detail: source + ": " + err.Error()})

		return
	}

	if f.options.Holder.Offer(table, data) {
		f.options.Recorder.Record(event.VersionInForce, timeline.Entry{Version: table.Version(), Detail: source})
	}
}

func (f *Feed) lost(err error) {
	if !f.away.Swap(true) {
		f.options.Recorder.Record(event.PlatformLost, timeline.Entry{Version: f.options.Holder.Number(), Detail: "configuration: " + err.Error()})
	}
}

func (f *Feed) back() {
	if f.away.Swap(false) {
		f.options.Recorder.Record(event.PlatformBack, timeline.Entry{Version: f.options.Holder.Number(), Detail: "configuration"})
	}
}

// Hear takes word that a node holds a version. One that is newer is read anew from
// the store, or from that node.
func (f *Feed) Hear(ctx context.Context, address string, version uint64) {
	if version <= f.options.Holder.Number() {
		return
	}

	if f.away.Load() {
		f.ask(ctx, address)

		return
	}

	// The watch is given a moment: mostly it brings the version right now.
	if f.heard.Swap(version) != version {
		return
	}

	select {
	case f.hurry <- struct{}{}:
	default:
	}
}

func (f *Feed) askWhileAway(ctx context.Context) {
	for ctx.Err() == nil {
		if f.away.Load() {
			if address, ok := f.someone(); ok {
				f.ask(ctx, address)
			}
		}

		select {
		case <-ctx.Done():
		case <-time.After(askEvery/2 + rand.N(askEvery)):
		}
	}
}

// someone is a random node, of the own failure domain if there is one.
func (f *Feed) someone() (string, bool) {
	self := f.options.Members.Self()

	var near, far []string

	for _, r := range f.options.Members.Live() {
		switch {
		case r.ID == self.ID:
		case r.FailureDomain == self.FailureDomain:
			near = append(near, r.PeerAddress)
		default:
			far = append(far, r.PeerAddress)
		}
	}

	// Now and then one elsewhere: the whole failure domain may be cut off from the
	// store.
	if len(near) > 0 && (len(far) == 0 || rand.IntN(2) == 0) {
		return near[rand.IntN(len(near))], true
	}

	if len(far) > 0 {
		return far[rand.IntN(len(far))], true
	}

	return "", false
}

func (f *Feed) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()

	var n Newer

	err := f.options.Peers.Do(ctx, address, peer.LaneControl, MethodPull, Have{Version: f.options.Holder.Number()}, &n)
	if err == nil && n.Version > 0 {
		f.offer(n.Data, "node "+address)
	}
}

// ServePull gives a node the version held here if it is newer.
func (f *Feed) ServePull(_ context.Context, in Have) (Newer, error) {
	version := f.options.Holder.Number()
	if version <= in.Version {
		return Newer{}, nil
	}

	return Newer{Version: version, Data: f.options.Holder.Raw()}, nil
}
