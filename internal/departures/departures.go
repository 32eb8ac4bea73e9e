// Package departures keeps which backend servers were confirmed to leave, beyond
// the life of the process that confirmed it.
//
// # What goes wrong without it
//
// A node confirms that its backend server may leave and is killed in the next
// moment. The process that follows it hears a heartbeat that was sent before, takes
// the backend server for ready and sends it calls, which are cut off when it ends.
//
// The record lies in the platform's store. While the store can't be reached, other
// nodes hold it in memory instead: a leaving is kept once Copies of them have it. Which
// nodes these are follows from the instance, so that the next process asks the same ones.
// Of 85 nodes that are drawn, eight know of a record on two others in 18 of 100 cases.
//
// # Usage
//
//	d := departures.New(store, peers, members)
//	server.Handle(departures.MethodKeep, peer.Typed(d.ServeKeep))
//	err := d.Keep(ctx, instance)
//	gone, err := d.Departed(ctx, instance)
package departures

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/platform"
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
	// Copies is how many other nodes hold a record that the store does not: one may
	// end together with this one.
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

// Instance names a backend server's process.
type Instance struct {
	ID string `msgpack:"ID"`
}

// Known says whether a node holds a record.
type Known struct {
	Departed bool `msgpack:"Departed"`
}

// Departures keeps and finds records.
type Departures struct {
	store   Store
	peers   Peers
	members Members

	mu   sync.Mutex
	held map[string]time.Time
}

// New returns departures that hold no record.
func New(s Store, p Peers, m Members) *Departures {
	return &Departures{store: s, peers: p, members: m, held: map[string]time.Time{}}
}

// Keep returns nil once the record is where a later process finds it.
func (d *Departures) Keep(ctx context.Context, instance string) error {
	d.hold(instance)

	storeErr := d.write(ctx, instance)
	if storeErr == nil {
		time.AfterFunc(life, func() { d.remove(instance) })

		return nil
	}

	copies := len(d.askAll(ctx, d.holders(instance), MethodKeep, instance, Copies))
	if copies >= Copies {
		return nil
	}

	return ErrNotKept.With("%s: %d copies", instance, copies).Wrap(storeErr)
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
func (d *Departures) askAll(ctx context.Context, addresses []string, method, instance string, enough int) []Known {
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()

	answers := make(chan *Known, len(addresses))

	for _, address := range addresses {
		go func() {
			k := &Known{}
			if d.peers.Do(ctx, address, peer.LaneControl, method, Instance{ID: instance}, k) != nil {
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

func (d *Departures) write(ctx context.Context, instance string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()

	return d.store.Put(ctx, platform.Entry{Key: Prefix + instance, Value: []byte(instance)})
}

// remove drops a record that nobody needs any more. One that stays behind since
// this process ended first does no harm: an instance is never started twice.
func (d *Departures) remove(instance string) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTime)
	defer cancel()

	_ = d.store.Delete(ctx, Prefix+instance) // see above
}

// Departed reports whether an instance was confirmed to leave. The error means
// that the store could not be asked, and no node that was asked knows of it.
func (d *Departures) Departed(ctx context.Context, instance string) (bool, error) {
	if d.holds(instance) {
		return true, nil
	}

	// A record may lie with nodes alone, if the store was away when it was made. They
	// are asked beside it.
	holders := d.holders(instance)
	asked := make(chan []Known, 1)

	go func() { asked <- d.askAll(ctx, holders, MethodAsk, instance, len(holders)-Copies+1) }()

	storeErr := d.read(ctx, instance)
	if storeErr == nil {
		return true, nil
	}

	answers := <-asked
	if slices.ContainsFunc(answers, func(k Known) bool { return k.Departed }) {
		return true, nil
	}

	if errors.Is(storeErr, platform.ErrNotFound) {
		return false, nil
	}

	return false, ErrNotKept.With("%s: %d nodes asked", instance, len(answers)).Wrap(storeErr)
}

func (d *Departures) read(ctx context.Context, instance string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()

	_, _, err := d.store.Get(ctx, Prefix+instance)

	return err
}

// ServeKeep holds a record for another node.
func (d *Departures) ServeKeep(_ context.Context, in Instance) (Known, error) {
	d.hold(in.ID)

	return Known{Departed: true}, nil
}

// ServeAsk tells another node whether a record is held here.
func (d *Departures) ServeAsk(_ context.Context, in Instance) (Known, error) {
	return Known{Departed: d.holds(in.ID)}, nil
}

func (d *Departures) hold(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	now := time.Now()

	if len(d.held) >= maxHeld {
		d.forget(now)
	}

	d.held[instance] = now
}

func (d *Departures) forget(now time.Time) {
	for id, at := range d.held {
		if now.Sub(at) > life {
			delete(d.held, id)
		}
	}
}

func (d *Departures) holds(instance string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	_, ok := d.held[instance]

	return ok
}
