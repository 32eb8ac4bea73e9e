package freshness_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/freshness"
)

const grace = 600 * time.Millisecond

// node is a node whose active version the test sets.
type node struct{ version uint64 }

func (n *node) number() uint64 { return n.version }

func newTracker() (*freshness.Tracker, *node) {
	n := &node{7}

	return freshness.New(n.number), n
}

// A node that lacks a version must not count as up to date, however young its contact is.
func TestNodeThatLacksAVersionIsNotUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, n := newTracker()

		_, ok := tracker.Age()
		assert.Assert(t, !ok, "nothing is known of the store")

		tracker.Confirm(7, time.Now())
		time.Sleep(time.Second)

		age, ok := tracker.Age()
		assert.Assert(t, ok)
		assert.Equal(t, age, time.Second)

		tracker.Hear(freshness.Report{Version: 8, Address: "a", Grace: grace})
		tracker.Confirm(7, time.Now())

		_, ok = tracker.Age()
		assert.Assert(t, !ok)

		n.version = 8
		_, ok = tracker.Age()
		assert.Assert(t, ok)
		assert.Assert(t, !tracker.Lacks())
	})
}

// The store had a newer version than the active one: knowledge of it is no proof for the active one.
func TestNewerVersionOfTheStoreIsNoProofForTheActiveOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, _ := newTracker()
		tracker.Confirm(8, time.Now())

		_, ok := tracker.Age()
		assert.Assert(t, !ok)
	})
}

// Reports of further versions must not postpone the end of the grace time of a node that is stuck.
func TestFurtherReportsDoNotPostponeTheRescue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, n := newTracker()
		start := time.Now()

		for v := uint64(8); v < 20; v++ {
			tracker.Hear(freshness.Report{Version: v, Address: "a", Grace: grace})
			time.Sleep(200 * time.Millisecond)
		}

		gap, lacks := tracker.Gap()
		assert.Assert(t, lacks)
		assert.Assert(t, tracker.Lacks())
		assert.Equal(t, gap.Version, uint64(19))
		assert.Equal(t, gap.Due, start.Add(grace))

		n.version = 18 // progress
		gap, lacks = tracker.Gap()
		assert.Assert(t, lacks)
		assert.Equal(t, gap.Due, time.Now().Add(grace))
	})
}

// A version that nobody can deliver must be forgotten, or the node would count as behind for good.
func TestReportThatIsNotRepeatedIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, _ := newTracker()
		tracker.Confirm(7, time.Now())
		tracker.Hear(freshness.Report{Version: 8, Address: "a"})
		time.Sleep(11 * time.Second)

		_, lacks := tracker.Gap()
		assert.Assert(t, !lacks)

		_, ok := tracker.Age()
		assert.Assert(t, ok)
	})
}

// Nodes tell each other of a version that is gone. Their reports must not keep each other alive.
func TestRelayedReportDoesNotRenewADirectOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, _ := newTracker()
		tracker.Hear(freshness.Report{Version: 8, Address: "a"})

		for i := range 20 {
			time.Sleep(time.Second)
			tracker.Hear(freshness.Report{Version: 8, Address: "a", Relayed: true})

			gap, _ := tracker.Gap()
			_, direct := gap.Direct()
			assert.Equal(t, direct, i < 10)
		}
	})
}

// The store is known to have no such version: reading it can't help, so the report must not keep the
// node from counting as up to date.
func TestReportThatTheStoreRefutesIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, _ := newTracker()
		tracker.Hear(freshness.Report{Version: 8, Address: "a"})
		time.Sleep(900 * time.Millisecond)
		tracker.Confirm(7, time.Now()) // may have been on its way before the report

		_, lacks := tracker.Gap()
		assert.Assert(t, lacks)

		time.Sleep(200 * time.Millisecond)
		tracker.Confirm(7, time.Now())

		_, lacks = tracker.Gap()
		assert.Assert(t, !lacks)
	})
}

func TestGapNamesTheNewestSourcesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, _ := newTracker()
		tracker.Hear(freshness.Report{Version: 9, Address: "relayed", Relayed: true, Grace: grace})
		tracker.Hear(freshness.Report{Version: 8, Address: "old", Grace: grace / 2})
		time.Sleep(time.Millisecond)
		tracker.Hear(freshness.Report{Version: 9, Address: "new", Grace: grace})
		tracker.Hear(freshness.Report{Version: 6, Address: "behind"})

		gap, lacks := tracker.Gap()
		assert.Assert(t, lacks)
		assert.Equal(t, gap.Version, uint64(9))
		assert.Equal(t, len(gap.Sources), 3)

		for i, address := range []string{"new", "relayed", "old"} {
			assert.Equal(t, gap.Sources[i].Address, address)
		}

		direct, ok := gap.Direct()
		assert.Assert(t, ok)
		assert.Equal(t, direct.Address, "new")
		assert.Equal(t, gap.Due.Sub(gap.Since), grace/2)

		for _, address := range []string{"b", "c", "d", "e"} {
			tracker.Hear(freshness.Report{Version: 10, Address: address})
		}

		gap, _ = tracker.Gap()
		assert.Equal(t, len(gap.Sources), 4)
	})
}

// An older confirmation that arrives late must not replace a younger one.
func TestLateConfirmationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, _ := newTracker()
		now := time.Now()
		tracker.Confirm(7, now)
		tracker.Confirm(6, now.Add(-time.Second))
		assert.Equal(t, tracker.ConfirmedAt(), now)
	})
}
