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

// cost is the cost of one change in a fleet that already has a version.
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
		c.waitActive(c.accept())
		c.waitActive(c.change())

		before := c.traffic()
		for range changes {
			out.slowest = max(out.slowest, c.waitActive(c.change()))
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

// Platform load and traffic for each node must not grow with the fleet. If each node
// polled the platform, operators could no longer accept versions; if each change sent
// the whole tree, the network links would be saturated.
func TestCostOfChangeIsIndependentOfFleetSize(t *testing.T) {
	small, delta := measure(t, 50)
	large, _ := measure(t, 200)

	t.Logf("delta %d bytes; 50 nodes %+v; 200 nodes %+v", delta, small, large)
	assert.Equal(t, small.calls, large.calls)
	assert.Assert(t, large.idleCalls <= domains*2*10, "%d idle calls a minute", large.idleCalls)
	assert.Assert(t, large.bytesPerNode < 2*float64(delta), "%f bytes a node, delta %d", large.bytesPerNode, delta)
	assert.Assert(t, large.messagesPerNode < 1.2, "%f messages a node", large.messagesPerNode)
}

// Polling and pushing the whole tree cost more than pushing deltas.
func TestBaselineStrategiesCostMore(t *testing.T) {
	deltas, _ := measure(t, 50)
	poll, _ := measure(t, 50, propagation.With(propagation.StrategyPoll))
	full, _ := measure(t, 50, propagation.With(propagation.StrategyFullPush))

	t.Logf("deltas %+v; poll %+v; full push %+v", deltas, poll, full)
	assert.Assert(t, poll.idleCalls > 10*deltas.idleCalls)
	assert.Assert(t, full.bytesPerNode > 2*deltas.bytesPerNode)
}

// Inner members of the tree are stalled and not yet detected. Without the bypass, the
// members below them would wait for gossip, which is off in this test.
func TestPushBypassesStalledInnerMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 160, 5)
		c.waitActive(c.accept())
		c.gossipOff = true

		order := propagation.Order("d0", c.members("d0"))
		stalled := []string{order[0].ID, order[2].ID}

		for _, id := range stalled {
			c.node(id).stalled.Store(true)
		}

		number := c.change()
		time.Sleep(10 * time.Second)

		for _, id := range stalled {
			c.node(id).stalled.Store(false)
		}

		for _, line := range c.behind(number) {
			assert.Assert(t, line[:8] == stalled[0] || line[:8] == stalled[1], "%s", line)
		}

		// The resumed nodes catch up and push nothing outdated.
		c.gossipOff = false
		c.waitActive(number)
		c.stopAll()
	})
}

// An invalid version reaches the platform because the validation on the operator's
// side is faulty. Each node keeps its active version, records the rejection once, and
// does not request the version again.
func TestInvalidVersionIsRejectedOnceByEachNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 40, 5)
		good := c.accept()
		c.waitActive(good)

		c.acceptInvalid()
		time.Sleep(10 * time.Second)

		before := c.traffic()
		time.Sleep(time.Minute)

		spent := c.traffic().since(before)
		assert.Equal(t, len(c.behind(good)), 0)
		assert.Equal(t, spent.messages, 0, "messages in a minute about a rejected version")
		assert.Assert(t, spent.calls <= domains*2*8, "%d platform calls in a minute about a rejected version", spent.calls)

		recorded := 0

		for _, id := range c.ids() {
			n := c.node(id).count(event.VersionRefused)
			assert.Assert(t, n <= 1, "%s recorded the rejection %d times", id, n)
			recorded += n
		}

		assert.Assert(t, recorded >= domains)

		// The next valid version is activated.
		c.number++
		c.waitActive(c.change())
		c.stopAll()
	})
}

// The platform is restored from a copy that lacks the last versions. Nodes must not
// return to an older version, and the next version number must be above that of all
// nodes.
func TestPlatformRestoredFromOlderCopyIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 40, 5)
		c.waitActive(c.accept())

		old := c.platform.Snapshot()

		c.waitActive(c.change())
		third := c.change()
		c.waitActive(third)

		c.platform.Restore(old)
		time.Sleep(5 * time.Second)

		head, _, err := c.acceptor.Head(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, head.Version.Number, third, "the watchers repair the platform")
		assert.Equal(t, len(c.behind(third)), 0)

		// The same holds for an empty copy.
		c.platform.Restore(nil)
		time.Sleep(time.Minute)

		assert.Equal(t, c.change(), third+1)
		c.waitActive(third + 1)
		c.stopAll()
	})
}

