package bench_test

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/bench"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Each bound is some tenth over what was measured when it was set; a change
// that needs more says why.

func atMost(t *testing.T, what string, got, bound float64) {
	t.Helper()
	t.Logf("%s: %.1f, bound %.1f", what, got, bound)
	assert.Assert(t, got <= bound, "%s: %.1f, bound %.1f", what, got, bound)
}

// A record of a member is paid for by every node for every member: at 4,300
// nodes each byte is 4 KB of state.
func TestBytesOfAMemberRecord(t *testing.T) {
	for _, n := range bench.Sizes() {
		data, err := msgpack.Marshal(bench.Members(n))
		assert.NilError(t, err)
		atMost(t, "bytes of a record", float64(len(data))/float64(n), 165)
	}
}

// A node merges what it knows already some times a second; garbage here is
// processor time of every node all day.
func TestMergeOfKnownRecordsAllocatesNothing(t *testing.T) {
	tab, members := table(t, 1000)
	atMost(t, "allocations", testing.AllocsPerRun(10, func() { tab.Merge(members) }), 0)
}

// Renewals and beliefs arrive all day; they touch no index.
func TestMergeOfOneNewsAllocatesTheSameInAnyFleet(t *testing.T) {
	for _, n := range bench.Sizes() {
		tab, members := table(t, n)
		one := []membership.Record{members[n/2]}

		atMost(t, "allocations", testing.AllocsPerRun(50, func() {
			one[0].Seq++
			tab.Merge(one)
		}), 4)
	}
}

// Every call asks who serves its service.
func TestServingAllocatesNothingInAnyFleet(t *testing.T) {
	for _, n := range bench.Sizes() {
		tab, _ := table(t, n)
		atMost(t, "allocations", testing.AllocsPerRun(50, func() { tab.Serving("service-007") }), 0)
	}
}

func TestBytesOfACallFrame(t *testing.T) {
	body, err := msgpack.Marshal(callOf(0))
	assert.NilError(t, err)

	data, err := peer.Encode(&peer.Frame{Kind: peer.KindRequest, ID: 7, Method: "Gate.Run", Body: body})
	assert.NilError(t, err)
	atMost(t, "bytes over the caller's own", float64(len(data)), 345)
}

// Every call looks its route up.
func TestMatchAllocatesNothing(t *testing.T) {
	s, err := bench.Snapshot(bench.Tree(bench.Services), 1)
	assert.NilError(t, err)

	atMost(t, "allocations", testing.AllocsPerRun(10, func() { s.Match("GET", "/service-007/route-3/42") }), 0)
}

// Every call records an event or more.
func TestARecordedEventAllocatesNothing(t *testing.T) {
	r := timeline.New(timeline.Node("a"), timeline.Size(64))
	for range 64 {
		r.Record(event.CallAnswered, timeline.Entry{})
	}

	atMost(t, "allocations", testing.AllocsPerRun(100, func() {
		r.Record(event.CallAnswered, timeline.Entry{Call: "01JBENCH0000000000000000AB", Peer: "b"})
	}), 0)
}

// A change of one leaf goes to every node; it must not carry the tree with it.
func TestBytesOfADeltaDontGrowWithTheTree(t *testing.T) {
	for _, n := range []int{10, 100, bench.Services} {
		_, d := delta(t, n)

		data, err := msgpack.Marshal(d)
		assert.NilError(t, err)
		atMost(t, "bytes of a delta", float64(len(data)), 600)
	}
}
