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

// older is a copy of what a store holds.
type older struct {
	keys   map[string]platform.Entry
	leases map[platform.Lease]bool
	ends   map[platform.Lease]time.Time
	last   platform.Lease
}

func (s *store) copied() (c older) {
	s.set(func() { c = older{maps.Clone(s.keys), maps.Clone(s.leases), maps.Clone(s.ends), s.last} })

	return c
}

// back has the store come back from an older copy. Numbers of leases are given out again.
func (s *store) back(c older) {
	s.set(func() {
		s.keys, s.leases, s.ends, s.last = maps.Clone(c.keys), maps.Clone(c.leases), maps.Clone(c.ends), c.last
		s.away = false
		s.number++
	})
}

// client is the store as a node sees it, with the epoch in each answer.
type client struct {
	*store

	epoch *epoch.Current
}

func (s *store) at(e *epoch.Current) client { return client{s, e} }

func (c client) heard(err error) error {
	var number uint64

	c.set(func() { number = c.number + 1 })

	if err == nil && !c.epoch.Observe(number) {
		return platform.ErrUnknown
	}

	return err
}

func (c client) List(ctx context.Context, prefix string, stale bool) ([]platform.Entry, error) {
	out, err := c.store.List(ctx, prefix, stale)

	return out, c.heard(err)
}

func (c client) Put(ctx context.Context, e platform.Entry) error { return c.heard(c.store.Put(ctx, e)) }

func (c client) Grant(ctx context.Context, life time.Duration) (platform.Lease, error) {
	l, err := c.store.Grant(ctx, life)

	return l, c.heard(err)
}

func (c client) KeepAlive(ctx context.Context, l platform.Lease) error {
	return c.heard(c.store.KeepAlive(ctx, l))
}

// hear has all nodes hear of the store's epoch within a time.
func (g *meetings) hear(s *store, within time.Duration) {
	var number uint64

	s.set(func() { number = s.number + 1 })

	for _, e := range g.epochs {
		time.AfterFunc(rand.N(within), func() { e.Observe(number) })
	}
}

// need returns the nodes that have to have a record.
func (g *meetings) need() map[string]bool {
	const recordsEach = 4

	out := map[string]bool{}

	for id, table := range g.tables {
		if table.Chosen(id, g.domains[id], recordsEach) {
			out[id] = true
		}
	}

	return out
}

// The store gave a node's lease to another one: its renewals succeed, and its record is gone.
func TestALeaseThatWasGivenToAnotherNodeIsTakenAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		g := newMeetings(1, 3)
		empty := s.copied()

		g.run(t, s, "n1", g.domains["n1"])
		time.Sleep(5 * time.Second)
		s.back(empty)
		g.run(t, s, "n2", g.domains["n2"])
		time.Sleep(900 * time.Millisecond) // n2 has the lease that n1 had
		assert.Assert(t, s.has("n2"))

		g.hear(s, time.Millisecond)
		time.Sleep(2 * time.Second)
		assert.Assert(t, s.has("n1"))
		assert.Equal(t, len(g.told["n1"].Entries(timeline.Filter{Event: event.PlatformRewritten.Name})), 1)
	})
}

// The store is away and comes back without leases; nodes that wait to try again hear of it late.
func TestRecordsAreThereSoonAfterAStoreThatWasAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		g := newMeetings(2, 4)
		empty := s.copied()

		for id, domain := range g.domains {
			g.run(t, s, id, domain)
		}

		time.Sleep(20 * time.Second)
		s.set(func() { s.away = true })
		time.Sleep(40 * time.Second)
		s.back(empty)
		g.hear(s, 200*time.Millisecond)
		time.Sleep(2 * time.Second)
		assert.Equal(t, s.size(), len(g.domains))
	})
}

// A change of the epoch that sends every host of a large fleet to the store at once.
func TestAChangeOfTheEpochBringsFewCallsOfALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			domains, each = 14, 21
			hosts         = domains * each
			mostCalls     = hosts / 2 // in a second
		)

		s := newStore()
		s.delay = 4 * time.Millisecond
		g := newMeetings(domains, each)
		empty := s.copied()

		for id, domain := range g.domains {
			g.run(t, s, id, domain)
		}

		time.Sleep(time.Minute)

		needed := g.need()

		s.back(empty)
		g.hear(s, 10*time.Millisecond)

		for second := range 3 {
			before := s.asked()
			time.Sleep(time.Second)
			t.Logf("%.0f calls in second %d", s.asked()-before, second)
			assert.Assert(t, s.asked()-before <= mostCalls, "%.0f calls", s.asked()-before)

			if second == 1 {
				for id := range g.need() {
					assert.Assert(t, s.has(id) || !needed[id], id)
				}
			}
		}
	})
}
