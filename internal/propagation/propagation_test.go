package propagation_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/propagation"
	"github.com/pollencart/pollencart/internal/standin/platform"
)

const changes = 10

// cost is what one change costs, once the fleet holds a version.
type cost struct {
	bytesPerNode, messagesPerNode float64
	calls                         int
	idleCalls                     int
	slowest                       time.Duration
}

func measure(t *testing.T, size int, opts ...propagation.Option) (out cost, delta int) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, size, 20, opts...)
		time.Sleep(5 * time.Second)
		c.settle(c.accept())
		c.settle(c.change())

		before := c.traffic()
		for range changes {
			out.slowest = max(out.slowest, c.settle(c.change()))
		}

		spent := c.traffic().since(before)
		out.bytesPerNode = float64(spent.bytes) / float64(size*changes)
		out.messagesPerNode = float64(spent.messages) / float64(size*changes)
		out.calls = spent.calls

		before = c.traffic()
		time.Sleep(time.Minute)
		out.idleCalls = c.traffic().since(before).calls

		d, err := c.node(nodeID(0)).holder.Delta(c.number-1, "")
		assert.NilError(t, err)

		data, err := msgpack.Marshal(d)
		assert.NilError(t, err)

		delta = len(data)

		c.stopAll()
	})

	return out, delta
}

// The fleet grows faster than the platform. If each node asked the platform, it
// would be used up, and operators could accept nothing; if each got the whole
// tree, the links would be.
func TestCostOfAChangeDoesNotGrowWithTheFleet(t *testing.T) {
	small, delta := measure(t, 50)
	large, _ := measure(t, 200)

	t.Logf("delta %d bytes; 50 nodes %+v; 200 nodes %+v", delta, small, large)
	assert.Equal(t, small.calls, large.calls)
	assert.Assert(t, large.idleCalls <= domains*2*10, "%d idle calls a minute", large.idleCalls)
	assert.Assert(t, large.bytesPerNode < 2*float64(delta), "%f bytes a node, delta %d", large.bytesPerNode, delta)
	assert.Assert(t, large.messagesPerNode < 1.2, "%f messages a node", large.messagesPerNode)
}

// The same work in the two ways that were ruled out.
func TestBaselinesCostMore(t *testing.T) {
	deltas, _ := measure(t, 50)
	poll, _ := measure(t, 50, propagation.With(propagation.StrategyPoll))
	full, _ := measure(t, 50, propagation.With(propagation.StrategyFullPush))

	t.Logf("deltas %+v; poll %+v; full push %+v", deltas, poll, full)
	assert.Assert(t, poll.idleCalls > 10*deltas.idleCalls)
	assert.Assert(t, full.bytesPerNode > 2*deltas.bytesPerNode)
}

// An inner member of the tree is dead or frozen and nobody has noticed. Those
// behind it would wait for gossip, or for ever if that is slow; here it is off.
func TestFrozenInnerMembersAreBypassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 160, 5)
		c.settle(c.accept())
		c.quiet = true

		order := propagation.Order("d0", c.members("d0"))
		frozen := []string{order[0].ID, order[2].ID}

		for _, id := range frozen {
			c.node(id).frozen.Store(true)
		}

		number := c.change()
		time.Sleep(10 * time.Second)

		for _, id := range frozen {
			c.node(id).frozen.Store(false)
		}

		for _, line := range c.behind(number) {
			assert.Assert(t, line[:8] == frozen[0] || line[:8] == frozen[1], "%s", line)
		}

		// Awake again, they learn what they missed, and push nothing old.
		c.quiet = false
		c.settle(number)
		c.stopAll()
	})
}

// A version that no node can use has got onto the platform, past the check of
// the operators' side. Each node holds the old one whole, says so once, and does
// not ask for it again and again.
func TestBadVersionIsRefusedOnceAndWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 40, 5)
		good := c.accept()
		c.settle(good)

		c.acceptBad()
		time.Sleep(10 * time.Second)

		before := c.traffic()
		time.Sleep(time.Minute)

		spent := c.traffic().since(before)
		assert.Equal(t, len(c.behind(good)), 0)
		assert.Equal(t, spent.messages, 0, "messages in a minute about a refused version")
		assert.Assert(t, spent.calls <= domains*2*8, "%d platform calls in a minute about a refused version", spent.calls)

		told := 0

		for _, id := range c.ids() {
			n := c.node(id).count(event.VersionRefused)
			assert.Assert(t, n <= 1, "%s told it %d times", id, n)
			told += n
		}

		assert.Assert(t, told >= domains)

		// The next good version is taken.
		c.number++
		c.settle(c.change())
		c.stopAll()
	})
}

