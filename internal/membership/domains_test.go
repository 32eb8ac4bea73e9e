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

// startInDomains starts count nodes, assigned to failure domains in turn.
func (n *network) startInDomains(t *testing.T, count int) []*simNode {
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

// joinedNetwork returns a network of nodes that joined and then ran for ten seconds.
func joinedNetwork(t *testing.T, size int) (*network, []*simNode) {
	t.Helper()

	n := newNetwork()
	nodes := n.startInDomains(t, size)
	until(t, time.Minute, "join", func() bool { return n.agree(size) })
	time.Sleep(10 * time.Second)

	return n, nodes
}

// setUpstreamState changes the state of the node's backend server and sends the change, as a
// node does.
func (s *simNode) setUpstreamState(ctx context.Context, state membership.UpstreamState) {
	s.table.Update(func(r membership.Record) membership.Record {
		r.Upstream.State = state

		return r
	})
	s.gossip.SendChanges(ctx)
}

// waitForServing waits until every node sends calls to at most count nodes.
func waitForServing(t *testing.T, nodes []*simNode, count int, limit time.Duration) {
	t.Helper()

	took := until(t, limit, "the draining node is known", func() bool {
		for _, s := range nodes {
			if len(s.table.Serving("browse")) > count {
				return false
			}
		}

		return true
	})
	t.Logf("known everywhere after %s", took)
}

// churn changes the state of a backend server every 100 ms, as a rollout of many backend
// servers does.
func churn(ctx context.Context, nodes []*simNode, changes int) {
	const pause = 100 * time.Millisecond

	states := []membership.UpstreamState{membership.UpstreamDraining, membership.UpstreamReady}

	for i := range changes {
		nodes[(i/len(states))%len(nodes)].setUpstreamState(ctx, states[i%len(states)])
		time.Sleep(pause)
	}
}

// Guards against gossip traffic between failure domains that grows with the fleet. If each
// node sent changes to nodes of the whole fleet, five of six messages would cross failure
// domains, and during steady churn the links between them would carry mostly gossip.
func TestOnlyAFewNodesSendChangesBetweenFailureDomains(t *testing.T) {
	const (
		changes = 40
		// Each failure domain sends the others as much as a few nodes would.
		maxMessages = 2 * domainCount * changes * 8
	)

	bytes := map[int]int{}

	for _, size := range []int{60, 180} {
		synctest.Test(t, func(t *testing.T) {
			n, nodes := joinedNetwork(t, size)
			n.resetTraffic()
			churn(t.Context(), nodes, changes)

			crossDomain := n.crossDomainTraffic()
			bytes[size] = crossDomain.bytes
			t.Logf("%d nodes: %d messages and %d bytes between failure domains in 4 s", size, crossDomain.messages, crossDomain.bytes)
			assert.Assert(t, crossDomain.messages <= maxMessages, "%d messages", crossDomain.messages)
		})
	}

	assert.Assert(t, bytes[180] <= 2*bytes[60], "%d bytes with 180 nodes, %d with 60", bytes[180], bytes[60])
}

// A backend server drains in one failure domain. Entry nodes in all others must stop sending
// calls to it within two seconds, although only a few nodes relay changes between failure
// domains.
func TestChangeReachesAllFailureDomainsWithinTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 120

		_, nodes := joinedNetwork(t, size)

		for _, draining := range []int{7, 50, 99} {
			before := len(nodes[0].table.Serving("browse"))

			nodes[draining].setUpstreamState(t.Context(), membership.UpstreamDraining)

			took := until(t, 2*time.Second, "no node sends calls to the draining one", func() bool {
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

// All hosts of one failure domain fail at once, including the relays of its changes. Other
// failure domains must stop sending calls there, and find the hosts again when they return.
func TestFailedFailureDomainIsDetectedAndRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 60

		n, nodes := joinedNetwork(t, size)

		dead := 0

		for i := range nodes {
			if domainOf(i) == domainOf(2) {
				n.kill(nodeID(i))

				dead++
			}
		}

		took := until(t, 30*time.Second, "the failed nodes are known", func() bool { return n.agree(size - dead) })
		t.Logf("failure known everywhere after %s", took)

		for i := range nodes {
			if domainOf(i) == domainOf(2) {
				r := record(nodeID(i), uint64(1000+i))
				r.FailureDomain = domainOf(i)
				n.startAs(t, r, membership.Seeds(address(nodeID(0))))
			}
		}

		took = until(t, 30*time.Second, "all nodes have rejoined", func() bool { return n.agree(size) })
		t.Logf("rejoined everywhere after %s", took)
	})
}

// A failure domain is partitioned while a backend server on each side drains. After the
// partition heals, both sides must learn of the other's change within seconds, although no
// node gossips these changes any more.
func TestDrainingDuringPartitionIsKnownAfterHealing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 60

		n, nodes := joinedNetwork(t, size)

		inCutDomain := map[string]bool{}
		for i := range nodes {
			inCutDomain[address(nodeID(i))] = domainOf(i) == domainOf(4)
		}

		n.set(func() { n.cut = func(from, to string) bool { return inCutDomain[from] != inCutDomain[to] } })
		time.Sleep(time.Minute)

		for _, draining := range []int{4, 5} {
			nodes[draining].setUpstreamState(t.Context(), membership.UpstreamDraining)
		}

		time.Sleep(10 * time.Second)
		n.set(func() { n.cut = func(string, string) bool { return false } })

		took := until(t, 30*time.Second, "both draining nodes are known", func() bool {
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

// The links between a node and its own failure domain are cut in both directions; other
// failure domains reach both. The node must learn of draining backend servers in all failure
// domains, and its own draining must become known. Changes that spread only within the failure
// domain would not arrive.
func TestNodeCutOffFromItsFailureDomainStillExchangesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, isolated = 36, 7

		n, nodes := joinedNetwork(t, size)

		neighbours := map[string]bool{}
		for i := range nodes {
			neighbours[address(nodeID(i))] = i != isolated && domainOf(i) == domainOf(isolated)
		}

		isolatedAddress := address(nodeID(isolated))
		n.set(func() {
			n.cut = func(from, to string) bool {
				return (from == isolatedAddress && neighbours[to]) || (to == isolatedAddress && neighbours[from])
			}
		})
		time.Sleep(30 * time.Second)

		for drained, draining := range []int{isolated + domainCount, isolated + 1, isolated} {
			nodes[draining].setUpstreamState(t.Context(), membership.UpstreamDraining)

			waitForServing(t, nodes, size-drained-1, 10*time.Second)
		}

		assert.Assert(t, n.agree(size))
	})
}

// Messages from one failure domain to another are lost; the opposite direction and all other
// links work. A backend server that drains in the first must become known in the second
// through other nodes, and no node may be marked dead.
func TestChangesBypassOneWayCutBetweenFailureDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 36

		n, nodes := joinedNetwork(t, size)

		in := map[string]string{}
		for i := range nodes {
			in[address(nodeID(i))] = domainOf(i)
		}

		n.set(func() {
			n.cut = func(from, to string) bool { return in[from] == domainOf(0) && in[to] == domainOf(1) }
		})
		time.Sleep(30 * time.Second)

		for count, draining := range []int{0, 6, 1} {
			nodes[draining].setUpstreamState(t.Context(), membership.UpstreamDraining)

			waitForServing(t, nodes, size-count-1, 10*time.Second)
		}

		assert.Assert(t, n.agree(size))
	})
}
