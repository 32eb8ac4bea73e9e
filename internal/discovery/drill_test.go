package discovery_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/epoch"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/timeline"
)

// storeCopy is a copy of a store's content.
type storeCopy struct {
	keys    map[string]platform.Entry
	leases  map[platform.Lease]bool
	expires map[platform.Lease]time.Time
	last    platform.Lease
}

func (s *store) snapshot() (c storeCopy) {
	s.set(func() { c = storeCopy{maps.Clone(s.keys), maps.Clone(s.leases), maps.Clone(s.expires), s.last} })

	return c
}

// restore replaces the store's content with an older copy. Lease numbers are assigned again.
func (s *store) restore(c storeCopy) {
	s.set(func() {
		s.keys, s.leases, s.expires, s.last = maps.Clone(c.keys), maps.Clone(c.leases), maps.Clone(c.expires), c.last
		s.unavailable = false
		s.epochNumber++
	})
}

// clientView is a node's view of the store, in which each reply carries the epoch.
type clientView struct {
	*store

	epoch *epoch.Current
}

func (s *store) clientOf(e *epoch.Current) clientView { return clientView{s, e} }

func (c clientView) observe(err error) error {
	var epochNumber uint64

	c.set(func() { epochNumber = c.epochNumber + 1 })

	if err == nil && !c.epoch.Observe(epochNumber) {
		return platform.ErrUnknown
	}

	return err
}

func (c clientView) List(ctx context.Context, prefix string, stale bool) ([]platform.Entry, error) {
	out, err := c.store.List(ctx, prefix, stale)

	return out, c.observe(err)
}

func (c clientView) Put(ctx context.Context, e platform.Entry) error {
	return c.observe(c.store.Put(ctx, e))
}

func (c clientView) Grant(ctx context.Context, life time.Duration) (platform.Lease, error) {
	l, err := c.store.Grant(ctx, life)

	return l, c.observe(err)
}

func (c clientView) KeepAlive(ctx context.Context, l platform.Lease) error {
	return c.observe(c.store.KeepAlive(ctx, l))
}

// announceEpoch makes all nodes observe the store's epoch at random times within a period.
func (g *fleet) announceEpoch(s *store, within time.Duration) {
	var epochNumber uint64

	s.set(func() { epochNumber = s.epochNumber + 1 })

	for _, e := range g.epochs {
		time.AfterFunc(rand.N(within), func() { e.Observe(epochNumber) })
	}
}

// nodesThatNeedRecords returns the nodes that must have a record.
func (g *fleet) nodesThatNeedRecords() map[string]bool {
	const recordsEach = 4

	out := map[string]bool{}

	for id, table := range g.tables {
		if table.Chosen(id, g.domains[id], recordsEach) {
			out[id] = true
		}
	}

	return out
}

// The store assigns a node's lease number to another node, so that renewals succeed although
// the first node's record is missing.
func TestRecordIsRewrittenIfItsLeaseIsReassigned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		g := newFleet(1, 3)
		empty := s.snapshot()

		g.startNode(t, s, "n1", g.domains["n1"])
		time.Sleep(5 * time.Second)
		s.restore(empty)
		g.startNode(t, s, "n2", g.domains["n2"])
		time.Sleep(900 * time.Millisecond) // n2 has the lease number that n1 had
		assert.Assert(t, s.has("n2"))

		g.announceEpoch(s, time.Millisecond)
		time.Sleep(2 * time.Second)
		assert.Assert(t, s.has("n1"))
		assert.Equal(t, len(g.events["n1"].Entries(timeline.Filter{Event: event.PlatformRewritten.Name})), 1)
	})
}

// The store recovers from an outage without leases, and nodes that wait for a retry observe
// the new epoch late.
func TestRecordsAreRewrittenSoonAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		g := newFleet(2, 4)
		empty := s.snapshot()

		for id, domain := range g.domains {
			g.startNode(t, s, id, domain)
		}

		time.Sleep(20 * time.Second)
		s.set(func() { s.unavailable = true })
		time.Sleep(40 * time.Second)
		s.restore(empty)
		g.announceEpoch(s, 200*time.Millisecond)
		time.Sleep(2 * time.Second)
		assert.Equal(t, s.size(), len(g.domains))
	})
}

// Guards against an epoch change that makes every host of a large fleet call the store at
// once.
func TestEpochChangeSpreadsCallsOfALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			domains, each = 14, 21
			hosts         = domains * each
			mostCalls     = hosts / 2 // per second
		)

		s := newStore()
		s.delay = 4 * time.Millisecond
		g := newFleet(domains, each)
		empty := s.snapshot()

		for id, domain := range g.domains {
			g.startNode(t, s, id, domain)
		}

		time.Sleep(time.Minute)

		needed := g.nodesThatNeedRecords()

		s.restore(empty)
		g.announceEpoch(s, 10*time.Millisecond)

		for second := range 3 {
			before := s.cost()
			time.Sleep(time.Second)
			t.Logf("%.0f calls in second %d", s.cost()-before, second)
			assert.Assert(t, s.cost()-before <= mostCalls, "%.0f calls", s.cost()-before)

			if second == 1 {
				for id := range g.nodesThatNeedRecords() {
					assert.Assert(t, s.has(id) || !needed[id], id)
				}
			}
		}
	})
}
