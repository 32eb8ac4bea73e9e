// Package discovery lets nodes find each other through leased records in the platform's
// store.
//
// A few nodes of each failure domain have a record with their peer address, which expires
// with its lease. Records only provide the first nodes to join; all other membership data
// spreads by gossip. Calls do not depend on this package: if the store is unavailable or
// drops the records of live nodes, nodes that have joined stay in the membership table.
//
// A store that is restored from an older copy assigns the same lease numbers again, so a
// renewal could extend the lease of another node. Records are therefore rewritten with
// leases of the new epoch.
//
//	r := discovery.New(store, table, gossip.Join, recorder, firstStart)
//	go r.Run(ctx)
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/epoch"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Prefix of the store keys; the node ID follows.
const Prefix = "pollencart/nodes/"

const (
	// leaseTTL outlasts most outages of the store. A record left behind costs each node that
	// starts later one connection attempt.
	leaseTTL = 30 * time.Second
	// renewInterval is a third of leaseTTL, so that two renewals may fail.
	renewInterval = 10 * time.Second
	// minBackoff and maxBackoff bound the delay between retries while the store does not
	// respond.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 4 * time.Second
	// renewBackoff is the delay after the first failed renewal. The lease outlasts two
	// failed renewals.
	renewBackoff = 2 * time.Second
	// rewriteSpread is the interval over which nodes spread their rewrites after an epoch
	// change. Nodes that start meanwhile find some of the records.
	rewriteSpread = 1500 * time.Millisecond
	callTimeout   = time.Second
	// hangTime is after how long a call is given up if the store has answered another part of this node meanwhile.
	hangTime = 250 * time.Millisecond
	// joinCount is the number of recorded nodes that a node without known peers joins at a
	// time. Each sends all member records, and more of them would saturate a slow link.
	joinCount = 3
	// recordsPerDomain is the number of nodes of a failure domain that have a record. With
	// four, one of them remains after half of the hosts are lost. A record costs two calls
	// and its renewals.
	recordsPerDomain = 4
	// firstStartSpread is the interval over which the nodes of a fleet that starts for the
	// first time look for records. It exceeds the staleness of lists, so that most nodes find
	// the first few records and write none. No callers wait for the nodes yet.
	firstStartSpread = 800 * time.Millisecond
	// rescanNodes is the number of nodes in the fleet that look for records of unknown nodes
	// at each renewal. Each rescan is a stale list, which costs a tenth of a call.
	rescanNodes = 8
)

// Store is the part of the platform's store that this package uses.
type Store interface {
	List(ctx context.Context, prefix string, stale bool) ([]platform.Entry, error)
	Put(ctx context.Context, e platform.Entry) error
	Grant(ctx context.Context, ttl time.Duration) (platform.Lease, error)
	KeepAlive(ctx context.Context, l platform.Lease) error
	Delete(ctx context.Context, key string) error
}

// Join exchanges member records with the node at an address and reports whether it replied.
type Join func(ctx context.Context, address string) bool

// Agent maintains the record of this node and joins the nodes of other records.
type Agent struct {
	store        Store
	table        *membership.Table
	join         Join
	recorder     *timeline.Recorder
	epoch        *epoch.Current
	epochChanged <-chan struct{} // signals the end of the epoch of the lease

	lease platform.Lease
	// registered reports that the record was written. Leave reads it while Run goes on.
	registered atomic.Bool
	searched   atomic.Bool
	recorded   recordedNodes
	storeLost  bool
	retry      chan struct{}
	current    atomic.Pointer[storeCall]
	joined     bool // enough other nodes joined before the record was written
	rewrite    bool // the record may have been lost in an epoch change
	// skipRecord reports that, when this process started, enough other nodes of the failure
	// domain had records and some node joined.
	skipRecord bool
	// firstStart reports that no node can have started before this one.
	firstStart bool
}

// New returns an Agent for the node that owns the table.
func New(s Store, t *membership.Table, j Join, r *timeline.Recorder, first bool) *Agent {
	return (&Agent{store: s, table: t, join: j, recorder: r, firstStart: first, retry: make(chan struct{}, 1)}).WithEpoch(epoch.New())
}

// WithEpoch sets the epoch of the store. A lease is valid only in its own epoch: in the
// next one, its number may belong to another node.
func (r *Agent) WithEpoch(e *epoch.Current) *Agent {
	r.epoch, r.epochChanged = e, e.Changed()

	return r
}

// Searched reports whether this node has read the records of others since its start and has joined one of
// them, if there are any. A node that another one has joined may know only that one. There are none only if
// the node has a record of its own: of two nodes that start at the same time, one sees the other then.
func (r *Agent) Searched() bool { return r.searched.Load() }

