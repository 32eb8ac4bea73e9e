// Package tombstone keeps durable records of backend server instances whose departure
// was confirmed.
//
// # Problem
//
// A node confirms the departure of its backend server and is killed immediately after.
// Its next process receives a heartbeat that was sent earlier, considers the backend
// server ready and sends it calls, which are cut off when the backend server ends.
//
// Records are written to the platform's store and copied to the memory of other nodes.
// While the store is unavailable, MinCopies copies are enough for a confirmation. The
// instance ID determines which nodes hold the copies, so that the next process queries
// the same ones. With nodes chosen at random instead, querying eight of 85 nodes finds a
// record held by two of them in only 18 of 100 cases.
//
// The store may be restored from an older copy that lacks acknowledged records. Each
// process rewrites its records when the store's epoch changes. If that process has
// ended, the next one finds the records on the other nodes.
//
// # Usage
//
//	d := tombstone.New(store, peers, members)
//	server.Handle(tombstone.MethodKeep, peer.Typed(d.ServeKeep))
//	server.Handle(tombstone.MethodAsk, peer.Typed(d.ServeAsk))
//	go d.Run(ctx)
//	err := d.Keep(ctx, id, started)
//	departed, err := d.Departed(ctx, id, started)
package tombstone

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/epoch"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrNotKept means that the record could not be stored or looked up: the store is
// unavailable, and too few nodes hold or report the record.
var ErrNotKept = errs.New("departures.not_kept", http.StatusServiceUnavailable, "the leaving could not be kept")

// Methods of the protocol between nodes.
const (
	MethodKeep = "Departures.Keep"
	MethodAsk  = "Departures.Ask"
)

// Prefix of the store keys; the instance ID follows.
const Prefix = "pollencart/departures/"

const (
	// MinCopies is the number of other nodes that must hold a record while the store does
	// not. One of them may end together with this node.
	MinCopies = 2
	// replicas and nearReplicas are the numbers of nodes, in the whole fleet and in
	// the same failure domain, that receive a copy. Some nodes, or all other failure
	// domains, may be unreachable.
	replicas     = 4
	nearReplicas = 2
	// storeTimeout is ten times what a busy store needs. A backend server waits one second
	// for its confirmation.
	storeTimeout = 300 * time.Millisecond
	// peerTimeout bounds each query to other nodes.
	peerTimeout = 300 * time.Millisecond
	// memberWait is ten times what a process needs to learn of other nodes after its start.
	// It polls for them at memberPollInterval.
	memberWait         = 300 * time.Millisecond
	memberPollInterval = 10 * time.Millisecond
	// recordTTL outlasts the time between a confirmation and the end of the backend server,
	// which is usually some seconds and occasionally much longer.
	recordTTL = 2 * time.Minute
	// maxRecords is the number of records in memory above which expired ones are evicted.
	maxRecords = 4096
)

// Store is the part of the platform's store that this package uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, int64, error)
	Put(ctx context.Context, e platform.Entry) error
	Delete(ctx context.Context, key string) error
}

// Peers sends messages to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

// Members returns other nodes in an order determined by a key.
type Members interface {
	Ranked(key string, count int) []membership.Record
	// RankedIn is like Ranked, limited to the same failure domain.
	RankedIn(key string, count int) []membership.Record
}

// Search reports whether this node has looked for others since its start.
type Search interface {
	Searched() bool
}

type alwaysSearched struct{}

func (alwaysSearched) Searched() bool { return true }

// Instance identifies one run of a backend server's process.
type Instance struct {
	ID string `json:"ID" msgpack:"ID"`
	// Started is the start time in Unix milliseconds, or 0 if the backend server did not
	// report it. It distinguishes instances with the same ID: a record covers its instance
	// and all earlier ones. If it covered every instance with the ID, a backend server that
	// restarts would stay unused.
	Started int64 `json:"Started" msgpack:"Started"`
}

// covers reports whether a record of i confirms the departure of o. An unknown start time
// matches any.
func (i Instance) covers(o Instance) bool {
	return i.ID == o.ID && (o.Started == 0 || i.Started == 0 || o.Started <= i.Started)
}

