package tombstone_test

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/epoch"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/internal/tombstone"
)

// copied returns what the store holds now.
func (s *store) copied() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()

	return maps.Clone(s.keys)
}

// back has the store come back from an older copy.
func (s *store) back(keys map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.keys, s.away = maps.Clone(keys), false
}

func (s *store) written() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.puts
}

// process is a life of a node that runs until it is stopped.
type process struct {
	*tombstone.Departures

	epoch *epoch.Current
	told  *timeline.Recorder
	stop  func()
}

// run runs another life of the node a, with the others that there are.
func run(t *testing.T, s *store, nodes map[string]*tombstone.Departures) process {
	t.Helper()

	f := fleet{nodes, "a"}
	p := process{epoch: epoch.New(), told: timeline.New()}
	p.Departures = tombstone.New(s, f, f).WithEpoch(p.epoch, p.told)
	p.epoch.Observe(1)

	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})

	go func() {
		defer close(ended)

		p.Run(ctx)
	}()

	p.stop = func() {
		cancel()
		<-ended
	}
	t.Cleanup(p.stop)

	return p
}

// alone is a node that no other one can be asked beside.
func alone() map[string]*tombstone.Departures { return map[string]*tombstone.Departures{} }

func departed(t *testing.T, d *tombstone.Departures) bool {
	t.Helper()

	gone, err := d.Departed(t.Context(), "i-1", 100)
	assert.NilError(t, err)

	return gone
}

// A leaving that the store lost after it was acknowledged is not found by the next process.
func TestALeavingThatTheStoreLostIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{keys: map[string][]byte{}}
		p := run(t, s, alone())
		older := s.copied()

		assert.NilError(t, p.Keep(t.Context(), "i-1", 100))
		s.back(older)
		p.epoch.Observe(2)
		time.Sleep(2 * time.Second)
		p.stop()

		assert.Assert(t, departed(t, run(t, s, alone()).Departures))
		assert.Equal(t, len(p.told.Entries(timeline.Filter{Event: event.PlatformRewritten.Name})), 1)
	})
}

// lossy is a store that comes back older between a write and its answer.
type lossy struct {
	*store

	epoch *epoch.Current
}

func (l lossy) Put(ctx context.Context, e platform.Entry) error {
	older := l.copied()
	err := l.store.Put(ctx, e)

	if l.epoch.Number() == 1 {
		l.back(older)
		l.epoch.Observe(2)
		time.Sleep(2 * time.Second)
	}

	return err
}

// A leaving is acknowledged in one epoch and the answer arrives in the next, after all was rewritten.
func TestALeavingAcknowledgedJustBeforeAChangeIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{keys: map[string][]byte{}}
		e := epoch.New()
		e.Observe(1)

		f := fleet{alone(), "a"}
		d := tombstone.New(lossy{s, e}, f, f).WithEpoch(e, timeline.New())
		ctx, cancel := context.WithCancel(t.Context())

		go d.Run(ctx)

		assert.NilError(t, d.Keep(t.Context(), "i-1", 100))
		cancel()
		synctest.Wait()
		assert.Assert(t, departed(t, run(t, s, alone()).Departures))
	})
}

// The store takes no writes when the epoch changes, and changes it again soon after.
func TestALeavingIsWrittenAgainUntilTheStoreTakesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{keys: map[string][]byte{}}
		p := run(t, s, alone())
		older := s.copied()

		assert.NilError(t, p.Keep(t.Context(), "i-1", 100))

		for number := uint64(2); number < 5; number++ {
			s.back(older)
			s.setAway(true)
			p.epoch.Observe(number)
			time.Sleep(700 * time.Millisecond)
		}

		s.setAway(false)
		time.Sleep(2 * time.Second)
		p.stop()

		assert.Assert(t, departed(t, run(t, s, alone()).Departures))
	})
}

// The process that confirmed a leaving was killed before the store lost the record.
func TestALeavingThatTheStoreLostAfterItsProcessIsFoundAtOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 50 {
			s := &store{keys: map[string][]byte{}}
			nodes := newFleet(s, 80)
			p := run(t, s, nodes)
			older := s.copied()

			assert.NilError(t, p.Keep(t.Context(), "i-1", 100))
			p.stop()
			s.back(older)

			assert.Assert(t, departed(t, run(t, s, nodes).Departures))
		}
	})
}

// A process found the record when it started, and forgets the leaving once the store and others do.
func TestAProcessThatFoundALeavingGoesOnKnowingIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, others := range []int{1, 8} {
			s := &store{keys: map[string][]byte{}}
			nodes := newFleet(s, others)
			older := s.copied()

			first := run(t, s, nodes)
			assert.NilError(t, first.Keep(t.Context(), "i-1", 100))
			first.stop()

			if others > 1 {
				s.back(older) // it lies with the other nodes alone
			}

			second := run(t, s, nodes)
			assert.Assert(t, departed(t, second.Departures))

			time.Sleep(time.Second) // nobody is asked any more
			synctest.Wait()
			clear(nodes)
			s.back(older)
			second.epoch.Observe(2)
			assert.Assert(t, departed(t, second.Departures), "%d nodes", others)
			time.Sleep(2 * time.Second)
			second.stop()

			third := run(t, s, nodes)
			assert.Assert(t, departed(t, third.Departures), "%d nodes", others)

			later, err := third.Departed(t.Context(), "i-1", 101)
			assert.NilError(t, err)
			assert.Assert(t, !later, "a later start is free")
		}
	})
}

// late is a node that gets to know the others some time after its start.
type late struct {
	fleet

	known time.Time
}

func (l late) Ranked(key string, count int) []membership.Record {
	if time.Now().Before(l.known) {
		return nil
	}

	return l.fleet.Ranked(key, count)
}

// A heartbeat comes before the next process knows whom to ask, and the store lost the record.
func TestAProcessThatKnowsNobodyYetWaitsForThoseWhoHoldTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const meets = 50 * time.Millisecond

		s := &store{keys: map[string][]byte{}}
		nodes := newFleet(s, 8)
		older := s.copied()

		assert.NilError(t, nodes["a"].Keep(t.Context(), "i-1", 100))
		s.back(older)

		next := late{fleet{nodes, "a"}, time.Now().Add(meets)}
		assert.Assert(t, departed(t, tombstone.New(s, next, next)))

		began := time.Now()
		never := late{fleet{nodes, "a"}, time.Now().Add(time.Hour)}
		assert.Assert(t, !departed(t, tombstone.New(s, never, never)))
		assert.Assert(t, time.Since(began) <= 400*time.Millisecond, time.Since(began))
	})
}