// The platform comes back from a copy that lacks the last versions. Nodes must
// not go back, and the next version must be above all that nodes hold.
func TestPlatformBackFromAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 40, 5)
		c.settle(c.accept())

		old := c.platform.Snapshot()

		c.settle(c.change())
		third := c.change()
		c.settle(third)

		c.platform.Restore(old)
		time.Sleep(5 * time.Second)

		head, _, err := c.acceptor.Head(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, head.Version.Number, third, "the watchers repair the platform")
		assert.Equal(t, len(c.behind(third)), 0)

		// Also if the copy is empty.
		c.platform.Restore(nil)
		time.Sleep(time.Minute)

		assert.Equal(t, c.change(), third+1)
		c.settle(third + 1)
		c.stopAll()
	})
}

// A domain can't reach the platform, and another neither the platform nor the
// others. The first learns from its peers; the second goes on with what it has
// and catches up when it is healed.
func TestDomainsCutOffFromThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 40, 5)
		c.settle(c.accept())

		c.platform.SetFaults(platform.Faults{Cut: []string{"d0"}})
		c.settle(c.change())

		c.platform.SetFaults(platform.Faults{Down: true})
		time.Sleep(10 * time.Minute)

		// Long down, a fresh process still learns the newest version, from peers.
		id := c.ids()[0]
		domain := c.node(id).domain
		c.kill(id)
		n := c.start(id, domain)
		time.Sleep(5 * time.Second)
		assert.Equal(t, n.holder.Number(), c.number)

		// All come back at once and must not arrive together.
		before := c.traffic()
		c.platform.SetFaults(platform.Faults{})
		time.Sleep(20 * time.Second)

		calls := c.traffic().since(before).calls
		assert.Assert(t, calls <= domains*2*3, "%d calls when the platform is back", calls)
		c.settle(c.change())
		c.stopAll()
	})
}

// Most of the fleet dies and is started again within a second. If each fresh
// process went to the platform for the tree, the platform would be down next.
func TestHerdOfRestartsSparesThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 200

		c := startCluster(t, size, 40)
		c.settle(c.accept())

		before := c.traffic()

		for i := range size - 20 {
			domain := c.node(nodeID(i)).domain
			c.kill(nodeID(i))
			c.start(nodeID(i), domain)
		}

		took := c.settle(c.number)
		time.Sleep(5 * time.Second)

		spent := c.traffic().since(before)
		t.Logf("%d restarts: %v, %d platform calls, %d pulls, %d messages", size-20, took, spent.calls, spent.wholes, spent.messages)
		assert.Assert(t, spent.calls <= domains*2*6, "%d platform calls", spent.calls)
		assert.Assert(t, spent.wholes < 3*size, "%d pulls", spent.wholes)
		c.stopAll()
	})
}

// The whole fleet is replaced, and nobody holds a version any more.
func TestWholeFleetReplacedReadsThePlatformAFewTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 100

		c := startCluster(t, size, 200)
		c.settle(c.accept())

		for i := range size {
			c.kill(nodeID(i))
		}

		before := c.traffic()

		for i := range size {
			c.start(nodeID(i), []string{"d0", "d1", "d2", "d3"}[i%domains])
		}

		took := c.settle(c.number)
		spent := c.traffic().since(before)
		t.Logf("%d processes: %v, %d platform calls, %d pulls", size, took, spent.calls, spent.wholes)
		assert.Assert(t, spent.calls <= domains*2*8, "%d platform calls", spent.calls)
		c.stopAll()
	})
}

// Changes in quick succession: Frugal sends them as fewer deltas, Fast sooner.
func TestFrugalSavesBytesOnABurst(t *testing.T) {
	burst := func(opts ...propagation.Option) (bytes int, slowest time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			c := startCluster(t, 100, 40, opts...)
			c.settle(c.accept())
			c.settle(c.change())
			time.Sleep(10 * time.Second)

			before := c.traffic()

			for range changes {
				c.change()
				time.Sleep(100 * time.Millisecond)
			}

			slowest = c.settle(c.number)
			bytes = c.traffic().since(before).bytes
			c.stopAll()
		})

		return bytes, slowest
	}

	fast, fastTime := burst()
	frugal, frugalTime := burst(propagation.Frugal())

	t.Logf("fast %d bytes, last change after %v; frugal %d bytes, %v", fast, fastTime, frugal, frugalTime)
	// The changes last for a second and a pause for two: a watcher takes the first
	// and the last, so a node gets two deltas, and by chance in gossip two more, of
	// the ten that Fast sends.
	assert.Assert(t, 3*frugal < fast)
	assert.Assert(t, fastTime < frugalTime)
	assert.Assert(t, frugalTime < 5*time.Second, "the changes came one at a time")
}
