package membership_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/membership"
)

const domainCount = 6

func domainOf(i int) string { return fmt.Sprintf("domain-%d", i%domainCount) }

// spread starts count nodes, dealt to failure domains by turns.
func (n *network) spread(t *testing.T, count int) []*simNode {
	t.Helper()

	seeds := membership.Seeds(address(nodeID(0)), address(nodeID(1)))

	var out []*simNode

	for i := range count {
		r := record(nodeID(i), uint64(1+i))
		r.FailureDomain = domainOf(i)
		out = append(out, n.startAs(t, r, seeds))
	}

	return out
}

// joined returns nodes that have known each other for a while.
func joined(t *testing.T, size int) (*network, []*simNode) {
	t.Helper()

	n := newNetwork()
	nodes := n.spread(t, size)
	until(t, time.Minute, "join", func() bool { return n.agree(size) })
	time.Sleep(10 * time.Second)

	return n, nodes
}

// say changes the state of the node's backend server and tells others, as a node does.
func (s *simNode) say(ctx context.Context, state membership.UpstreamState) {
	s.table.Update(func(r membership.Record) membership.Record {
		r.Upstream.State = state

		return r
	})
	s.gossip.Tell(ctx)
}

// knownEverywhere waits until no node sends calls to more than count nodes.
func knownEverywhere(t *testing.T, nodes []*simNode, count int, limit time.Duration) {
	t.Helper()

	took := until(t, limit, "the leaving is known", func() bool {
		for _, s := range nodes {
			if len(s.table.Serving("browse")) > count {
				return false
			}
		}

		return true
	})
	t.Logf("known everywhere after %s", took)
}

// churn changes a backend server's state every 100 ms, as the replacement of many
// backend servers does.
func churn(ctx context.Context, nodes []*simNode, changes int) {
	const pause = 100 * time.Millisecond

	states := []membership.UpstreamState{membership.UpstreamDraining, membership.UpstreamReady}

	for i := range changes {
		nodes[(i/len(states))%len(nodes)].say(ctx, states[i%len(states)])
		time.Sleep(pause)
	}
}

// Backend servers of a large fleet are replaced all day, so there is always news. If
// each node sent it to nodes of the whole fleet, five of six messages would cross
// failure domains, and the bytes between them would grow with the number of nodes:
// operators would pay for links that carry next to nothing but gossip.
func TestNewsCrossesFailureDomainsForAFewNodesOnly(t *testing.T) {
	const (
		changes = 40
		// Each failure domain sends to the others what a few nodes would.
		mostMessages = 2 * domainCount * changes * 8
	)

	bytes := map[int]int{}

	for _, size := range []int{60, 180} {
		synctest.Test(t, func(t *testing.T) {
			n, nodes := joined(t, size)
			n.resetTraffic()
			churn(t.Context(), nodes, changes)

			far := n.between()
			bytes[size] = far.bytes
			t.Logf("%d nodes: %d messages and %d bytes between failure domains in 4 s", size, far.messages, far.bytes)
			assert.Assert(t, far.messages <= mostMessages, "%d messages", far.messages)
		})
	}

	assert.Assert(t, bytes[180] <= 2*bytes[60], "%d bytes with 180 nodes, %d with 60", bytes[180], bytes[60])
}

// A backend server leaves in one failure domain. Entries in all others must stop
// sending calls to it within two seconds, though only few nodes pass news on between
// failure domains.
func TestAChangeIsInAllFailureDomainsWithinTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 120

		_, nodes := joined(t, size)

		for _, leaving := range []int{7, 50, 99} {
			before := len(nodes[0].table.Serving("browse"))

			nodes[leaving].say(t.Context(), membership.UpstreamDraining)

			took := until(t, 2*time.Second, "no entry sends calls to the leaving one", func() bool {
				for _, s := range nodes {
					if len(s.table.Serving("browse")) != before-1 {
						return false
					}
				}

				return true
			})
			t.Logf("known in all failure domains after %s", took)
		}
	})
}

