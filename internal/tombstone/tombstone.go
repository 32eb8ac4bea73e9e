// Package tombstone keeps which backend servers were confirmed to leave, beyond
// the life of the process that confirmed it.
//
// # What goes wrong without it
//
// A node confirms that its backend server may leave and is killed in the next
// moment. The process that follows it hears a heartbeat that was sent before, takes
// the backend server for ready and sends it calls, which are cut off when it ends.
//
// The record lies in the platform's store, and other nodes hold it in memory. While the
// store can't be reached a leaving is kept once Copies of them have it. Which nodes these
// are follows from the instance, so that the next process asks the same ones. Of 85 nodes
// that are drawn, eight know of a record on two others in 18 of 100 cases.
//
// The store may come back from an older copy, without records that it acknowledged. Who
// made one writes it again when the store's epoch changes, and if that process is gone by
// then, the next one finds it at the other nodes.
//
// # Usage
//
//	d := tombstone.New(store, peers, members)
//	server.Handle(tombstone.MethodKeep, peer.Typed(d.ServeKeep))
//	go d.Run(ctx)
//	err := d.Keep(ctx, instance)
//	gone, err := d.Departed(ctx, instance)
package tombstone

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/epoch"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrNotKept means that neither the store nor enough nodes hold the record.
var ErrNotKept = errs.New("departures.not_kept", http.StatusServiceUnavailable, "the leaving could not be kept")

// Methods between nodes.
const (
	MethodKeep = "Departures.Keep"
	MethodAsk  = "Departures.Ask"
)

// Prefix of the records' keys; the instance follows.
const Prefix = "pollencart/departures/"

const (
	// Copies is how many other nodes are enough while the store does not hold a record:
	// one may end together with this one.
	Copies = 2
	// holders and holdersNear are how many nodes of all and of the own failure domain
	// are asked to hold a record: some may be out of reach, or all but the own failure
	// domain.
	holders     = 4
	holdersNear = 2
	// storeTime is ten times what a busy store needs; a confirmation that takes
	// longer than a second is of no use to the backend server.
	storeTime = 300 * time.Millisecond
	// peerTime bounds each question to a node.
	peerTime = 300 * time.Millisecond
	// meetTime is ten times what a process needs to know others after its start; it looks
	// again each meetPause.
	meetTime  = 300 * time.Millisecond
	meetPause = 10 * time.Millisecond
	// life is how long a record is kept: backend servers end some seconds after
	// their confirmation, at times many.
	life = 2 * time.Minute
	// maxHeld bounds the memory for records of others.
	maxHeld = 4096
)

// Store is what is needed of the platform.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, int64, error)
	Put(ctx context.Context, e platform.Entry) error
	Delete(ctx context.Context, key string) error
}

// Peers sends messages to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Members gives other nodes in an order that follows from a key.
type Members interface {
	Ranked(key string, count int) []membership.Record
	// RankedIn is Ranked among those of the own failure domain.
	RankedIn(key string, count int) []membership.Record
}

// Instance names a start of a backend server's process.
type Instance struct {
	ID string `json:"ID" msgpack:"ID"`
	// Started tells starts of the same ID apart, in Unix milliseconds; 0 if the backend
	// server did not tell it. A confirmation binds its start and all before it: bound by
	// the ID alone, a backend server that starts again would stay unused.
	Started int64 `json:"Started" msgpack:"Started"`
}

// binds reports whether a record of this start is a confirmation of the other's. A
// start that is not known may be any.
func (i Instance) binds(o Instance) bool {
	return i.ID == o.ID && (o.Started == 0 || i.Started == 0 || o.Started <= i.Started)
}

// Known says whether a node holds a record.
type Known struct {
	Departed bool `msgpack:"Departed"`
	// Started is the start that the record names.
	Started int64 `msgpack:"Started"`
}

// Departures keeps and finds records.
type Departures struct {
	store   Store
	peers   Peers
	members Members
	// epoch is that of the store.
	epoch    *epoch.Current
	changed  <-chan struct{} // since this process can have kept a record
	recorder *timeline.Recorder

	mu   sync.Mutex
	held map[string]record
}

// New returns departures that hold no record.
func New(s Store, p Peers, m Members) *Departures {
	return &Departures{store: s, peers: p, members: m, held: map[string]record{}, epoch: epoch.New(), recorder: timeline.New()}
}

