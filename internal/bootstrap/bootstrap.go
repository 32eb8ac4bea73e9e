// Package bootstrap lets nodes find each other through the platform: for each
// failure domain one record with the peer addresses of a few of its nodes.
//
//	b := bootstrap.New(store, table, "nottm-a")
//	g := membership.NewGossip(table, peers, membership.Seek(b.Seek))
//	go b.Run(ctx, g.Meet)
//
// What it costs the platform grows with the number of failure domains, never
// with that of nodes: only a domain's watchers write, by compare-and-swap, and
// only once most of the recorded addresses are gone; a node that knows others
// reads nothing.
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

// Prefix of the records' keys; the failure domain follows.
const Prefix = "/pollencart/fleet/"

const (
	// watchers is how many nodes of a domain keep its record.
	watchers = 2
	// kept is how many addresses a record holds: enough that a rack that dies
	// leaves some, and few enough to be asked one after the other.
	kept = 8
	// look is the pause between looks at the own table, which cost the platform
	// nothing; each sixth reads all records, to meet nodes that came up cut off
	// from all that this one knows.
	look      = 10 * time.Second
	readEvery = 6
	// spreadOut is over how long the first reads of a herd that starts together
	// are spread: 4,300 nodes ask for some 1,400 of the platform's 2,000 reads a
	// second. firstPause and lastPause bound the pause between the next ones.
	spreadOut  = 3 * time.Second
	firstPause = 4 * time.Second
	lastPause  = time.Minute
	timeout    = 2 * time.Second
)

// Record is the value of a failure domain.
type Record struct {
	FailureDomain string   `json:"FailureDomain"`
	Addresses     []string `json:"Addresses"`
}

// Store is what is needed of the platform.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	List(ctx context.Context, prefix string) ([]platform.Entry, error)
	Swap(ctx context.Context, key string, revision int64, value []byte, opts ...platform.PutOption) (int64, error)
}

// Bootstrap reads the records, and keeps that of one failure domain.
type Bootstrap struct {
	store  Store
	table  *membership.Table
	domain string

	mu    sync.Mutex
	last  []string // the domain's addresses as last read or written
	pause time.Duration
	next  time.Time
}

// New returns a bootstrap of the node whose table it is.
func New(s Store, t *membership.Table, domain string) *Bootstrap {
	return &Bootstrap{store: s, table: t, domain: domain, next: time.Now().Add(rand.N(spreadOut))}
}

// Seek returns the recorded addresses of all failure domains, or nothing if it is
// too soon to read them again.
func (b *Bootstrap) Seek(ctx context.Context) []string {
	if !b.due() {
		return nil
	}

	addresses, err := b.read(ctx)
	if err != nil {
		return nil
	}

	return addresses
}

// due reports whether it is time to read. The pause doubles and its end is
// random, so that a herd that starts together does not read together.
func (b *Bootstrap) due() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	now := time.Now()
	if now.Before(b.next) {
		return false
	}

	b.pause = min(max(2*b.pause, firstPause), lastPause)
	b.next = now.Add(b.pause/2 + rand.N(b.pause))

	return true
}

func (b *Bootstrap) read(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	entries, err := b.store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}

	var out []string

	for _, e := range entries {
		var r Record
		if json.Unmarshal(e.Value, &r) != nil {
			continue // a record that can't be read is written anew by its watchers
		}

		out = append(out, r.Addresses...)

		if r.FailureDomain == b.domain {
			b.remember(r.Addresses)
		}
	}

	return out, nil
}

func (b *Bootstrap) remember(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.last = addresses
}

// Meet gets to know the node at an address, and reports whether it answered.
type Meet func(ctx context.Context, address string) bool

// Run keeps the domain's record while this node is one of its watchers, until ctx
// ends.
func (b *Bootstrap) Run(ctx context.Context, meet Meet) {
	pause := rand.N(spreadOut)

	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}

		pause = look/2 + rand.N(look)

		if !b.table.Chosen(b.table.Self().ID, b.domain, watchers) {
			continue
		}

		if n%readEvery == 0 {
			b.meetOthers(ctx, meet)
		}

		_ = b.keep(ctx, meet) // the next look tries again
	}
}

func (b *Bootstrap) meetOthers(ctx context.Context, meet Meet) {
	addresses, err := b.read(ctx)
	if err == nil {
		meetAny(ctx, meet, slices.DeleteFunc(addresses, b.table.LiveAt))
	}
}

func meetAny(ctx context.Context, meet Meet, addresses []string) bool {
	for _, i := range rand.Perm(len(addresses)) {
		if meet(ctx, addresses[i]) {
			return true
		}
	}

	return false
}

// keep writes the record if it has to be.
func (b *Bootstrap) keep(ctx context.Context, meet Meet) error {
	if b.good() {
		return nil
	}

	entry, err := b.current(ctx)
	if err != nil || b.good() {
		return err
	}

	// A process that has just started knows nobody, and must not take the addresses
	// of a whole domain for gone: it asks there first.
	if meetAny(ctx, meet, slices.DeleteFunc(b.recorded(), b.table.LiveAt)) {
		return nil
	}

	return b.write(ctx, entry.Revision)
}

// current reads the domain's record, which another watcher may have written.
func (b *Bootstrap) current(ctx context.Context) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	entry, err := b.store.Get(ctx, Prefix+b.domain)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Entry{}, nil
	}

	var r Record
	if json.Unmarshal(entry.Value, &r) == nil {
		b.remember(r.Addresses)
	}

	return entry, err
}

func (b *Bootstrap) write(ctx context.Context, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	next := Record{FailureDomain: b.domain}
	for _, r := range b.table.FirstOf(b.domain, kept) {
		next.Addresses = append(next.Addresses, r.PeerAddress)
	}

	data, err := json.Marshal(next)
	if err != nil {
		return err
	}

	if _, err := b.store.Swap(ctx, Prefix+b.domain, revision, data); err != nil {
		return err // lost or refused: read again at the next look
	}

	b.remember(next.Addresses)

	return nil
}

func (b *Bootstrap) recorded() []string {
	b.mu.Lock()
	defer b.mu.Unlock()

	return slices.Clone(b.last)
}

// good reports whether at least half of what a record should hold is recorded and
// live.
func (b *Bootstrap) good() bool {
	want := len(b.table.FirstOf(b.domain, kept))
	live := 0

	for _, a := range b.recorded() {
		if b.table.LiveAt(a) {
			live++
		}
	}

	return 2*live >= max(want, 1)
}
