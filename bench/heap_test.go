package bench_test

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/bench"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/settings"
)

// heapOf returns the bytes that stay on the heap for what make returns.
func heapOf(tb testing.TB, build func() any) float64 {
	tb.Helper()

	var before, after runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&before)

	kept := build()

	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)

	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// State that each node holds: what the fleet's size costs in memory.
func BenchmarkHeapOfMembership(b *testing.B) {
	each(b, func(b *testing.B, n int) { //nolint:thelper // the body of the benchmark
		var heap float64

		for b.Loop() {
			heap = heapOf(b, func() any {
				t, _ := table(b, n)

				return t
			})
		}

		b.ReportMetric(heap/float64(n), "heap-bytes/node")
		b.ReportMetric(heap/(1<<20), "heap-MB")
	})
}

func BenchmarkHeapOfSnapshot(b *testing.B) {
	for _, n := range []int{10, 100, bench.Services} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			s, err := bench.Snapshot(bench.Tree(n), 1)
			assert.NilError(b, err)

			var heap float64

			for b.Loop() {
				heap = heapOf(b, func() any {
					next, err := settings.NewSnapshot(s.Version(), s.Records())
					assert.NilError(b, err)

					return next
				})
			}

			b.ReportMetric(heap/float64(n), "heap-bytes/service")
			b.ReportMetric(heap/(1<<20), "heap-MB")
		})
	}
}

func BenchmarkHeapOfTimeline(b *testing.B) {
	var heap float64

	for b.Loop() {
		heap = heapOf(b, func() any {
			r := timeline.New(timeline.Node("a"))
			for i := range timeline.DefaultSize {
				r.Record(event.CallAnswered, timeline.Entry{Call: fmt.Sprintf("01JBENCH%018d", i), Peer: "domain-07-service-003-0042"})
			}

			return r
		})
	}

	b.ReportMetric(heap/timeline.DefaultSize, "heap-bytes/entry")
	b.ReportMetric(heap/(1<<20), "heap-MB")
}