// Reply reports whether a node holds a record.
type Reply struct {
	Departed bool `msgpack:"Departed"`
	// Started is the start time in the record.
	Started int64 `msgpack:"Started"`
}

// Registry stores and looks up records of confirmed departures.
type Registry struct {
	store   Store
	peers   Peers
	members Members
	// epoch is the epoch of the store.
	epoch        *epoch.Current
	epochChanged <-chan struct{} // set by WithEpoch, so that Run sees changes from before its start
	recorder     *timeline.Recorder
	search       Search
	unwritten    chan struct{} // wakes Run

	mu      sync.Mutex
	records map[string]record
}

// New returns a Registry without records.
func New(s Store, p Peers, m Members) *Registry {
	return &Registry{
		store: s, peers: p, members: m, records: map[string]record{}, epoch: epoch.New(), recorder: timeline.New(), search: alwaysSearched{},
		unwritten: make(chan struct{}, 1),
	}
}

// WithSearch sets what tells whether this node has looked for others. Without it, it has.
func (d *Registry) WithSearch(s Search) *Registry {
	d.search = s

	return d
}

// Keep stores the record and returns nil once a later process can find it.
func (d *Registry) Keep(ctx context.Context, id string, started int64) error {
	instance := Instance{ID: id, Started: started}
	d.add(instance, true)

	copied := make(chan int, 1)

	go func() { copied <- len(d.queryAll(ctx, d.replicas(id), MethodKeep, instance, MinCopies)) }()

	storeErr := d.write(ctx, instance)
	copies := <-copied

	if storeErr == nil {
		d.scheduleRemoval(instance)

		return nil
	}

	if copies >= MinCopies {
		d.writeLater() // the nodes with the copies may end

		return nil
	}

	return ErrNotKept.With("%s: %d copies", id, copies).Wrap(storeErr)
}

// replicas returns the addresses of the nodes that hold copies of an instance's record.
func (d *Registry) replicas(instance string) []string {
	var out []string

	for _, r := range append(d.members.Ranked(instance, replicas), d.members.RankedIn(instance, nearReplicas)...) {
		if !slices.Contains(out, r.PeerAddress) {
			out = append(out, r.PeerAddress)
		}
	}

	return out
}

// queryAll queries nodes concurrently and returns the first replies, up to enough of
// them, so that an unreachable node does not delay the result.
func (d *Registry) queryAll(ctx context.Context, addresses []string, method string, instance Instance, enough int) []Reply {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	answers := make(chan *Reply, len(addresses))

	for _, address := range addresses {
		go func() {
			k := &Reply{}
			if d.peers.Do(ctx, address, peer.LaneControl, method, instance, k) != nil {
				k = nil // failed queries count as no reply
			}

			answers <- k
		}()
	}

	var out []Reply

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

func (d *Registry) write(ctx context.Context, instance Instance) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	value, err := json.Marshal(instance)
	if err != nil {
		return err
	}

	if err := d.store.Put(ctx, platform.Entry{Key: Prefix + instance.ID, Value: value}); err != nil {
		return err
	}

	d.setWritten(instance)

	return nil
}

