package discovery_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/discovery"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/timeline"
)

// store holds leased records.
type store struct {
	mu     sync.Mutex
	keys   map[string]platform.Entry
	leases map[platform.Lease]bool
	ends   map[platform.Lease]time.Time
	last   platform.Lease
	number uint64 // of changes of the epoch
	away   bool
	calls  int
	// stale is how many of the calls were lists that may be old, which cost a tenth. They
	// lack what was written within the lag.
	stale   int
	lag     time.Duration
	written map[string]time.Time
	// readOnly has writes fail.
	readOnly bool
	delay    time.Duration
}

func newStore() *store {
	return &store{
		keys: map[string]platform.Entry{}, leases: map[platform.Lease]bool{}, ends: map[platform.Lease]time.Time{},
		written: map[string]time.Time{},
	}
}

func (s *store) call(f func() error) error {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()

	s.calls++

	if s.away {
		return platform.ErrUnavailable
	}

	return f()
}

func (s *store) List(_ context.Context, _ string, stale bool) ([]platform.Entry, error) {
	var out []platform.Entry

	err := s.call(func() error {
		s.expire()

		if stale {
			s.stale++
		}

		for _, e := range s.keys {
			if stale && time.Since(s.written[e.Key]) < s.lag {
				continue
			}

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
		s.written[e.Key] = time.Now()

		return nil
	})
}

func (s *store) Grant(_ context.Context, life time.Duration) (platform.Lease, error) {
	var granted platform.Lease

	err := s.call(func() error {
		s.last++
		granted = s.last
		s.leases[s.last] = true
		s.ends[s.last] = time.Now().Add(life)

		return nil
	})

	return granted, err
}

func (s *store) KeepAlive(_ context.Context, l platform.Lease) error {
	const life = 30 * time.Second

	return s.call(func() error {
		if !s.leases[l] {
			return platform.ErrNotFound
		}

		s.ends[l] = time.Now().Add(life)

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

// expire drops the keys whose leases have ended.
func (s *store) expire() {
	maps.DeleteFunc(s.keys, func(_ string, e platform.Entry) bool { return e.Lease != 0 && !time.Now().Before(s.ends[e.Lease]) })
}

func (s *store) size() int { return len(s.ids()) }

// ids returns the nodes that have a record.
func (s *store) ids() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.expire()

	var out []string
	for key := range s.keys {
		out = append(out, strings.TrimPrefix(key, discovery.Prefix))
	}

	return out
}

// asked is how many calls are paid for.
func (s *store) asked() float64 {
	const spared = 0.9 // of a list that may be old

	s.mu.Lock()
	defer s.mu.Unlock()

	return float64(s.calls) - spared*float64(s.stale)
}

func (s *store) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	_, ok := s.keys[discovery.Prefix+id]

	return ok
}

// address is where the node n1, n2, ... is met.
func address(id string) string {
	const octet = 256

	number, err := strconv.Atoi(strings.TrimPrefix(id, "n"))
	if err != nil {
		panic(err)
	}

	return fmt.Sprintf("10.0.%d.%d:7", number/octet, number%octet)
}

func table(id string) *membership.Table {
	return membership.NewTable(membership.Record{ID: id, PeerAddress: address(id), FailureDomain: "derby"}, timeline.New())
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

	known := table(id)
	r := discovery.New(s, known, func(_ context.Context, address string) bool {
		mu.Lock()
		defer mu.Unlock()

		list = append(list, address)
		known.Merge([]membership.Record{{ID: address, State: membership.StateAlive, FailureDomain: "derby", PeerAddress: address}})

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
		assert.DeepEqual(t, met(), []string{address("n1")})
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
		assert.Assert(t, slices.Contains(met(), address("n1")))
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

// Somebody else writes below the prefix of the records: fields of another type, no
// address, bytes that are no record. Each names nobody to meet and is told once; the
// nodes of the other records are met all the same.
func TestRecordsOfOtherWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		for i, value := range []string{`{"Address":7}`, `{"FailureDomain":"derby"}`, `{"Address":"nowhere"}`, "\xff\x00{", `[]`, ``} {
			key := discovery.Prefix + strconv.Itoa(i)
			s.keys[key] = platform.Entry{Key: key, Value: []byte(value), Revision: 5}
		}

		start(t, s, "n1")
		time.Sleep(time.Second)

		recorder := timeline.New()
		var met []string

		r := discovery.New(s, table("n2"), func(_ context.Context, address string) bool {
			met = append(met, address)

			return true
		}, recorder, true)

		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		r.Run(ctx)

		assert.Assert(t, slices.Contains(met, address("n1")))
		assert.Equal(t, len(slices.Compact(met)), 1)
		assert.Equal(t, len(recorder.Entries(timeline.Filter{})), 6)
	})
}

// FuzzDecodeRecord looks for bytes that make a record which nobody can be met by.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"Address":"10.0.0.1:7","FailureDomain":"derby"}`))
	f.Add([]byte(`{"Address":""}`))
	f.Add([]byte(`{"Address":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := discovery.DecodeRecord(data)
		if err != nil {
			assert.ErrorIs(t, err, discovery.ErrRecord)

			return
		}

		_, _, err = net.SplitHostPort(r.Address)
		assert.NilError(t, err)
	})
}

// A large fleet starts for the first time. With a record of each node, the store is asked
// four times a node, and as often again at each restart of all: the users pay for calls
// that only repeat what a few records say. All nodes know each other all the same.
func TestAFewNodesOfAFailureDomainHaveRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			domains, each = 6, 50
			mostRecords   = domains * 16
			mostCalls     = 4 * domains * each / 3
		)

		s := newStore()
		s.delay, s.lag = 4*time.Millisecond, 400*time.Millisecond
		g := newMeetings(domains, each)

		for id, domain := range g.domains {
			g.run(t, s, id, domain)
		}

		time.Sleep(4 * time.Second)
		assert.Equal(t, g.reached(), len(g.domains))
		t.Logf("%d records, %.0f calls", s.size(), s.asked())
		assert.Assert(t, s.size() <= mostRecords, "%d records", s.size())
		assert.Assert(t, s.asked() <= mostCalls, "%.0f calls", s.asked())
	})
}

// All nodes that have the records of a failure domain end without a word. Others write
// theirs before the old ones lapse, so that a node that starts then finds somebody.
func TestRecordsOfNodesThatAreGoneAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.delay = 4 * time.Millisecond
		g := newMeetings(1, 20)

		for id, domain := range g.domains {
			g.run(t, s, id, domain)
		}

		time.Sleep(30 * time.Second)

		gone := s.ids()
		g.end(gone)
		time.Sleep(20 * time.Second)

		left := slices.DeleteFunc(s.ids(), func(id string) bool { return slices.Contains(gone, id) })
		assert.Assert(t, len(left) > 0, "no record of a node that runs")
	})
}

// All hosts of three failure domains start in the same moment, so that each node finds
// the records of all others when it first looks. Nodes that meet others of their own
// failure domain alone never hear of the rest: callers there are turned away for hours
// while backend servers elsewhere have slots to spare.
func TestAllFailureDomainsGetToKnowEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.delay = 4 * time.Millisecond
		g := newMeetings(3, 5)

		for id, domain := range g.domains {
			g.run(t, s, id, domain)
		}

		time.Sleep(time.Second)
		assert.Equal(t, g.reached(), len(g.domains))
	})
}

// Those that a node met at its start were cut off from the rest, or ended before they
// told anybody. It looks again now and then, and the two halves find each other.
func TestHalvesFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.delay = 4 * time.Millisecond
		g := newMeetings(2, 5)
		g.cut = true

		for id, domain := range g.domains {
			g.run(t, s, id, domain)
		}

		time.Sleep(5 * time.Second)
		assert.Equal(t, g.reached(), 5)
		g.heal()
		time.Sleep(30 * time.Second)
		assert.Equal(t, g.reached(), len(g.domains))
	})
}
