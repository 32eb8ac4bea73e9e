// Package bootstrap lets nodes find each other through the platform. Each failure domain
// has one record with the peer addresses of a few of its nodes.
//
//	b := bootstrap.New(store, table, "nottm-a")
//	g := membership.NewGossip(table, peers, membership.FindPeers(b.FindPeers))
//	go b.Run(ctx, g.Meet)
//
// The load on the platform grows with the number of failure domains, not with the number
// of nodes. Only the watchers of a failure domain write its record, by compare-and-swap and
// only while fewer than half of the addresses that it should hold are live. A node that
// knows other nodes and is no watcher does not read records.
package bootstrap

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/platform"
)

// Prefix of the store keys; the failure domain follows.
const Prefix = "/pollencart/fleet/"

const (
	// watchers is the number of nodes of a failure domain that maintain its record.
	watchers = 2
	// maxAddresses is the number of addresses in a record: enough that some survive the
	// loss of a rack, and few enough to be contacted one after the other.
	maxAddresses = 8
	// checkInterval is the interval between checks of the membership table, which cost the
	// platform nothing. Every sixth check reads all records, to join nodes that started in
	// a partition.
	checkInterval   = 10 * time.Second
	readEveryChecks = 6
	// startSpread is the interval over which nodes that start together spread their first
	// reads: 4,300 nodes use about 1,400 of the platform's 2,000 reads per second.
	// minBackoff and maxBackoff bound the delay between later reads.
	startSpread = 3 * time.Second
	minBackoff  = 4 * time.Second
	maxBackoff  = time.Minute
	callTimeout = 2 * time.Second
)

// Record is the value stored for a failure domain.
type Record struct {
	FailureDomain string   `json:"FailureDomain"`
	Addresses     []string `json:"Addresses"`
}

// Store is the part of the platform's store that this package uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	List(ctx context.Context, prefix string) ([]platform.Entry, error)
	Swap(ctx context.Context, key string, revision int64, value []byte, opts ...platform.PutOption) (int64, error)
}

// Bootstrap reads all records and maintains that of one failure domain.
type Bootstrap struct {
	store  Store
	table  *membership.Table
	domain string

	mu            sync.Mutex
	lastAddresses []string // of the failure domain, as last read or written
	backoff       time.Duration
	nextRead      time.Time
}

// New returns a Bootstrap for the node that owns the table.
func New(s Store, t *membership.Table, domain string) *Bootstrap {
	return &Bootstrap{store: s, table: t, domain: domain, nextRead: time.Now().Add(rand.N(startSpread))}
}

// FindPeers returns the recorded addresses of all failure domains, or nil if the backoff has
// not elapsed or the read fails.
func (b *Bootstrap) FindPeers(ctx context.Context) []string {
	if !b.readDue() {
		return nil
	}

	addresses, err := b.read(ctx)
	if err != nil {
		return nil
	}

	return addresses
}

// readDue reports whether the backoff has elapsed. The backoff doubles with each read and is
// randomized, so that nodes that start together do not read at the same time.
func (b *Bootstrap) readDue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	now := time.Now()
	if now.Before(b.nextRead) {
		return false
	}

	b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
	b.nextRead = now.Add(b.backoff/2 + rand.N(b.backoff))

	return true
}

func (b *Bootstrap) read(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	entries, err := b.store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}

	var out []string

	for _, e := range entries {
		var r Record
		if json.Unmarshal(e.Value, &r) != nil {
			continue // its watchers rewrite an unreadable record
		}

		out = append(out, r.Addresses...)

		if r.FailureDomain == b.domain {
			b.setAddresses(r.Addresses)
		}
	}

	return out, nil
}

func (b *Bootstrap) setAddresses(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.lastAddresses = addresses
}

// Join exchanges member records with the node at an address and reports whether it replied.
type Join func(ctx context.Context, address string) bool

// Run maintains the record while this node is one of the failure domain's watchers, until
// ctx ends.
func (b *Bootstrap) Run(ctx context.Context, join Join) {
	pause := rand.N(startSpread)

	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}

		pause = checkInterval/2 + rand.N(checkInterval)

		if !b.table.Chosen(b.table.Self().ID, b.domain, watchers) {
			continue
		}

		if n%readEveryChecks == 0 {
			b.joinOthers(ctx, join)
		}

		_ = b.maintain(ctx, join) // the next check retries
	}
}

func (b *Bootstrap) joinOthers(ctx context.Context, join Join) {
	addresses, err := b.read(ctx)
	if err == nil {
		joinAny(ctx, join, slices.DeleteFunc(addresses, b.table.LiveAt))
	}
}

func joinAny(ctx context.Context, join Join, addresses []string) bool {
	for _, i := range rand.Perm(len(addresses)) {
		if join(ctx, addresses[i]) {
			return true
		}
	}

	return false
}

// maintain rewrites the record if too few of its addresses are live.
func (b *Bootstrap) maintain(ctx context.Context, join Join) error {
	if b.sufficient() {
		return nil
	}

	entry, err := b.current(ctx)
	if err != nil || b.sufficient() {
		return err
	}

	// A process that has just started knows no other nodes and must not consider all
	// recorded ones failed, so it tries to join them first.
	if joinAny(ctx, join, slices.DeleteFunc(b.recorded(), b.table.LiveAt)) {
		return nil
	}

	return b.write(ctx, entry.Revision)
}

// current reads the record of this failure domain, which another watcher may have written.
func (b *Bootstrap) current(ctx context.Context) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	entry, err := b.store.Get(ctx, Prefix+b.domain)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Entry{}, nil
	}

	var r Record
	if json.Unmarshal(entry.Value, &r) == nil {
		b.setAddresses(r.Addresses)
	}

	return entry, err
}

func (b *Bootstrap) write(ctx context.Context, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	next := Record{FailureDomain: b.domain}
	for _, r := range b.table.FirstOf(b.domain, maxAddresses) {
		next.Addresses = append(next.Addresses, r.PeerAddress)
	}

	data, err := json.Marshal(next)
	if err != nil {
		return err
	}

	if _, err := b.store.Swap(ctx, Prefix+b.domain, revision, data); err != nil {
		return err // the next check reads the record again
	}

	b.setAddresses(next.Addresses)

	return nil
}

func (b *Bootstrap) recorded() []string {
	b.mu.Lock()
	defer b.mu.Unlock()

	return slices.Clone(b.lastAddresses)
}

// sufficient reports whether the live recorded addresses are at least half of those that the
// record should have.
func (b *Bootstrap) sufficient() bool {
	want := len(b.table.FirstOf(b.domain, maxAddresses))
	live := 0

	for _, a := range b.recorded() {
		if b.table.LiveAt(a) {
			live++
		}
	}

	return 2*live >= max(want, 1)
}
