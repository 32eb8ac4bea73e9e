// Package archive keeps refused requests in the platform's store, so that they outlast the gates of their service.
//
// Without it, a request that has crashed two backend servers is unknown once the processes of all gates of its
// service have ended together, and crashes two more.
//
// An entry is bound to a lease and is removed when the request is no longer refused. While the store can't be reached, what
// the gates know is all there is.
//
// # Usage
//
//	watch := poison.NewWatch(self, members, peers, recorder).WithArchive(archive.New(store, service))
package archive

import (
	"context"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pollencart/pollencart/internal/epoch"
	"github.com/pollencart/pollencart/internal/nesting"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/poison"
)

// Prefix of the store keys; the service and the digest of the request follow.
const Prefix = "pollencart/poison/"

// leaseReuse is how long a lease is used for more entries. They end that much earlier at most.
const leaseReuse = 30 * time.Second

// Store is the part of the platform's store that this package uses.
type Store interface {
	List(ctx context.Context, prefix string, stale bool) ([]platform.Entry, error)
	Put(ctx context.Context, e platform.Entry) error
	Delete(ctx context.Context, key string) error
	Grant(ctx context.Context, ttl time.Duration) (platform.Lease, error)
}

// Archive has the refused requests of one service.
type Archive struct {
	store  Store
	prefix string
	// empty reports that no earlier process can have kept anything.
	empty bool
	epoch *epoch.Current // of the store

	mu      sync.Mutex
	lease   platform.Lease
	granted time.Time
	// grantedIn is the epoch of the lease. In the next one, its number may belong to another node.
	grantedIn uint64
}

var _ poison.Archive = (*Archive)(nil)

// record is a value in the store.
type record struct {
	Report poison.Report `msgpack:"Report"`
	// Until is the end of the refusal in Unix milliseconds.
	Until int64 `msgpack:"Until"`
}

// New returns the archive of a service.
func New(s Store, service string) *Archive {
	return &Archive{store: s, prefix: Prefix + service + "/", epoch: epoch.New()}
}

// WithEpoch sets the epoch of the store, which may lose entries when it changes.
func (a *Archive) WithEpoch(e *epoch.Current) *Archive {
	a.epoch = e

	return a
}

// Changed returns a channel that is closed when the store may have lost entries.
func (a *Archive) Changed() <-chan struct{} { return a.epoch.Changed() }

// WithFirstStart sets whether this is the first start of the whole system, in which there is nothing to load.
func (a *Archive) WithFirstStart(first bool) *Archive {
	a.empty = first

	return a
}

// Keep writes what is known of a request.
func (a *Archive) Keep(ctx context.Context, r poison.Report) error {
	value, err := msgpack.Marshal(record{Report: r, Until: time.Now().Add(r.Left).UnixMilli()})
	if err != nil {
		return err
	}

	lease, err := a.grant(ctx)
	if err != nil {
		return err
	}

	err = a.store.Put(ctx, platform.Entry{Key: a.key(r.Suspect.Digest), Value: value, Lease: lease})
	if errors.Is(err, platform.ErrNotFound) {
		a.drop(lease)
	}

	return err
}

// grant returns a lease for the longest refusal.
func (a *Archive) grant(ctx context.Context) (platform.Lease, error) {
	a.mu.Lock()
	defer a.mu.Unlock()

	current := a.epoch.Number()
	if a.lease != 0 && time.Since(a.granted) < leaseReuse && a.grantedIn == current {
		return a.lease, nil
	}

	now := time.Now()

	lease, err := a.store.Grant(ctx, poison.Hold)
	if err != nil {
		return 0, err
	}

	a.lease, a.granted, a.grantedIn = lease, now, current

	return lease, nil
}

// drop gives up a lease that has ended.
func (a *Archive) drop(lease platform.Lease) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.lease == lease {
		a.lease = 0
	}
}

// Forget removes a request.
func (a *Archive) Forget(ctx context.Context, d poison.Digest) error {
	return a.store.Delete(ctx, a.key(d))
}

// Load returns the requests that are still refused. Entries that can't be read are skipped.
func (a *Archive) Load(ctx context.Context) ([]poison.Report, error) {
	if a.empty {
		return nil, nil
	}

	entries, err := a.store.List(ctx, a.prefix, true)
	if err != nil {
		return nil, err
	}

	var out []poison.Report

	for _, e := range entries {
		r, err := decode(e.Value)
		if err != nil || e.Key != a.key(r.Report.Suspect.Digest) {
			continue
		}

		if r.Report.Left = time.Until(time.UnixMilli(r.Until)); r.Report.Left > 0 {
			out = append(out, r.Report)
		}
	}

	return out, nil
}

func decode(value []byte) (record, error) {
	var r record

	if err := nesting.CheckMsgpack(value); err != nil {
		return r, err
	}

	return r, msgpack.Unmarshal(value, &r)
}

func (a *Archive) key(d poison.Digest) string { return a.prefix + hex.EncodeToString(d[:]) }
