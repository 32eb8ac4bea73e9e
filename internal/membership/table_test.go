package membership_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/timeline"
)

func tableOf(ids ...string) *membership.Table {
	t := membership.NewTable(record("self", 1), timeline.New())

	for _, id := range ids {
		t.Merge([]membership.Record{record(id, 1)})
	}

	return t
}

func suspectA(by string) membership.Belief {
	return membership.Belief{ID: "a", Epoch: 1, State: membership.StateSuspect, By: by}
}

var suspicion = membership.Suspicion{Shortest: 2 * time.Second, Longest: 6 * time.Second}

// One node has a broken link and suspects all others. If its suspicion counted as much as that
// of several observers, healthy nodes would be marked dead.
func TestSuspicionByOneObserverHasLongestTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, three := tableOf("a", "b", "c", "d"), tableOf("a", "b", "c", "d")
		one.MergeBeliefs([]membership.Belief{suspectA("b"), suspectA("b"), suspectA("b")})
		three.MergeBeliefs([]membership.Belief{suspectA("b"), suspectA("c"), suspectA("d")})
		time.Sleep(suspicion.Shortest)
		one.Expire(suspicion)
		three.Expire(suspicion)

		assert.Equal(t, stateOf(one, "a"), membership.StateSuspect)
		assert.Equal(t, stateOf(three, "a"), membership.StateDead)
		time.Sleep(suspicion.Longest - suspicion.Shortest)
		one.Expire(suspicion)
		assert.Equal(t, stateOf(one, "a"), membership.StateDead)
	})
}

func stateOf(t *membership.Table, id string) membership.State {
	r, _ := t.Find(id)

	return r.State
}

// After a network partition heals, the nodes of the other side suspect all nodes of this one.
// An entry node that accepted these suspicions would stop sending calls to healthy backend
// servers of its own side.
func TestBeliefsOfDeadOrSuspectedNodesAreNotTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := tableOf("a", "far", "near")
		table.Suspect("far", "no answer", "self", "near", "other")
		table.MergeBeliefs([]membership.Belief{suspectA("far")})
		assert.Equal(t, stateOf(table, "a"), membership.StateAlive)
		table.MergeBeliefs([]membership.Belief{suspectA("near")})
		assert.Equal(t, stateOf(table, "a"), membership.StateSuspect)

		healthy := tableOf("b")
		healthy.MergeBeliefs([]membership.Belief{{ID: "b", Epoch: 1, State: membership.StateDead, By: "c"}})
		assert.Equal(t, stateOf(healthy, "b"), membership.StateSuspect)
	})
}

// Most nodes of a service are falsely suspected at once. Calls must still have targets.
func TestSuspicionNeverEmptiesAService(t *testing.T) {
	table := tableOf("a", "b", "c", "d", "e")
	for i, id := range []string{"a", "b", "c", "d", "e"} {
		table.Suspect(id, "no answer", "self")

		want := 5 - i
		if 2*want < 6 {
			want = 6
		}

		assert.Equal(t, len(table.Serving("browse")), want, "after %d", i+1)
	}

	assert.Equal(t, table.CountReady(), 6)
}

// The tables of two nodes of a large fleet differ in one record. Sending the whole table to
// repair it would cost half a megabyte each time.
func TestRepairTransfersOnlyDifferences(t *testing.T) {
	const size = 4300

	a, b := newTable(size), newTable(size)
	r, _ := a.Find(nodeID(77))
	r.Seq++
	r.Upstream.State = membership.UpstreamDraining
	b.Merge([]membership.Record{r})

	chosen, entries := b.Differing(a.Sums(), 1024)
	d := a.Compare(chosen, entries)

	assert.Equal(t, len(chosen), 1)
	assert.Assert(t, len(entries) < 50, "%d entries", len(entries))
	assert.Equal(t, len(d.Push), 0)
	assert.Equal(t, len(d.Want), 1)

	a.MergeCompared("x", b.RecordsByKey(d.Want))
	assert.Equal(t, a.Hash(), b.Hash())
}

// The last node of a fleet leaves. No peer remains, and the node itself is no longer live, so
// the sets of live nodes are empty.
func TestLastNodeCanLeave(t *testing.T) {
	table := tableOf()
	table.Update(func(r membership.Record) membership.Record { return r.WithState(membership.StateLeft) })
	assert.Equal(t, len(table.Random(3)), 0)
	assert.Equal(t, table.CountLive(), 0)
}

// A node is replaced at its address by a node with another ID in another failure domain. A
// lookup by address returns both until the old record is forgotten or gets another address.
func TestNodesAreFoundByAddress(t *testing.T) {
	table := membership.NewTable(record("a", 1), timeline.New())

	old := record("b", 1)
	next := record("c", 2)
	next.PeerAddress, next.FailureDomain = old.PeerAddress, "derby"

	table.Merge([]membership.Record{old, next})
	assert.Equal(t, len(table.ByAddress([]string{old.PeerAddress})), 2)
	assert.Assert(t, table.NearAt(old.PeerAddress))

	moved := old
	moved.Seq, moved.PeerAddress = 1, "b:7001"
	table.Merge([]membership.Record{moved})

	found := table.ByAddress([]string{old.PeerAddress})
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].ID, "c")
	assert.Assert(t, !table.NearAt(old.PeerAddress))
	assert.Assert(t, table.LiveAt("b:7001"))
}

// A node sends a change to peers, and each replies with the same change. Since a change is
// sent only a dozen times, most transmissions went back to nodes that already knew it: of 200
// nodes, some missed a draining backend server until a comparison, for more than two seconds
// in one of a hundred changes.
func TestReplyOmitsRecordsOfTheRequest(t *testing.T) {
	table := tableOf("a", "b", "c")
	for range 100 {
		table.TakeChanges(100, "b")
	}

	assert.Assert(t, !table.Pending())

	changed := record("a", 1)
	changed.Seq = 1
	table.Merge([]membership.Record{changed})

	for range 100 {
		records, _ := table.TakeChanges(100, "b", changed)
		assert.Equal(t, len(records), 0)
	}

	records, _ := table.TakeChanges(100, "c")
	assert.Assert(t, slices.Equal(records, []membership.Record{changed}))
}

// The request carries an older record than the table: the reply must include the newer one.
func TestReplyIncludesRecordsNewerThanTheRequest(t *testing.T) {
	table := tableOf("a", "b")
	changed := record("a", 1)
	changed.Seq = 1
	table.Merge([]membership.Record{changed})

	records, _ := table.TakeChanges(100, "b", record("a", 1))
	assert.Assert(t, slices.Contains(records, changed))
}

// A process that crashes or is killed writes no line of it, and its host keeps nothing.
func TestLostProcessIsRecordedByItsSuccessorAndByOthers(t *testing.T) {
	count := func(r *timeline.Recorder, e event.Event) int {
		return len(r.Entries(timeline.Filter{Event: e.Name}))
	}

	for _, left := range []bool{false, true} {
		old := record("a", 1)
		if left {
			old = old.WithState(membership.StateLeft)
		}

		recorder := timeline.New()
		successor := membership.NewTable(record("a", 2), recorder)
		successor.Merge([]membership.Record{old})
		successor.Merge([]membership.Record{old})

		others := timeline.New()
		other := membership.NewTable(record("b", 1), others)
		other.Merge([]membership.Record{record("a", 1)})
		other.Merge([]membership.Record{old, record("a", 2)})

		want := 1
		if left {
			want = 0
		}

		assert.Equal(t, count(recorder, event.ProcessLost), want)
		assert.Equal(t, count(others, event.MemberRestarted), want)
	}
}
