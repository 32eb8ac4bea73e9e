package tombstone_test

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/tombstone"
)

// store is the platform's store.
type store struct {
	mu   sync.Mutex
	keys map[string][]byte
	away bool
	puts int
}

func (s *store) Get(_ context.Context, key string) (platform.Entry, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	switch {
	case s.away:
		return platform.Entry{}, 0, platform.ErrUnavailable
	case s.keys[key] == nil:
		return platform.Entry{}, 0, platform.ErrNotFound
	}

	return platform.Entry{Key: key, Value: s.keys[key]}, 0, nil
}

func (s *store) Put(_ context.Context, e platform.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.puts++

	if s.away {
		return platform.ErrUnavailable
	}

	s.keys[e.Key] = e.Value

	return nil
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.away = away
}

func (s *store) Delete(context.Context, string) error { return nil }

// fleet carries messages between nodes, and gives the others in an order.
type fleet struct {
	nodes map[string]*tombstone.Departures
	self  string
}

func (f fleet) Do(ctx context.Context, address string, _ peer.Lane, method string, in, out any) error {
	n, ok := f.nodes[address]
	if !ok {
		return errors.New("cut")
	}

	var err error

	if method == tombstone.MethodKeep {
		*out.(*tombstone.Known), err = n.ServeKeep(ctx, in.(tombstone.Instance))
	} else {
		*out.(*tombstone.Known), err = n.ServeAsk(ctx, in.(tombstone.Instance))
	}

	return err
}

func (f fleet) Ranked(key string, count int) []membership.Record {
	var out []membership.Record

	for address := range f.nodes {
		if address != f.self {
			out = append(out, membership.Record{PeerAddress: address})
		}
	}

	slices.SortFunc(out, func(a, b membership.Record) int {
		return cmp.Compare(xxhash.Sum64String(key+a.PeerAddress), xxhash.Sum64String(key+b.PeerAddress))
	})

	return out[:min(count, len(out))]
}

func (f fleet) RankedIn(string, int) []membership.Record { return nil }

func newFleet(s *store, count int) map[string]*tombstone.Departures {
	nodes := map[string]*tombstone.Departures{}
	for i := range count {
		address := string(rune('a' + i))
		f := fleet{nodes, address}
		nodes[address] = tombstone.New(s, f, f)
	}

	return nodes
}

// A node confirms that its backend server may leave and is killed. The next process
// on the host finds that in the store.
func TestTheNextProcessFindsIt(t *testing.T) {
	s := &store{keys: map[string][]byte{}}
	nodes := newFleet(s, 2)
	assert.NilError(t, nodes["a"].Keep(context.Background(), "i-1", 0))

	f := fleet{nodes, "a"}
	next := tombstone.New(s, f, f)
	departed, err := next.Departed(context.Background(), "i-1", 0)
	assert.NilError(t, err)
	assert.Assert(t, departed)

	departed, err = next.Departed(context.Background(), "i-2", 0)
	assert.NilError(t, err)
	assert.Assert(t, !departed)
}

// The store is away when the leaving is confirmed, and also when the next process
// starts. Other nodes hold it meanwhile.
func TestOthersHoldItWhileTheStoreIsAway(t *testing.T) {
	s := &store{keys: map[string][]byte{}, away: true}
	nodes := newFleet(s, 4)
	assert.NilError(t, nodes["a"].Keep(context.Background(), "i-1", 0))

	f := fleet{nodes, "a"}
	departed, err := tombstone.New(s, f, f).Departed(context.Background(), "i-1", 0)
	assert.NilError(t, err)
	assert.Assert(t, departed)
}

// The store was away when one of many nodes confirmed a leaving and was killed. The next
// process asks those that hold the record, not others; else it takes the backend server
// for one that stays, and calls sent there are cut off when it ends.
func TestARecordThatLiesWithNodesAloneIsFoundAmongMany(t *testing.T) {
	s := &store{keys: map[string][]byte{}, away: true}
	nodes := newFleet(s, 80)

	for i := range 50 {
		instance := "i-" + strconv.Itoa(i)
		s.away = true
		assert.NilError(t, nodes["a"].Keep(context.Background(), instance, 0))

		s.away = false
		f := fleet{nodes, "a"}
		departed, err := tombstone.New(s, f, f).Departed(context.Background(), instance, 0)
		assert.NilError(t, err)
		assert.Assert(t, departed, instance)
	}
}

// The store is away and too few other nodes can be reached: it is not kept.
func TestOneCopyIsNotEnough(t *testing.T) {
	nodes := newFleet(&store{away: true}, 2)
	assert.ErrorIs(t, nodes["a"].Keep(context.Background(), "i-1", 0), tombstone.ErrNotKept)
}

// Nobody can be asked. That is not the same as nobody knowing of it.
func TestNobodyCanBeAsked(t *testing.T) {
	nodes := newFleet(&store{away: true}, 1)
	_, err := nodes["a"].Departed(context.Background(), "i-1", 0)
	assert.ErrorIs(t, err, tombstone.ErrNotKept)
}

// A backend server was confirmed to leave and starts again under its name. The record
// binds the start that left and those before it; the next process must find the later
// one free, or it would stay unused.
func TestARecordBindsItsStart(t *testing.T) {
	for name, away := range map[string]bool{"in the store": false, "with nodes": true} {
		t.Run(name, func(t *testing.T) {
			s := &store{keys: map[string][]byte{}, away: away}
			nodes := newFleet(s, 4)
			assert.NilError(t, nodes["a"].Keep(context.Background(), "i-1", 100))

			s.away = false
			next := tombstone.New(s, fleet{nodes, "a"}, fleet{nodes, "a"})

			for started, want := range map[int64]bool{0: true, 99: true, 100: true, 101: false} {
				departed, err := next.Departed(context.Background(), "i-1", started)
				assert.NilError(t, err)
				assert.Equal(t, departed, want, "start %d", started)
			}
		})
	}
}

// Somebody wrote bytes that can't be read over the record. The promise was given, so it
// holds for every start.
func TestARecordThatCantBeRead(t *testing.T) {
	s := &store{keys: map[string][]byte{tombstone.Prefix + "i-1": []byte("\xff{")}}
	nodes := newFleet(s, 1)

	departed, err := nodes["a"].Departed(context.Background(), "i-1", 100)
	assert.NilError(t, err)
	assert.Assert(t, departed)
}
