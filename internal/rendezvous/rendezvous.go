// Package rendezvous lets nodes find each other through leased records in the
// platform's store.
//
// Each node has one record with its peer address, which ends with its lease. What
// else is known of a node spreads by gossip; records only say whom to ask first.
// So nothing here is on the way of a call, and a store that is away, or that takes
// the records of living nodes, takes nobody out: who is met stays met.
//
//	r := rendezvous.New(store, table, gossip.Meet)
//	go r.Run(ctx)
package rendezvous

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
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
	// not answer. At the longest 4,300 nodes make 1,000 calls a second.
	firstPause = 100 * time.Millisecond
	lastPause  = 4 * time.Second
	// renewPause is the pause after the first renewal that failed: the lease outlasts
	// two renewals. With firstPause 86 nodes made 530 calls in an outage of 8 s.
	renewPause = 2 * time.Second
	callTime   = time.Second
	// meetAtOnce is how many recorded nodes are met by one that knows nobody: each gives
	// it the records of all others, 13 kB of 86 nodes, which six at once fill a link of 5
	// megabits with for an eighth of a second.
	meetAtOnce = 3
	// lookers is how many nodes of the fleet look at each renewal whether there are
	// records of nodes that they do not know. That is 8 old lists in 8 s, each a tenth of
	// a call; with each of 4,300 nodes it were 4,300 lists of 600 kB.
	lookers = 8
)

// Record is the value of a node's key.
type Record struct {
	Address       string `json:"Address"`
	FailureDomain string `json:"FailureDomain"`
}

// ErrRecord is returned for a record that names nobody to meet.
var ErrRecord = errs.New("rendezvous.record", http.StatusUnprocessableEntity, "record not understood")

// DecodeRecord returns the record of a node. Others may write below the prefix too.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, ErrRecord.Wrap(err)
	}

	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return Record{}, ErrRecord.With("address %q", r.Address)
	}

	return r, nil
}

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

	lease platform.Lease
	lost  bool
	met   bool // enough others, before the record was written
	// alone says that nobody can have been there before this node.
	alone bool
}

// New returns a rendezvous of the node whose table it is.
func New(s Store, t *membership.Table, m Meet, r *timeline.Recorder, firstStart bool) *Rendezvous {
	return &Rendezvous{store: s, table: t, meet: m, recorder: r, alone: firstStart}
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

		select {
		case <-ctx.Done():
		case <-time.After(next):
		}
	}
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

// step renews the record, or writes it if there is none, and meets others if it
// was not there or nobody is known.
func (r *Rendezvous) step(ctx context.Context) error {
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

	if r.met {
		r.met = false

		return nil
	}

	_, err := r.meetOthers(ctx, false)

	return err
}

// lookAgain meets nodes that are recorded and not known, at a few nodes at a time. A
// fleet that was cut in two while it started, or whose first meetings failed, stays in
// two halves otherwise, since gossip goes to known nodes only: callers of a failure domain
// with one backend server of a service were turned away in a third of the cases while
// others had slots to spare. A few are enough, since who is met tells the rest.
func (r *Rendezvous) lookAgain(ctx context.Context) error {
	if rand.IntN(max(r.table.CountLive(), 1)) >= lookers {
		return nil
	}

	_, err := r.meetOthers(ctx, true)

	return err
}

// meetEarlier meets nodes that were there before this process, ahead of the calls that
// make its own record: until it knows them it has neither a version nor whom to send
// calls to. The list may be old, which costs a tenth; who is met has the newest. Nodes
// that start at the same time find each other by their records.
func (r *Rendezvous) meetEarlier(ctx context.Context) {
	if r.alone {
		return
	}

	met, err := r.meetOthers(ctx, true)
	r.met = met >= meetAtOnce
	r.note(err)
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
	}

	return err
}

// meetOthers meets some of the recorded nodes that are not known, and returns how many
// answered.
func (r *Rendezvous) meetOthers(ctx context.Context, stale bool) (int, error) {
	var entries []platform.Entry

	err := r.call(ctx, func(ctx context.Context) (err error) {
		entries, err = r.store.List(ctx, Prefix, stale)

		return err
	})
	if err != nil {
		return 0, err
	}

	met := 0

	for batch := range slices.Chunk(r.addresses(entries), meetAtOnce) {
		if met += r.meetAll(ctx, batch); met >= meetAtOnce {
			break
		}
	}

	return met, nil
}

// meetAll meets nodes at the same time: one that is gone must not hold up the rest.
func (r *Rendezvous) meetAll(ctx context.Context, addresses []string) int {
	var (
		wg  sync.WaitGroup
		met atomic.Int64
	)

	for _, address := range addresses {
		if r.table.LiveAt(address) {
			continue
		}

		wg.Go(func() {
			if r.meet(ctx, address) {
				met.Add(1)
			}
		})
	}

	wg.Wait()

	return int(met.Load())
}

// addresses returns the recorded addresses in random order, of the own failure domain
// and of others by turns. Those of the own one are nearest, but with them first all nodes
// of a failure domain that started in the same moment met each other alone: in 2 of 24
// starts of 16 nodes some never heard of the other failure domains.
func (r *Rendezvous) addresses(entries []platform.Entry) []string {
	var near, far []string

	self := r.table.Self()

	for _, i := range rand.Perm(len(entries)) {
		rec, err := DecodeRecord(entries[i].Value)
		if err != nil {
			r.recorder.Once(event.EntryDoubted, timeline.Entry{Detail: entries[i].Key + ": " + err.Error()})

			continue
		}

		if rec.Address == self.PeerAddress {
			continue
		}

		if rec.FailureDomain == self.FailureDomain {
			near = append(near, rec.Address)
		} else {
			far = append(far, rec.Address)
		}
	}

	return alternate(near, far)
}

// alternate takes one of each by turns, then what is left of the longer.
func alternate(a, b []string) []string {
	out := make([]string, 0, len(a)+len(b))

	for len(a) > 0 && len(b) > 0 {
		out = append(out, a[0], b[0])
		a, b = a[1:], b[1:]
	}

	return append(append(out, a...), b...)
}

// Leave removes the record.
func (r *Rendezvous) Leave(ctx context.Context) {
	_ = r.call(ctx, func(ctx context.Context) error { // it ends with its lease otherwise
		return r.store.Delete(ctx, Prefix+r.table.Self().ID)
	})
}
