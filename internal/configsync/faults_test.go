package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
)

// Sizes of one version on the wire, in bytes, with 2,600 routes.
const (
	storedBytes = 400_000
	fullBytes   = 25_000
	deltaBytes  = 300
)

// faults are the impairments of single nodes.
type faults struct {
	frozen  map[string]bool          // the process stands still
	delay   map[string]time.Duration // added to each step of a slow process
	decodes map[string]time.Duration // how long the process takes to decode a version
	cut     map[string]bool          // cut off from all other nodes without an error
	deadAt  map[string]time.Time     // the process ended
	lingers time.Duration            // how long an ended process stays in the membership view
	links   map[string]*link         // links that are not instantaneous
	whole   bool                     // no node has the base of a delta
}

// link carries one transfer after the other, or shares its rate among all.
type link struct {
	bytesPerSecond float64
	freeAt         time.Time
	shares         bool
	active         int
}

// share waits until the bytes have passed a link that all transfers share.
func (sim *simulation) share(ctx context.Context, l *link, bytes int) {
	const step = 5 * time.Millisecond

	sim.locked(func() { l.active++ })
	defer sim.locked(func() { l.active-- })

	for left := float64(bytes); left > 0 && ctx.Err() == nil; {
		waitFor(ctx, step)
		sim.locked(func() { left -= l.bytesPerSecond * step.Seconds() / float64(l.active) })
	}
}

func newFaults() faults {
	return faults{
		frozen: map[string]bool{}, delay: map[string]time.Duration{}, decodes: map[string]time.Duration{}, cut: map[string]bool{},
		deadAt: map[string]time.Time{}, lingers: 3 * time.Second, links: map[string]*link{},
	}
}

// pause lets a process that is frozen or slow wait before its next step.
func (n *node) pause(ctx context.Context) {
	const step = 5 * time.Millisecond

	for ctx.Err() == nil {
		var frozen bool

		n.simulation.locked(func() { frozen = n.simulation.faults.frozen[n.id] })

		if !frozen {
			break
		}

		time.Sleep(step)
	}

	var delay time.Duration

	n.simulation.locked(func() { delay = n.simulation.faults.delay[n.id] })
	waitFor(ctx, delay)
}

func waitFor(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}

	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// transfer waits until the bytes have passed the links of the nodes. A transfer that is given up
// still occupies the links.
func (sim *simulation) transfer(ctx context.Context, bytes int, ids ...string) {
	var (
		until  time.Time
		shared *link
	)

	sim.locked(func() {
		for _, id := range ids {
			l := sim.faults.links[id]

			switch {
			case l == nil:
			case l.shares:
				shared = l
			default:
				start := time.Now()
				if l.freeAt.After(start) {
					start = l.freeAt
				}

				l.freeAt = start.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))

				if l.freeAt.After(until) {
					until = l.freeAt
				}
			}
		}
	})

	if shared != nil {
		sim.share(ctx, shared, bytes)
	}

	if !until.IsZero() {
		waitFor(ctx, time.Until(until))
	}
}

// wireBytes returns the size of a message with a version.
func (f *faults) wireBytes(u versionUpdate) int {
	switch {
	case len(u.Packed) == 0:
		return 0
	case u.Base == 0 || f.whole:
		return fullBytes
	}

	return deltaBytes
}

// unreachable reports whether messages between two nodes get no answer; sim.mu is held.
func (sim *simulation) unreachable(one, other string) bool {
	f := &sim.faults

	return f.cut[one] || f.cut[other] || f.frozen[other]
}

// listed reports whether a node is in the membership view; sim.mu is held.
func (sim *simulation) listed(id string) bool {
	at, dead := sim.faults.deadAt[id]

	return !dead || time.Since(at) < sim.faults.lingers
}

// listedRecords returns the records of the nodes in the membership view.
func (sim *simulation) listedRecords() []membership.Record {
	sim.mu.Lock()
	defer sim.mu.Unlock()

	out := make([]membership.Record, 0, len(sim.records))

	for _, r := range sim.records {
		if sim.listed(r.ID) {
			out = append(out, r)
		}
	}

	return out
}

// gossipNearby exchanges versions between the nodes, nine times of ten within a failure domain.
func (sim *simulation) gossipNearby(t *testing.T, random *rand.Rand) {
	t.Helper()

	const round = 500 * time.Millisecond

	ctx, cancel := context.WithCancel(context.Background())

	var wg sync.WaitGroup

	wg.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(round)

			for i, r := range sim.records {
				j := random.IntN(len(sim.records))
				if random.IntN(10) != 0 {
					j = (i + sim.domains*random.IntN(len(sim.records))) % len(sim.records)
				}

				if sim.records[j].FailureDomain != r.FailureDomain && random.IntN(10) != 0 {
					continue
				}

				one, other := sim.node(r.ID), sim.node(sim.records[j].ID)
				if one != other && sim.reaches(one, other) {
					wg.Go(func() { one.syncer.ObserveVersion(ctx, other.id, other.holder.Number()) })
					wg.Go(func() { other.syncer.ObserveVersion(ctx, one.id, one.holder.Number()) })
				}
			}
		}
	})

	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}
