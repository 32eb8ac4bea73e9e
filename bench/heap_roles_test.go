package bench_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/once/record"
	"github.com/pollencart/pollencart/internal/peer"
)

type ping struct {
	N int `msgpack:"N"`
}

// Both ends of a connection between nodes, with their buffers and stacks.
func BenchmarkHeapOfConnections(b *testing.B) {
	const count = 200

	s := peer.NewServer()
	s.Handle("Ping", peer.Typed(func(_ context.Context, in ping) (ping, error) { return in, nil }))

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)

	go func() { _ = s.Serve(l) }()

	defer s.Close()

	var total float64

	for b.Loop() {
		c := peer.NewClient()
		total = memoryOf(func() {
			for lane := range count {
				var out ping
				assert.NilError(b, c.Do(b.Context(), l.Addr().String(), peer.Lane(lane), "Ping", ping{lane}, &out))
			}
		})
		c.Close()
	}

	b.ReportMetric(total/count/1024, "KB/connection")
}

func memoryOf(f func()) float64 {
	var before, after runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.GC()
	runtime.ReadMemStats(&after)

	return float64(after.HeapAlloc+after.StackInuse) - float64(before.HeapAlloc+before.StackInuse)
}

// What a home holds for each key until it may be forgotten.
func BenchmarkHeapOfKeys(b *testing.B) {
	const count = 20_000

	var total float64

	for b.Loop() {
		total = heapOf(b, func() any {
			k := record.New()

			for i := range count {
				id := fmt.Sprintf("pc1.domain-07-service-003-0042.mjf2k0x1-9f8e7d6c5b4a3021.0.%026d", i)

				r, _, err := k.Open(record.Key{ID: id, Generation: 1}, record.Digest{})
				assert.NilError(b, err)
				k.Settle(r, record.Outcome{Answer: &call.Answer{Status: 200, Body: make([]byte, 128)}})
			}

			return k
		})
	}

	b.ReportMetric(total/count, "heap-bytes/key")
}
