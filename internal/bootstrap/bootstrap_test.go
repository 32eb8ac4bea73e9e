package bootstrap_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/bootstrap"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/standin/platform"
	"github.com/pollencart/pollencart/internal/timeline"
)

func record(i int) membership.Record {
	return membership.Record{
		ID: fmt.Sprintf("node-%d", i), Incarnation: 1, Epoch: 1, State: membership.StateAlive,
		FailureDomain: "nottm-a", PeerAddress: fmt.Sprintf("127.0.0.1:%d", 7000+i),
	}
}

func tableOf(self, count int) *membership.Table {
	t := membership.NewTable(record(self), timeline.New())
	for i := range count {
		t.Merge([]membership.Record{record(i)})
	}

	return t
}

func joinNone(context.Context, string) bool { return false }

func recorded(p *platform.Platform) []string {
	var r bootstrap.Record

	_ = json.Unmarshal(p.Snapshot()[bootstrap.Prefix+"nottm-a"], &r)

	return r.Addresses
}

// All nodes share the platform's write limit. If each of 4,300 nodes wrote a record of its
// own, they would exhaust it.
func TestWritesDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{3, 30, 120} {
		synctest.Test(t, func(t *testing.T) {
			p := platform.New()
			ctx, stop := context.WithCancel(t.Context())

			for i := range size {
				b := bootstrap.New(p.Direct("nottm-a"), tableOf(i, size), "nottm-a")
				go b.Run(ctx, joinNone)
			}

			time.Sleep(10 * time.Minute)
			stop()

			c := p.Counts()
			t.Logf("%d nodes, 10 minutes: %d writes, %d reads", size, c.Writes, c.Reads)
			assert.Assert(t, c.Writes <= 2, "%d writes", c.Writes)
			assert.Assert(t, c.Reads <= 30, "%d reads", c.Reads)
			assert.Equal(t, len(recorded(p)), min(size, 8))
		})
	}
}

// All recorded hosts are replaced. Guards against a stale record that sends new nodes to
// addresses without a node.
func TestRecordIsReplacedWhenItsNodesTerminate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New()
		ctx, stop := context.WithCancel(t.Context())

		defer stop()

		tables := map[string]*membership.Table{}
		stops := map[string]context.CancelFunc{}

		for i := range 20 {
			address := record(i).PeerAddress
			tables[address] = tableOf(i, 20)

			own, end := context.WithCancel(ctx)
			stops[address] = end

			go bootstrap.New(p.Direct("nottm-a"), tables[address], "nottm-a").Run(own, joinNone)
		}

		time.Sleep(time.Minute)

		terminated := map[string]bool{}
		for _, a := range recorded(p) {
			terminated[a] = true

			stops[a]()
			delete(tables, a)
		}

		p.SetFaults(platform.Faults{Down: true})

		for _, table := range tables {
			for i := range 20 {
				if r := record(i); terminated[r.PeerAddress] {
					r.Seq++
					table.Merge([]membership.Record{r.WithState(membership.StateLeft)})
				}
			}
		}

		time.Sleep(time.Minute)
		p.SetFaults(platform.Faults{})
		time.Sleep(time.Minute)

		assert.Equal(t, len(recorded(p)), 8)

		for _, a := range recorded(p) {
			assert.Assert(t, !terminated[a], "%s has terminated", a)
		}
	})
}

// A third of the fleet restarts at once without known peers. Guards against synchronized
// reads that exhaust the platform's read limit.
func TestNodesThatStartTogetherRarelyReadThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			nodes   = 200
			seconds = 30
		)

		p := platform.New()
		p.SetFaults(platform.Faults{SlowMs: 10})

		ctx, stop := context.WithCancel(t.Context())

		for i := range nodes {
			b := bootstrap.New(p.Direct("nottm-a"), tableOf(i, 1), "nottm-a")

			go func() {
				for ctx.Err() == nil {
					b.FindPeers(ctx)
					time.Sleep(200 * time.Millisecond)
				}
			}()
		}

		time.Sleep(seconds * time.Second)
		stop()

		t.Logf("%d nodes without peers for %d s: %d reads", nodes, seconds, p.Counts().Reads)
		assert.Assert(t, p.Counts().Reads <= 6*nodes, "%d reads", p.Counts().Reads)
		time.Sleep(time.Second)
	})
}

// A new process knows only itself and so considers itself its failure domain's watcher.
// Guards against overwriting the fleet's record with its own address: the next new
// processes would find only that node, and two separate fleets would form.
func TestNewProcessJoinsBeforeItOverwritesTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New()
		ctx, stop := context.WithCancel(t.Context())

		defer stop()

		for i := range 9 {
			go bootstrap.New(p.Direct("nottm-a"), tableOf(i, 9), "nottm-a").Run(ctx, joinNone)
		}

		time.Sleep(time.Minute)

		before := recorded(p)
		assert.Equal(t, len(before), 8)

		var joins atomic.Int32

		go bootstrap.New(p.Direct("nottm-a"), tableOf(20, 0), "nottm-a").Run(ctx, func(context.Context, string) bool {
			joins.Add(1)

			return true
		})

		for range 600 {
			time.Sleep(100 * time.Millisecond)
			assert.DeepEqual(t, recorded(p), before)
		}

		assert.Assert(t, joins.Load() > 0)
	})
}
