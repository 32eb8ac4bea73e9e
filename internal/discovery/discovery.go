// Package discovery lets nodes find each other through leased records in the
// platform's store.
//
// A few nodes of each failure domain have a record with their peer address, which ends
// with its lease. What else is known of a node spreads by gossip; records only say whom
// to ask first. So nothing here is on the way of a call, and a store that is away, or that
// takes the records of living nodes, takes nobody out: who is met stays met. A store that
// comes back from an older copy gives out the numbers of leases again; a renewal would be
// another node's, so records are written again with leases of the new epoch.
//
//	r := discovery.New(store, table, gossip.Join)
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

// Prefix of the records' keys; the node follows.
const Prefix = "pollencart/nodes/"

const (
	// leaseTime outlasts most outages of the store; a record that is left behind
	// costs those who start later one connection attempt each.
	leaseTime = 30 * time.Second
	// renewEvery is a third of it, so that two renewals may be lost.
	renewEvery = 10 * time.Second
	// firstPause and lastPause bound the pause between tries while the store does
	// not answer.
	firstPause = 100 * time.Millisecond
	lastPause  = 4 * time.Second
	// renewPause is the pause after the first renewal that failed: the lease outlasts
	// two renewals.
	renewPause = 2 * time.Second
	// spreadChange is within what records are written again after a change of the epoch:
	// those who start meanwhile find some of them.
	spreadChange = 1500 * time.Millisecond
	callTime     = time.Second
	// meetAtOnce is how many recorded nodes are met by one that knows nobody: each gives
	// it the records of all others, which more at once would fill a slow link with.
	meetAtOnce = 3
	// recordsEach is how many nodes of a failure domain have a record: enough that one of
	// them is there after a host in two was lost. A record costs two calls and its renewals.
	recordsEach = 4
	// firstSpread is within what the nodes of a fleet that starts for the first time look
	// for records: longer than lists are old, so that most find those of the first few and
	// write none. No callers wait for them yet.
	firstSpread = 800 * time.Millisecond
	// lookers is how many nodes of the fleet look at each renewal whether there are
	// records of nodes that they do not know. Each is an old list, a tenth of a call.
	lookers = 8
)

// Store is what is needed of the platform.
type Store interface {
	List(ctx context.Context, prefix string, stale bool) ([]platform.Entry, error)
	Put(ctx context.Context, e platform.Entry) error
	Grant(ctx context.Context, life time.Duration) (platform.Lease, error)
	KeepAlive(ctx context.Context, l platform.Lease) error
	Delete(ctx context.Context, key string) error
}

// Meet gets to know the node at an address, and reports whether it answered.
type Meet func(ctx context.Context, address string) bool

// Rendezvous keeps this node's record and meets the nodes of other records.
type Rendezvous struct {
	store    Store
	table    *membership.Table
	meet     Meet
	recorder *timeline.Recorder
	epoch    *epoch.Current
	changed  <-chan struct{} // since the epoch of the lease

	lease platform.Lease
	// written says that there is a record, for who leaves while Run goes on.
	written atomic.Bool
	lost    bool
	met     bool // enough others, before the record was written
	again   bool // the record may have been lost with an epoch
	// spared says that others of the failure domain had records, and answered, when this
	// process looked first.
	spared bool
	// alone says that nobody can have been there before this node.
	alone bool
}

// New returns a rendezvous of the node whose table it is.
func New(s Store, t *membership.Table, m Meet, r *timeline.Recorder, firstStart bool) *Rendezvous {
	return (&Rendezvous{store: s, table: t, meet: m, recorder: r, alone: firstStart}).WithEpoch(epoch.New())
}

// WithEpoch sets the epoch of the store. A lease of one says nothing in the next: its number
// may be another's there.
func (r *Rendezvous) WithEpoch(e *epoch.Current) *Rendezvous {
	r.epoch, r.changed = e, e.Changed()

	return r
}

// Run keeps the record and meets others until ctx ends.
func (r *Rendezvous) Run(ctx context.Context) {
	pause := firstPause

	r.meetEarlier(ctx)

	for ctx.Err() == nil {
		err := r.step(ctx)
		r.note(err)

		next := renewEvery/2 + rand.N(renewEvery/2)
		if err != nil {
			next = pause/2 + rand.N(pause)
			pause = min(2*pause, lastPause)
		} else {
			pause = renewPause
		}

		if idle.Unless(ctx, next, r.changed) {
			r.begin(ctx)
		}
	}
}

// begin takes a new epoch: the lease is not this node's there, whatever the store says to
// its number.
func (r *Rendezvous) begin(ctx context.Context) {
	r.changed = r.epoch.Changed()
	r.again = r.again || r.lease != 0
	r.lease = 0

	idle.Unless(ctx, rand.N(spreadChange), r.changed)
}

func (r *Rendezvous) note(err error) {
	switch {
	case err != nil && !r.lost:
		r.lost = true
		r.recorder.Record(event.PlatformLost, timeline.Entry{Detail: "record of this node: " + err.Error()})
	case err == nil && r.lost:
		r.lost = false
		r.recorder.Record(event.PlatformBack, timeline.Entry{Detail: "record of this node"})
	}
}

// step renews the record, or writes it if there is none and this node should have one,
// and meets others if the record was not there or nobody is known.
func (r *Rendezvous) step(ctx context.Context) error {
	if r.spared || !r.needsRecord() {
		r.spared, r.again = false, false
		r.lease = 0 // a record that is there ends with its lease

		return r.lookAgain(ctx)
	}

	if r.lease != 0 {
		err := r.call(ctx, func(ctx context.Context) error { return r.store.KeepAlive(ctx, r.lease) })
		if err == nil {
			return r.lookAgain(ctx)
		}

		if !errors.Is(err, platform.ErrNotFound) {
			return err
		}
	}

	if err := r.write(ctx); err != nil {
		return err
	}

	if r.again {
		r.again = false
		r.recorder.Record(event.PlatformRewritten, timeline.Entry{Detail: "record of this node"})

		return nil // others are known
	}

	if r.met {
		r.met = false

		return nil
	}

	_, err := r.meetOthers(ctx, false)

	return err
}

// needsRecord reports whether this node is one of those of its failure domain that have
// a record. Nodes that know different others make too many or too few for a moment. Too
// many cost calls; with too few, those who start meet nodes of other failure domains.
func (r *Rendezvous) needsRecord() bool {
	self := r.table.Self()

	return r.table.Chosen(self.ID, self.FailureDomain, recordsEach)
}

func (r *Rendezvous) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()

	return f(ctx)
}

func (r *Rendezvous) write(ctx context.Context) error {
	r.lease = 0

	var lease platform.Lease

	err := r.call(ctx, func(ctx context.Context) (err error) {
		lease, err = r.store.Grant(ctx, leaseTime)

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
		r.written.Store(true)
	}

	return err
}

// Leave removes the record, if there is one.
func (r *Rendezvous) Leave(ctx context.Context) {
	if !r.written.Load() {
		return
	}

	_ = r.call(ctx, func(ctx context.Context) error { // it ends with its lease otherwise
		return r.store.Delete(ctx, Prefix+r.table.Self().ID)
	})
}
