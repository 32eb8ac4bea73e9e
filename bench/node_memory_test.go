package bench_test

import (
	"context"
	"net"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

const (
	memoryMembers = 80
	memoryRoutes  = 1400
)

// A node holds connections to and from each other node, most of them idle, beside the members and
// the configuration; buffers that each keeps for itself are most of its memory.
func TestMemoryOfANode(t *testing.T) {
	const megabyte = 1 << 20

	var kept []any

	connections := memoryOf(func() { kept = append(kept, connect(t, memoryMembers)) })
	members := memoryOf(func() {
		table, _ := table(t, memoryMembers)
		kept = append(kept, table)
	})
	configuration := memoryOf(func() { kept = append(kept, twoVersions(t)) })

	runtime.KeepAlive(kept)
	atMost(t, "MB of connections", connections/megabyte, 6)
	atMost(t, "MB of members", members/megabyte, 0.3)
	atMost(t, "MB of the configuration", configuration/megabyte, 1.2)
}

// A burst of versions makes garbage on top of what the node holds, and the heap grows with both.
func TestBytesAllocatedForTheNextVersion(t *testing.T) {
	var before, after runtime.MemStats

	c := new(platform.Configurations)
	_, err := c.Decode(standin.DocumentWith(memoryRoutes, 1, "s"))
	assert.NilError(t, err)

	next := standin.DocumentWith(memoryRoutes, 2, "s")

	runtime.ReadMemStats(&before)

	_, err = c.Decode(next)
	assert.NilError(t, err)
	runtime.ReadMemStats(&after)
	atMost(t, "bytes allocated for each byte", float64(after.TotalAlloc-before.TotalAlloc)/float64(len(next)), 9.2)
}

// connect opens the connections of a node with the given number of others: of both lanes, to and
// from each.
func connect(t *testing.T, others int) any {
	t.Helper()

	s := peer.NewServer()
	s.Handle("Ping", peer.Typed(func(_ context.Context, in ping) (ping, error) { return in, nil }))

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	go func() { _ = s.Serve(l) }()

	c := peer.NewClient()

	t.Cleanup(func() {
		c.Close()
		s.Close()
	})

	for lane := range 2 * others {
		var out ping
		assert.NilError(t, c.Do(t.Context(), l.Addr().String(), peer.Lane(lane), "Ping", ping{lane}, &out))
	}

	return c
}

// twoVersions returns what a node keeps of the version in force and the one before.
func twoVersions(t *testing.T) any {
	t.Helper()

	c, h := new(platform.Configurations), new(route.Holder)

	for version := 1; version <= 2; version++ {
		data := standin.DocumentWith(memoryRoutes, version, "s")
		table, err := c.Decode(data)
		assert.NilError(t, err)
		assert.Assert(t, h.Offer(table, data))
	}

	return []any{c, h}
}
