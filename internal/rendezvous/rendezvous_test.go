package rendezvous_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/rendezvous"
	"github.com/pollencart/pollencart/internal/timeline"
)

// store holds leased records.
type store struct {
	mu     sync.Mutex
	keys   map[string]platform.Entry
	leases map[platform.Lease]bool
	last   platform.Lease
	away   bool
	calls  int
	// readOnly has writes fail.
	readOnly bool
}

func newStore() *store {
	return &store{keys: map[string]platform.Entry{}, leases: map[platform.Lease]bool{}}
}

func (s *store) call(f func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.calls++

	if s.away {
		return platform.ErrUnavailable
	}

	return f()
}

func (s *store) List(context.Context, string, bool) ([]platform.Entry, error) {
	var out []platform.Entry

	err := s.call(func() error {
		for _, e := range s.keys {
			out = append(out, e)
		}

		return nil
	})

	return out, err
}

func (s *store) Put(_ context.Context, e platform.Entry) error {
	return s.call(func() error {
		if s.readOnly {
			return platform.ErrUnavailable
		}

		if !s.leases[e.Lease] {
			return platform.ErrNotFound
		}

		s.keys[e.Key] = e

		return nil
	})
}

func (s *store) Grant(context.Context, time.Duration) (platform.Lease, error) {
	err := s.call(func() error {
		s.last++
		s.leases[s.last] = true

		return nil
	})

	return s.last, err
}

func (s *store) KeepAlive(_ context.Context, l platform.Lease) error {
	return s.call(func() error {
		if !s.leases[l] {
			return platform.ErrNotFound
		}

		return nil
	})
}

func (s *store) Delete(_ context.Context, key string) error {
	return s.call(func() error {
		delete(s.keys, key)

		return nil
	})
}

func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()

	f()
}

func (s *store) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	_, ok := s.keys[rendezvous.Prefix+id]

	return ok
}

func table(id string) *membership.Table {
	return membership.NewTable(membership.Record{ID: id, PeerAddress: "a-" + id, FailureDomain: "derby"}, timeline.New())
}

func start(t *testing.T, s *store, id string) (met func() []string) {
	t.Helper()

	return process(t, s, id, true)
}

func process(t *testing.T, s *store, id string, firstStart bool) (met func() []string) {
	t.Helper()

	var (
		mu   sync.Mutex
		list []string
		wg   sync.WaitGroup
	)

	r := rendezvous.New(s, table(id), func(_ context.Context, address string) bool {
		mu.Lock()
		defer mu.Unlock()

		list = append(list, address)

		return true
	}, timeline.New(), firstStart)

	ctx, cancel := context.WithCancel(context.Background())
	wg.Go(func() { r.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})

	return func() []string {
		mu.Lock()
		defer mu.Unlock()

		return list
	}
}

func TestNodesMeet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		start(t, s, "n1")
		time.Sleep(time.Second)

		met := start(t, s, "n2")
		time.Sleep(time.Second)
		assert.DeepEqual(t, met(), []string{"a-n1"})
	})
}

// A process starts again and the store does not take its record yet, which is slow or
// at its rate. It has to know the others all the same: without them it has neither
// settings nor nodes for its callers' calls.
func TestOthersAreKnownBeforeTheOwnRecordIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		start(t, s, "n1")
		time.Sleep(time.Second)
		s.set(func() { s.readOnly = true })

		met := process(t, s, "n2", false)
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, slices.Contains(met(), "a-n1"))
	})
}

// The store takes the record of a living node away, with its lease. The node writes
// it anew at its next renewal, and nobody who knows it cares.
func TestARecordThatWasTakenAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		start(t, s, "n1")
		time.Sleep(time.Second)
		s.set(func() {
			clear(s.keys)
			clear(s.leases)
		})
		time.Sleep(11 * time.Second)
		assert.Assert(t, s.has("n1"))
	})
}

// The store is away for a minute. It is asked a bounded number of times, and the
// record is there soon after it is back.
func TestAStoreThatIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.set(func() { s.away = true })
		start(t, s, "n1")
		time.Sleep(time.Minute)
		s.set(func() {
			assert.Assert(t, s.calls < 40, "%d", s.calls)
			s.away = false
		})
		time.Sleep(7 * time.Second)
		assert.Assert(t, s.has("n1"))
	})
}