// Hosts of one failure domain lose power at once, those that passed its news on among
// them. Callers elsewhere must stop being sent there, and find the hosts again once
// they are back.
func TestAFailureDomainDiesAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 60

		n, nodes := joined(t, size)

		dead := 0

		for i := range nodes {
			if domainOf(i) == domainOf(2) {
				n.kill(nodeID(i))

				dead++
			}
		}

		took := until(t, 30*time.Second, "the dead are known", func() bool { return n.agree(size - dead) })
		t.Logf("dead everywhere after %s", took)

		for i := range nodes {
			if domainOf(i) == domainOf(2) {
				r := record(nodeID(i), uint64(1000+i))
				r.FailureDomain = domainOf(i)
				n.startAs(t, r, membership.Seeds(address(nodeID(0))))
			}
		}

		took = until(t, 30*time.Second, "all are back", func() bool { return n.agree(size) })
		t.Logf("back everywhere after %s", took)
	})
}

// A failure domain is cut off while a backend server on each side leaves. After the
// cut heals both sides must know of the other's leaving within seconds, though nobody
// who saw it tells it any more.
func TestLeavingsDuringACutAreKnownAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 60

		n, nodes := joined(t, size)

		inside := map[string]bool{}
		for i := range nodes {
			inside[address(nodeID(i))] = domainOf(i) == domainOf(4)
		}

		n.set(func() { n.cut = func(from, to string) bool { return inside[from] != inside[to] } })
		time.Sleep(time.Minute)

		for _, leaving := range []int{4, 5} {
			nodes[leaving].say(t.Context(), membership.UpstreamDraining)
		}

		time.Sleep(10 * time.Second)
		n.set(func() { n.cut = func(string, string) bool { return false } })

		took := until(t, 30*time.Second, "both leavings are known", func() bool {
			for _, s := range nodes {
				if s.table.CountLive() != size || len(s.table.Serving("browse")) != size-2 {
					return false
				}
			}

			return true
		})
		t.Logf("known everywhere after %s", took)
	})
}

// The link between a node and its own failure domain is cut, in both directions, and
// others reach both. Its entry must hear of backend servers that leave, in its failure
// domain and elsewhere, and its own leaving has to be known there: news that comes by
// neighbours alone would never arrive.
func TestANodeThatReachesOtherFailureDomainsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, lonely = 36, 7

		n, nodes := joined(t, size)

		beside := map[string]bool{}
		for i := range nodes {
			beside[address(nodeID(i))] = i != lonely && domainOf(i) == domainOf(lonely)
		}

		alone := address(nodeID(lonely))
		n.set(func() {
			n.cut = func(from, to string) bool { return (from == alone && beside[to]) || (to == alone && beside[from]) }
		})
		time.Sleep(30 * time.Second)

		for gone, leaving := range []int{lonely + domainCount, lonely + 1, lonely} {
			nodes[leaving].say(t.Context(), membership.UpstreamDraining)

			knownEverywhere(t, nodes, size-gone-1, 10*time.Second)
		}

		assert.Assert(t, n.agree(size))
	})
}

// What one failure domain sends to another is lost, the other way and all third ones work.
// A backend server that leaves in the first must be known in the second, over others; and
// nobody may be taken for dead, since each node is reached by somebody.
func TestAOneWayCutBetweenTwoFailureDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 36

		n, nodes := joined(t, size)

		in := map[string]string{}
		for i := range nodes {
			in[address(nodeID(i))] = domainOf(i)
		}

		n.set(func() {
			n.cut = func(from, to string) bool { return in[from] == domainOf(0) && in[to] == domainOf(1) }
		})
		time.Sleep(30 * time.Second)

		for count, leaving := range []int{0, 6, 1} {
			nodes[leaving].say(t.Context(), membership.UpstreamDraining)

			knownEverywhere(t, nodes, size-count-1, 10*time.Second)
		}

		assert.Assert(t, n.agree(size))
	})
}