// remove deletes an expired record from the store, unless a later instance has replaced
// it. A record left behind by a process that ended first is harmless: it does not cover
// later instances.
func (d *Registry) remove(instance Instance) {
	if !d.beginRemoval(instance) {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()

	_ = d.store.Delete(ctx, Prefix+instance.ID) // a record left behind is harmless
}

// Departed reports whether the departure of the instance, or of a later one with the same
// ID, was confirmed. A start time of 0 matches any instance. An error means that this is not
// known: the store is unavailable, or too few of the nodes that may hold the record replied.
func (d *Registry) Departed(ctx context.Context, id string, started int64) (bool, error) {
	instance := Instance{ID: id, Started: started}
	if d.lookup(instance).Departed {
		return true, nil
	}

	// If the store was unavailable when the record was made, or has lost it since, only other
	// nodes hold it. They are queried while the store is read.
	asked := make(chan replies, 1)

	go func() { asked <- d.askReplicas(ctx, instance) }()

	stored, storeErr := d.read(ctx, id)
	if storeErr == nil && stored.covers(instance) {
		d.adopt(stored)
		d.recordLookup(instance, "the store has the record", nil)

		return true, nil
	}

	answers := <-asked
	if holder := answers.holder; holder != nil {
		d.adopt(Instance{ID: id, Started: holder.Started})
		d.writeLater() // the store lacks it
		d.recordLookup(instance, "another node has the record; "+answers.String(), storeErr)

		return true, nil
	}

	inStore := storeErr == nil || errors.Is(storeErr, platform.ErrNotFound)
	if inStore && answers.denied {
		d.recordLookup(instance, "no record; "+answers.String(), storeErr)

		return false, nil
	}

	d.recordLookup(instance, "not known; "+answers.String(), storeErr)

	return false, ErrNotKept.With("%s: %s", id, answers).Wrap(storeErr)
}

// replies are those of the nodes that may hold a record.
type replies struct {
	asked, heard int
	searched     bool   // this node has looked for others
	holder       *Reply // of a node that holds the record
	denied       bool   // enough nodes replied that they do not hold it
}

func (r replies) String() string {
	return fmt.Sprintf("%d of %d nodes replied, searched %t", r.heard, r.asked, r.searched)
}

// askReplicas asks the nodes that may hold a record. The record is denied if fewer than MinCopies nodes
// are left that may hold it, or if there are no other nodes. Both require that this node has looked for
// others.
func (d *Registry) askReplicas(ctx context.Context, instance Instance) replies {
	nodes := d.awaitReplicas(ctx, instance.ID)
	enough := max(1, len(nodes)-MinCopies+1)
	answers := d.queryAll(ctx, nodes, MethodAsk, instance, enough)
	out := replies{asked: len(nodes), heard: len(answers), searched: d.search.Searched()}

	for _, k := range answers {
		if k.Departed {
			out.holder = &k
		}
	}

	out.denied = out.searched && (len(nodes) == 0 || out.heard >= enough)

	return out
}

// recordLookup records the outcome of a lookup. A store without the record is no failure.
func (d *Registry) recordLookup(i Instance, outcome string, storeErr error) {
	if storeErr != nil && !errors.Is(storeErr, platform.ErrNotFound) {
		outcome += "; store: " + storeErr.Error()
	}

	d.recorder.Record(event.DepartureLookedUp, timeline.Entry{
		Detail: fmt.Sprintf("%s started at %d: %s; store epoch %d", i.ID, i.Started, outcome, d.epoch.Number()),
	})
}

// awaitReplicas returns the nodes that may hold a record. A process that has just started
// waits up to memberWait to learn of them: with only some of them it would ask the wrong ones.
func (d *Registry) awaitReplicas(ctx context.Context, id string) []string {
	out := d.replicas(id)

	for began := time.Now(); ctx.Err() == nil && time.Since(began) < memberWait; out = d.replicas(id) {
		if d.search.Searched() && len(out) > 0 {
			break
		}

		idle.For(ctx, memberPollInterval)
	}

	return out
}

// adopt takes over the record of an earlier process on this host, so that this process
// rewrites it after an epoch change. A record without a start time covers every instance
// and is not adopted.
func (d *Registry) adopt(i Instance) {
	if i.Started != 0 {
		d.add(i, true)
	}
}

// read returns the stored record of an instance ID. An unreadable value still shows that a
// departure was confirmed, so it covers every instance: reusing a departed backend server
// cuts calls off, while leaving one unused only costs its slots until the record expires.
func (d *Registry) read(ctx context.Context, id string) (Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	e, _, err := d.store.Get(ctx, Prefix+id)
	if err != nil {
		return Instance{}, err
	}

	var stored Instance
	if json.Unmarshal(e.Value, &stored) != nil || stored.ID != id {
		return Instance{ID: id}, nil
	}

	return stored, nil
}
