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

// store is an in-memory store of the platform.
type store struct {
	mu          sync.Mutex
	keys        map[string][]byte
	unavailable bool
	puts        int
}

func (s *store) Get(_ context.Context, key string) (platform.Entry, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	switch {
	case s.unavailable:
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

	if s.unavailable {
		return platform.ErrUnavailable
	}

	s.keys[e.Key] = e.Value

	return nil
}

func (s *store) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.unavailable = unavailable
}

func (s *store) Delete(context.Context, string) error { return nil }

// fleet delivers messages between nodes and ranks the other nodes.
type fleet struct {
	nodes map[string]*tombstone.Registry
	self  string
}

func (f fleet) Do(ctx context.Context, address string, _ peer.Lane, method string, in, out any) error {
	n, ok := f.nodes[address]
	if !ok {
		return errors.New("cut")
	}

	var err error

	if method == tombstone.MethodKeep {
		*out.(*tombstone.Reply), err = n.ServeKeep(ctx, in.(tombstone.Instance))
	} else {
		*out.(*tombstone.Reply), err = n.ServeAsk(ctx, in.(tombstone.Instance))
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

func newFleet(s *store, count int) map[string]*tombstone.Registry {
	nodes := map[string]*tombstone.Registry{}
	for i := range count {
		address := string(rune('a' + i))
		f := fleet{nodes, address}
		nodes[address] = tombstone.New(s, f, f)
	}

	return nodes
}

// A node confirms the departure of its backend server and is killed. The next process on
// the host finds the record in the store.
func TestNextProcessFindsTheRecord(t *testing.T) {
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

// The store is unavailable both when the departure is confirmed and when the next process
// starts. Other nodes hold the record meanwhile.
func TestOtherNodesHoldTheRecordWhileTheStoreIsUnavailable(t *testing.T) {
	s := &store{keys: map[string][]byte{}, unavailable: true}
	nodes := newFleet(s, 4)
	assert.NilError(t, nodes["a"].Keep(context.Background(), "i-1", 0))

	f := fleet{nodes, "a"}
	departed, err := tombstone.New(s, f, f).Departed(context.Background(), "i-1", 0)
	assert.NilError(t, err)
	assert.Assert(t, departed)
}

// The store is unavailable when one of many nodes confirms a departure and is killed.
// Guards against a next process that queries other nodes than those that hold the record,
// and sends calls that are cut off when the backend server ends.
func TestRecordHeldOnlyByNodesIsFoundInALargeFleet(t *testing.T) {
	s := &store{keys: map[string][]byte{}, unavailable: true}
	nodes := newFleet(s, 80)

	for i := range 50 {
		instance := "i-" + strconv.Itoa(i)
		s.unavailable = true
		assert.NilError(t, nodes["a"].Keep(context.Background(), instance, 0))

		s.unavailable = false
		f := fleet{nodes, "a"}
		departed, err := tombstone.New(s, f, f).Departed(context.Background(), instance, 0)
		assert.NilError(t, err)
		assert.Assert(t, departed, instance)
	}
}

// The store is unavailable and too few other nodes are reachable.
func TestKeepFailsWithOneCopy(t *testing.T) {
	nodes := newFleet(&store{unavailable: true}, 2)
	assert.ErrorIs(t, nodes["a"].Keep(context.Background(), "i-1", 0), tombstone.ErrNotKept)
}

// An unreachable store and fleet must not be taken for the absence of a record.
func TestDepartedFailsIfStoreAndNodesAreUnreachable(t *testing.T) {
	nodes := newFleet(&store{unavailable: true}, 1)
	_, err := nodes["a"].Departed(context.Background(), "i-1", 0)
	assert.ErrorIs(t, err, tombstone.ErrNotKept)
}

// A backend server restarts under its ID after a confirmed departure. Guards against a
// next process that never uses the new instance.
func TestRecordCoversItsInstanceAndEarlierOnes(t *testing.T) {
	for name, unavailable := range map[string]bool{"in the store": false, "with nodes": true} {
		t.Run(name, func(t *testing.T) {
			s := &store{keys: map[string][]byte{}, unavailable: unavailable}
			nodes := newFleet(s, 4)
			assert.NilError(t, nodes["a"].Keep(context.Background(), "i-1", 100))

			s.unavailable = false
			next := tombstone.New(s, fleet{nodes, "a"}, fleet{nodes, "a"})

			for started, want := range map[int64]bool{0: true, 99: true, 100: true, 101: false} {
				departed, err := next.Departed(context.Background(), "i-1", started)
				assert.NilError(t, err)
				assert.Equal(t, departed, want, "start %d", started)
			}
		})
	}
}

// Another writer replaced the record with unreadable bytes. The departure was confirmed,
// so the record covers every instance.
func TestUnreadableRecordCoversEveryInstance(t *testing.T) {
	s := &store{keys: map[string][]byte{tombstone.Prefix + "i-1": []byte("\xff{")}}
	nodes := newFleet(s, 1)

	departed, err := nodes["a"].Departed(context.Background(), "i-1", 100)
	assert.NilError(t, err)
	assert.Assert(t, departed)
}
