package timeline_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Hundreds of calls a second are recorded, and a failed node about once an hour. With
// a single ring the calls would evict the entries that explain an outage.
func TestCallsDoNotEvictOtherEvents(t *testing.T) {
	const size = 16

	r := timeline.New(timeline.Node("a"), timeline.Size(size))
	r.Record(event.MemberDead, timeline.Entry{Peer: "b"})

	for range 100 * size {
		r.Record(event.CallAnswered, timeline.Entry{Call: "1"})
		r.Record(event.CallUnknown, timeline.Entry{Call: "2"})
	}

	entries := r.Entries(timeline.Filter{})
	assert.Equal(t, len(entries), size+1, "bounded")
	assert.Equal(t, entries[0].Name, event.MemberDead.Name)
	assert.Equal(t, len(r.Entries(timeline.Filter{Limit: 3})), 3)
	assert.Equal(t, r.Entries(timeline.Filter{Limit: 3})[0].Name, event.MemberDead.Name)
}

func TestFilterSelectsEntries(t *testing.T) {
	r := timeline.New(timeline.Node("a"))
	r.Record(event.MemberDead, timeline.Entry{Peer: "b"})
	r.Record(event.VersionInForce, timeline.Entry{Version: 7})
	r.Record(event.CallAnswered, timeline.Entry{Call: "1", Key: "k"})

	for _, c := range []struct {
		filter timeline.Filter
		want   string
	}{
		{timeline.Filter{}, "MemberDead VersionInForce CallAnswered"},
		{timeline.Filter{Node: "b"}, "MemberDead"},
		{timeline.Filter{Node: "a"}, "MemberDead VersionInForce CallAnswered"},
		{timeline.Filter{Node: "c"}, ""},
		{timeline.Filter{Event: "302"}, "MemberDead"},
		{timeline.Filter{Event: "VersionInForce"}, "VersionInForce"},
		{timeline.Filter{Version: 7}, "VersionInForce"},
		{timeline.Filter{Call: "1"}, "CallAnswered"},
		{timeline.Filter{Key: "k", Call: "2"}, ""},
		{timeline.Filter{SinceMs: 1 << 60}, ""},
	} {
		var names []string
		for _, e := range r.Entries(c.filter) {
			names = append(names, e.Name)
		}

		assert.Equal(t, strings.Join(names, " "), c.want, "%+v", c.filter)
	}
}

// The clocks of two hosts differ by an hour. An event that follows from an event of
// another node must come after it on the merged time line.
func TestMergeOrdersCausesBeforeEffects(t *testing.T) {
	fast, slow := timeline.New(timeline.Node("fast")), timeline.New(timeline.Node("slow"))
	fast.Clock().Observe(timeline.Stamp{WallMs: 1 << 50})
	fast.Record(event.VersionAccepted, timeline.Entry{Version: 7})
	slow.Clock().Observe(fast.Clock().Now())
	slow.Record(event.VersionInForce, timeline.Entry{Version: 7})

	merged := timeline.Merge(slow.Entries(timeline.Filter{}), fast.Entries(timeline.Filter{}))
	assert.Equal(t, merged[0].Name, event.VersionAccepted.Name)
}

func at(ms int64, node string, e event.Event, entry timeline.Entry) timeline.Entry {
	entry.Stamp, entry.Node, entry.Number, entry.Name = timeline.Stamp{WallMs: ms}, node, e.Number, e.Name

	return entry
}

// When a node fails, all other nodes record it; Collapse shows one entry.
func TestCollapseMergesReportsOfOneEvent(t *testing.T) {
	out := timeline.Collapse([]timeline.Entry{
		at(1000, "a", event.MemberDead, timeline.Entry{Peer: "x", Detail: "by a"}),
		at(1100, "b", event.MemberDead, timeline.Entry{Peer: "x"}),
		at(1150, "b", event.MemberDead, timeline.Entry{Peer: "y"}),
		at(1200, "c", event.MemberDead, timeline.Entry{Peer: "x"}),
		at(1300, "c", event.CallAnswered, timeline.Entry{Call: "1", Peer: "x"}),
		at(1301, "a", event.CallAnswered, timeline.Entry{Call: "1", Peer: "x"}),
		at(90_000, "c", event.MemberDead, timeline.Entry{Peer: "x"}),
	})

	assert.Equal(t, len(out), 5)
	assert.Equal(t, out[0].Detail, "by a [and on 2 more nodes within 200 ms]")
	assert.Equal(t, out[4].Stamp.WallMs, int64(90_000))
}

// The wall clock of a host jumps an hour ahead and back. Its stamps in that hour must
// still come after their causes and before their effects. In the next hour the wall
// time of the stamps does not advance, and the logical part must not overflow.
func TestClockKeepsOrderWhenWallClockJumps(t *testing.T) {
	const hour = 3_600_000

	var jumped, other timeline.Clock

	before := other.Now()
	jumped.Observe(timeline.Stamp{WallMs: before.WallMs + hour}) // the host's wall clock before it jumps back

	sent := jumped.Now()
	other.Observe(sent)

	effect := other.Now()
	assert.Assert(t, before.Compare(sent) < 0 && sent.Compare(effect) < 0)

	const stampsPerHour = 2000 * 3600 // a busy node takes 2000 stamps a second

	for range stampsPerHour {
		effect = other.Now()
	}

	assert.Equal(t, effect.WallMs, sent.WallMs)
	assert.Assert(t, effect.Logical > stampsPerHour && effect.Logical < 1<<31)

	jumped.Observe(effect)
	assert.Assert(t, jumped.Now().Compare(effect) > 0)
}

// Guards against long names of callers that are kept whole, or not found again.
func TestLongNamesAreCutAndFound(t *testing.T) {
	r := timeline.New()
	name := strings.Repeat("x", 10_000)
	r.Record(event.CallAnswered, timeline.Entry{Call: name, Key: name, Peer: name, Detail: name})

	found := r.Entries(timeline.Filter{Call: name, Key: name})
	assert.Equal(t, len(found), 1)
	assert.Assert(t, len(found[0].Call+found[0].Key+found[0].Peer+found[0].Detail) < 3000)
}