// Run maintains the record and joins other nodes until ctx ends.
func (r *Agent) Run(ctx context.Context) {
	backoff := minBackoff

	r.joinEarlier(ctx)

	for ctx.Err() == nil {
		err := r.step(ctx)
		r.reportStore(err)

		next := renewInterval/2 + rand.N(renewInterval/2)
		if err != nil {
			next = backoff/2 + rand.N(backoff)
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = renewBackoff
		}

		switch r.pause(ctx, next, err != nil) {
		case epochEnded:
			r.beginEpoch(ctx)
		case retried:
			backoff = minBackoff
		case elapsed:
		}
	}
}

// pauseEnd is how a pause between two steps ended.
type pauseEnd uint8

const (
	elapsed pauseEnd = iota
	retried
	epochEnded
)

// pause waits between two steps. After a failed step [Agent.Retry] ends the wait.
func (r *Agent) pause(ctx context.Context, d time.Duration, failed bool) pauseEnd {
	retry := r.retry
	if !failed {
		retry = nil
	}

	select {
	case <-ctx.Done():
		return elapsed
	case <-time.After(d):
		return elapsed
	case <-retry:
		return retried
	case <-r.epochChanged:
		return epochEnded
	}
}

// Retry ends a call that hangs, and the backoff after a failed step: the store has answered another part
// of this node. Without it a node that started while the store was away gets its version and takes calls
// up to callTimeout or maxBackoff before it joins any other node.
func (r *Agent) Retry() {
	if c := r.current.Load(); c != nil {
		time.AfterFunc(hangTime-time.Since(c.began), c.cancel)
	}

	select {
	case r.retry <- struct{}{}:
	default:
	}
}

// beginEpoch drops the lease at an epoch change. It no longer belongs to this node, even if
// the store accepts its number.
func (r *Agent) beginEpoch(ctx context.Context) {
	r.epochChanged = r.epoch.Changed()
	r.rewrite = r.rewrite || r.lease != 0
	r.lease = 0

	idle.Unless(ctx, rand.N(rewriteSpread), r.epochChanged)
}

func (r *Agent) reportStore(err error) {
	switch {
	case err != nil && !r.storeLost:
		r.storeLost = true
		r.recorder.Record(event.PlatformLost, timeline.Entry{Detail: "record of this node: " + err.Error()})
	case err == nil && r.storeLost:
		r.storeLost = false
		r.recorder.Record(event.PlatformBack, timeline.Entry{Detail: "record of this node"})
	}
}

// step renews the record, or writes it if it is missing and this node needs one. It then
// joins other nodes if the record was new or some are unknown.
func (r *Agent) step(ctx context.Context) error {
	if r.skipRecord || !r.needsRecord() {
		r.skipRecord, r.rewrite = false, false
		r.lease = 0 // an existing record expires with its lease

		return r.joinMissing(ctx)
	}

	if r.lease != 0 {
		err := r.call(ctx, func(ctx context.Context) error { return r.store.KeepAlive(ctx, r.lease) })
		if err == nil {
			return r.joinMissing(ctx)
		}

		if !errors.Is(err, platform.ErrNotFound) {
			return err
		}
	}

	if err := r.write(ctx); err != nil {
		return err
	}

	if r.rewrite {
		r.rewrite = false
		r.recorder.Record(event.PlatformRewritten, timeline.Entry{Detail: "record of this node"})

		if r.Searched() {
			return nil
		}
	}

	if r.joined {
		r.joined = false

		return nil
	}

	_, err := r.joinOthers(ctx, false)

	return err
}

// needsRecord reports whether this node is one of those of its failure domain that have a
// record. While membership views differ, too many or too few nodes have one. Too many cost
// calls; with too few, nodes that start join nodes of other failure domains.
func (r *Agent) needsRecord() bool {
	self := r.table.Self()

	return r.table.Chosen(self.ID, self.FailureDomain, recordsPerDomain)
}

func (r *Agent) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	r.current.Store(&storeCall{time.Now(), cancel})
	defer r.current.Store(nil)

	return f(ctx)
}

// storeCall is a call to the store that has not ended.
type storeCall struct {
	began  time.Time
	cancel context.CancelFunc
}

func (r *Agent) write(ctx context.Context) error {
	r.lease = 0

	var lease platform.Lease

	err := r.call(ctx, func(ctx context.Context) (err error) {
		lease, err = r.store.Grant(ctx, leaseTTL)

		return err
	})
	if err != nil {
		return err
	}

	self := r.table.Self()

	value, err := json.Marshal(Record{Address: self.PeerAddress, FailureDomain: self.FailureDomain})
	if err != nil {
		return err
	}

	err = r.call(ctx, func(ctx context.Context) error {
		return r.store.Put(ctx, platform.Entry{Key: Prefix + self.ID, Value: value, Lease: lease})
	})
	if err == nil {
		r.lease = lease
		r.registered.Store(true)
	}

	return err
}

// Leave deletes the record, if there is one.
func (r *Agent) Leave(ctx context.Context) {
	if !r.registered.Load() {
		return
	}

	_ = r.call(ctx, func(ctx context.Context) error { // otherwise the record expires with its lease
		return r.store.Delete(ctx, Prefix+r.table.Self().ID)
	})
}
