package membership_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

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

// One node has a broken link and accuses all others. If its word alone counted as
// much as that of several, the fleet would hold its healthy nodes for dead.
func TestOneAccuserAloneMustWaitLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, three := tableOf("a", "b", "c", "d"), tableOf("a", "b", "c", "d")
		one.Believe([]membership.Belief{suspectA("b"), suspectA("b"), suspectA("b")})
		three.Believe([]membership.Belief{suspectA("b"), suspectA("c"), suspectA("d")})
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

// After a cut has healed, the other side accuses all of this one. An entry that
// took its word would stop sending calls to its own healthy backend servers.
func TestTheWordOfWhoWasCutOffCountsForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := tableOf("a", "far", "near")
		table.Suspect("far", "no answer", "self", "near", "other")
		table.Believe([]membership.Belief{suspectA("far")})
		assert.Equal(t, stateOf(table, "a"), membership.StateAlive)
		table.Believe([]membership.Belief{suspectA("near")})
		assert.Equal(t, stateOf(table, "a"), membership.StateSuspect)

		healthy := tableOf("b")
		healthy.Believe([]membership.Belief{{ID: "b", Epoch: 1, State: membership.StateDead, By: "c"}})
		assert.Equal(t, stateOf(healthy, "b"), membership.StateSuspect)
	})
}

// Reports are wrong about most of a service at once. Calls must still have
// somewhere to go.
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

// Two nodes of a large fleet differ in one record. Sending the whole table to
// repair it would cost half a megabyte each time.
func TestRepairCostsWhatDiffers(t *testing.T) {
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

	a.Adopt("x", b.Pick(d.Want))
	assert.Equal(t, a.Hash(), b.Hash())
}

// The last node of a fleet leaves by a planned stop, and tells so: there is nobody
// to tell, not even itself among the live.
func TestTheLastNodeLeaves(t *testing.T) {
	table := tableOf()
	table.Update(func(r membership.Record) membership.Record { return r.WithState(membership.StateLeft) })
	assert.Equal(t, len(table.Random(3)), 0)
	assert.Equal(t, table.CountLive(), 0)
}

// A node is replaced under its address by one with another name, in another failure
// domain. Who asks by address gets both until the old record is forgotten, and no node at
// an address that nobody has any more.
func TestNodesAreFoundByTheirAddress(t *testing.T) {
	table := membership.NewTable(record("a", 1), timeline.New())

	old := record("b", 1)
	next := record("c", 2)
	next.PeerAddress, next.FailureDomain = old.PeerAddress, "derby"

	table.Merge([]membership.Record{old, next})
	assert.Equal(t, len(table.At([]string{old.PeerAddress})), 2)
	assert.Assert(t, table.NearAt(old.PeerAddress))

	moved := old
	moved.Seq, moved.PeerAddress = 1, "b:7001"
	table.Merge([]membership.Record{moved})

	found := table.At([]string{old.PeerAddress})
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].ID, "c")
	assert.Assert(t, !table.NearAt(old.PeerAddress))
	assert.Assert(t, table.LiveAt("b:7001"))
}

// A node tells others of a change, and each answers with the same change: as news it is
// sent a dozen times only, and most of these went back to nodes that had just told it. Of
// 200 nodes some then never heard that a backend server leaves, and went on sending it calls
// until a comparison, for more than two seconds once in a hundred changes.
func TestAnAnswerKeepsWhatTheQuestionBrought(t *testing.T) {
	table := tableOf("a", "b", "c")
	for range 100 {
		table.News(100, "b")
	}

	assert.Assert(t, !table.Pending())

	changed := record("a", 1)
	changed.Seq = 1
	table.Merge([]membership.Record{changed})

	for range 100 {
		records, _ := table.News(100, "b", changed)
		assert.Equal(t, len(records), 0)
	}

	records, _ := table.News(100, "c")
	assert.Assert(t, slices.Equal(records, []membership.Record{changed}))
}

// What was sent along is older than what is held here: the answer has to bring the news.
func TestAnAnswerBringsWhatIsNewerThanTheQuestion(t *testing.T) {
	table := tableOf("a", "b")
	changed := record("a", 1)
	changed.Seq = 1
	table.Merge([]membership.Record{changed})

	records, _ := table.News(100, "b", record("a", 1))
	assert.Assert(t, slices.Contains(records, changed))
}