// Keep returns nil once the record is where a later process finds it.
func (d *Departures) Keep(ctx context.Context, id string, started int64) error {
	instance := Instance{ID: id, Started: started}
	d.hold(instance, true)

	copied := make(chan int, 1)

	go func() { copied <- len(d.askAll(ctx, d.holders(id), MethodKeep, instance, Copies)) }()

	storeErr := d.write(ctx, instance)
	copies := <-copied

	if storeErr == nil {
		d.removeLater(instance)

		return nil
	}

	if copies >= Copies {
		return nil
	}

	return ErrNotKept.With("%s: %d copies", id, copies).Wrap(storeErr)
}

// holders returns the nodes that hold the record of an instance if the store does not.
func (d *Departures) holders(instance string) []string {
	var out []string

	for _, r := range append(d.members.Ranked(instance, holders), d.members.RankedIn(instance, holdersNear)...) {
		if !slices.Contains(out, r.PeerAddress) {
			out = append(out, r.PeerAddress)
		}
	}

	return out
}

// askAll asks nodes at the same time and returns the first answers, at most as many as
// are enough. One that is gone must not hold up the others' word.
func (d *Departures) askAll(ctx context.Context, addresses []string, method string, instance Instance, enough int) []Known {
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()

	answers := make(chan *Known, len(addresses))

	for _, address := range addresses {
		go func() {
			k := &Known{}
			if d.peers.Do(ctx, address, peer.LaneControl, method, instance, k) != nil {
				k = nil // it tells nothing
			}

			answers <- k
		}()
	}

	var out []Known

	for range addresses {
		if k := <-answers; k != nil {
			out = append(out, *k)
		}

		if len(out) >= enough {
			break
		}
	}

	return out
}

func (d *Departures) write(ctx context.Context, instance Instance) error {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()

	value, err := json.Marshal(instance)
	if err != nil {
		return err
	}

	return d.store.Put(ctx, platform.Entry{Key: Prefix + instance.ID, Value: value})
}

// remove drops a record that nobody needs any more. One that stays behind since
// this process ended first does no harm: later starts are not bound by it. One that was
// written anew for a later start stays.
func (d *Departures) remove(instance Instance) {
	if !d.removing(instance) {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), storeTime)
	defer cancel()

	_ = d.store.Delete(ctx, Prefix+instance.ID) // see above
}

// Departed reports whether a start was confirmed to leave, or one after it; a start of
// 0 is any. The error means that the store could not be asked, and no node that was
// asked knows of it.
func (d *Departures) Departed(ctx context.Context, id string, started int64) (bool, error) {
	instance := Instance{ID: id, Started: started}
	if d.known(instance).Departed {
		return true, nil
	}

	// A record may lie with nodes alone, if the store was away when it was made. They
	// are asked beside it.
	asked := make(chan []Known, 1)

	go func() {
		holders := d.awaitHolders(ctx, id)
		asked <- d.askAll(ctx, holders, MethodAsk, instance, len(holders)-Copies+1)
	}()

	kept, storeErr := d.read(ctx, id)
	if storeErr == nil && kept.binds(instance) {
		d.found(kept)

		return true, nil
	}

	answers := <-asked
	for _, k := range answers {
		if k.Departed {
			d.found(Instance{ID: id, Started: k.Started})

			return true, nil
		}
	}

	if storeErr == nil || errors.Is(storeErr, platform.ErrNotFound) {
		return false, nil
	}

	return false, ErrNotKept.With("%s: %d nodes asked", id, len(answers)).Wrap(storeErr)
}

// awaitHolders returns the holders of a record, which a process that has just started may not
// know yet.
func (d *Departures) awaitHolders(ctx context.Context, id string) []string {
	out := d.holders(id)

	for began := time.Now(); len(out) == 0 && ctx.Err() == nil && time.Since(began) < meetTime; out = d.holders(id) {
		idle.For(ctx, meetPause)
	}

	return out
}

// found takes over a record of an earlier process on this host, which can't write it again.
// One that names no start binds any, and is not taken further than it is.
func (d *Departures) found(i Instance) {
	if i.Started != 0 {
		d.hold(i, true)
	}
}

// read returns the record of an instance. One whose value can't be read was still
// written for this instance, so it binds every start: a backend server that is used
// again after it was confirmed to leave cuts calls off, one that is not costs its slots
// until the record goes.
func (d *Departures) read(ctx context.Context, id string) (Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()

	e, _, err := d.store.Get(ctx, Prefix+id)
	if err != nil {
		return Instance{}, err
	}

	var kept Instance
	if json.Unmarshal(e.Value, &kept) != nil || kept.ID != id {
		return Instance{ID: id}, nil
	}

	return kept, nil
}
