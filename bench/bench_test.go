package bench_test

import (
	"bufio"
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/bench"
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/propagation"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/settings"
)

func each(b *testing.B, run func(b *testing.B, n int)) {
	b.Helper()

	for _, n := range bench.Sizes() {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) { run(b, n) })
	}
}

func table(tb testing.TB, n int) (*membership.Table, []membership.Record) {
	tb.Helper()

	members := bench.Members(n)
	t := membership.NewTable(members[0], timeline.New(timeline.Size(1)))
	assert.Equal(tb, t.Merge(members[1:]), n-1)

	return t, members
}

// A whole table arrives that says nothing new: the anti-entropy of two nodes.
func BenchmarkMembershipMergeSame(b *testing.B) {
	each(b, func(b *testing.B, n int) { //nolint:thelper // the body of the benchmark
		t, members := table(b, n)

		b.ReportAllocs()

		for b.Loop() {
			t.Merge(members)
		}
	})
}

// One record changes: what each of the day's changes costs each node.
func BenchmarkMembershipMergeOne(b *testing.B) {
	each(b, func(b *testing.B, n int) { //nolint:thelper // the body of the benchmark
		t, members := table(b, n)
		one := members[n/2 : n/2+1]

		b.ReportAllocs()

		for b.Loop() {
			one[0].Seq++
			t.Merge(one)
		}
	})
}

func BenchmarkMembershipServing(b *testing.B) {
	each(b, func(b *testing.B, n int) { //nolint:thelper // the body of the benchmark
		t, _ := table(b, n)

		b.ReportAllocs()

		for b.Loop() {
			t.Serving("service-007")
		}
	})
}

func BenchmarkMembershipChosen(b *testing.B) {
	each(b, func(b *testing.B, n int) { //nolint:thelper // the body of the benchmark
		t, members := table(b, n)

		b.ReportAllocs()

		for b.Loop() {
			t.Chosen(members[0].ID, members[0].FailureDomain, 2)
		}
	})
}

func BenchmarkMembershipFirstOf(b *testing.B) {
	each(b, func(b *testing.B, n int) { //nolint:thelper // the body of the benchmark
		t, members := table(b, n)

		b.ReportAllocs()

		for b.Loop() {
			t.FirstOf(members[0].FailureDomain, 2)
		}
	})
}

func BenchmarkMembershipTableEncode(b *testing.B) {
	each(b, func(b *testing.B, n int) { //nolint:thelper // the body of the benchmark
		members := bench.Members(n)
		size := 0

		b.ReportAllocs()

		for b.Loop() {
			data, err := msgpack.Marshal(members)
			if err != nil {
				b.Fatal(err)
			}

			size = len(data)
		}

		b.ReportMetric(float64(size)/float64(n), "bytes/node")
	})
}

func callOf(size int) call.Call {
	return call.Call{
		ID: "01JBENCH0000000000000000AB", Caller: "food-bank", Service: "browse", Route: "midlands/browse/open-folder",
		Class: settings.ClassInteractive, Idempotent: true, Method: "GET", URI: "/folders/42", Version: 7, Queue: 64,
		Header: []call.Field{{Name: "Accept", Value: "application/json"}}, Body: make([]byte, size),
	}
}

func BenchmarkFrame(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			c := callOf(size)
			r, in := bytes.NewReader(nil), bufio.NewReader(nil)

			b.ReportAllocs()

			for b.Loop() {
				body, err := msgpack.Marshal(c)
				if err != nil {
					b.Fatal(err)
				}

				data, err := peer.Encode(&peer.Frame{Kind: peer.KindRequest, ID: 7, Method: "Gate.Run", Body: body})
				if err != nil {
					b.Fatal(err)
				}

				r.Reset(data)
				in.Reset(r)

				f, _, err := peer.Read(in)
				if err != nil {
					b.Fatal(err)
				}

				var got call.Call
				if err := peer.Decode(f.Body, &got); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{10, 100, bench.Services} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			s, err := bench.Snapshot(bench.Tree(n), 1)
			assert.NilError(b, err)

			b.ReportAllocs()

			for b.Loop() {
				if _, err := settings.NewSnapshot(s.Version(), s.Records()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 100, bench.Services} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			s, err := bench.Snapshot(bench.Tree(n), 1)
			assert.NilError(b, err)

			b.ReportAllocs()

			for b.Loop() {
				if _, ok := s.Match("GET", "/service-007/route-3/42"); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}

func BenchmarkTimelineRecord(b *testing.B) {
	r := timeline.New(timeline.Node("a"))

	b.ReportAllocs()

	for b.Loop() {
		r.Record(event.CallAnswered, timeline.Entry{Call: "01JBENCH0000000000000000AB", Peer: "b"})
	}
}

// delta returns a held version and what leads to the next one, which changes one
// leaf.
func delta(tb testing.TB, services int) (*settings.Snapshot, propagation.Delta) {
	tb.Helper()

	h := propagation.NewHolder(timeline.New(timeline.Size(1)))
	tree := bench.Tree(services)

	first, err := bench.Snapshot(tree, 1)
	assert.NilError(tb, err)
	h.Offer(first)

	deadline := settings.Duration(time.Second)
	tree.Branches["region-0"].Branches["service-000"].Routes["route-0"] = settings.Route{
		Match:     settings.Match{Method: "GET", PathPrefix: "/service-000/route-0/"},
		Overrides: settings.Overrides{Deadline: &deadline},
	}

	second, err := bench.Snapshot(tree, 2)
	assert.NilError(tb, err)
	h.Offer(second)

	d, err := h.Delta(1, "")
	assert.NilError(tb, err)

	return first, d
}

// One leaf changes: what each of the day's 5,600 changes costs each node.
func BenchmarkDeltaApply(b *testing.B) {
	for _, n := range []int{10, 100, bench.Services} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			base, d := delta(b, n)

			b.ReportAllocs()

			for b.Loop() {
				if _, err := propagation.Apply(base, d); err != nil {
					b.Fatal(err)
				}
			}

			data, err := msgpack.Marshal(d)
			assert.NilError(b, err)
			b.ReportMetric(float64(len(data)), "delta-bytes")
		})
	}
}