// One domain can't reach the platform and learns a version from its peers. Then the
// platform is down for all: the fleet keeps the version it has, and catches up when
// the platform is back.
func TestDomainsWithoutPlatformCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 40, 5)
		c.waitActive(c.accept())

		c.platform.SetFaults(platform.Faults{Cut: []string{"d0"}})
		c.waitActive(c.change())

		c.platform.SetFaults(platform.Faults{Down: true})
		time.Sleep(10 * time.Minute)

		// A new process still gets the newest version from peers.
		id := c.ids()[0]
		domain := c.node(id).domain
		c.kill(id)
		n := c.start(id, domain)
		time.Sleep(5 * time.Second)
		assert.Equal(t, n.holder.Number(), c.number)

		// The watchers must not all reconnect at once.
		before := c.traffic()
		c.platform.SetFaults(platform.Faults{})
		time.Sleep(20 * time.Second)

		calls := c.traffic().since(before).calls
		assert.Assert(t, calls <= domains*2*3, "%d platform calls after the platform is back", calls)
		c.waitActive(c.change())
		c.stopAll()
	})
}

// Most of the fleet restarts within a second. If each new process read the tree from
// the platform, it would overload the platform.
func TestMassRestartLimitsPlatformCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 200

		c := startCluster(t, size, 40)
		c.waitActive(c.accept())

		before := c.traffic()

		for i := range size - 20 {
			domain := c.node(nodeID(i)).domain
			c.kill(nodeID(i))
			c.start(nodeID(i), domain)
		}

		took := c.waitActive(c.number)
		time.Sleep(5 * time.Second)

		spent := c.traffic().since(before)
		t.Logf("%d restarts: %v, %d platform calls, %d pulls, %d messages", size-20, took, spent.calls, spent.pulls, spent.messages)
		assert.Assert(t, spent.calls <= domains*2*6, "%d platform calls", spent.calls)
		assert.Assert(t, spent.pulls < 3*size, "%d pulls", spent.pulls)
		c.stopAll()
	})
}

// The whole fleet is replaced, and no running node has a version.
func TestFleetReplacementLimitsPlatformCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 100

		c := startCluster(t, size, 200)
		c.waitActive(c.accept())

		for i := range size {
			c.kill(nodeID(i))
		}

		before := c.traffic()

		for i := range size {
			c.start(nodeID(i), []string{"d0", "d1", "d2", "d3"}[i%domains])
		}

		took := c.waitActive(c.number)
		spent := c.traffic().since(before)
		t.Logf("%d processes: %v, %d platform calls, %d pulls", size, took, spent.calls, spent.pulls)
		assert.Assert(t, spent.calls <= domains*2*8, "%d platform calls", spent.calls)
		c.stopAll()
	})
}

// In a burst of changes, Frugal sends fewer deltas and Fast has less latency.
func TestFrugalSendsFewerBytesInBurst(t *testing.T) {
	burst := func(opts ...propagation.Option) (bytes int, slowest time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			c := startCluster(t, 100, 40, opts...)
			c.waitActive(c.accept())
			c.waitActive(c.change())
			time.Sleep(10 * time.Second)

			before := c.traffic()

			for range changes {
				c.change()
				time.Sleep(100 * time.Millisecond)
			}

			slowest = c.waitActive(c.number)
			bytes = c.traffic().since(before).bytes
			c.stopAll()
		})

		return bytes, slowest
	}

	fast, fastTime := burst()
	frugal, frugalTime := burst(propagation.Frugal())

	t.Logf("fast %d bytes, last change after %v; frugal %d bytes, %v", fast, fastTime, frugal, frugalTime)
	// The changes take one second and Frugal pauses for two: a watcher takes the first
	// and the last. A node gets two deltas, and sometimes two more through gossip,
	// where Fast sends ten.
	assert.Assert(t, 3*frugal < fast)
	assert.Assert(t, fastTime < frugalTime)
	assert.Assert(t, frugalTime < 5*time.Second, "the changes were applied one at a time")
}
