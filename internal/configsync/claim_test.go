package configsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Messages of the version before have no claims.
type (
	earlierMessage struct {
		Version uint64 `msgpack:"Version"`
	}
	earlierUpdate struct {
		Version uint64 `msgpack:"Version"`
		Base    uint64 `msgpack:"Base"`
		Packed  []byte `msgpack:"Packed"`
		Current bool   `msgpack:"Current"`
	}
)

// Nodes of two versions of the program exchange messages during an upgrade. A message that the other
// side can't decode would cut it off from all versions of the configuration.
func TestNodesOfTheVersionBeforeReadMessagesWithClaims(t *testing.T) {
	c := &claim{From: "b", Newest: 8, Address: "a", AgeMs: 20, Reads: true}

	var message earlierMessage

	decodeInto(t, versionMessage{Version: 7, Claim: c}, &message)
	assert.Equal(t, message, earlierMessage{7})

	var update earlierUpdate

	decodeInto(t, versionUpdate{Version: 7, Base: 6, Packed: []byte("p"), Current: true, Claim: c}, &update)
	assert.DeepEqual(t, update, earlierUpdate{7, 6, []byte("p"), true})

	var next versionUpdate

	decodeInto(t, earlierUpdate{7, 6, []byte("p"), true}, &next)
	assert.DeepEqual(t, next, versionUpdate{Version: 7, Base: 6, Packed: []byte("p"), Current: true})

	vouched := claimOf(next.Claim, next.Version, "b", next.Current)
	assert.DeepEqual(t, *vouched, claim{From: "b", Newest: 7, Address: "b", AgeMs: 0, Reads: true})
	assert.Assert(t, !claimOf(nil, 7, "b", false).isCurrent())
}

func decodeInto(t *testing.T, in, out any) {
	t.Helper()

	data, err := msgpack.Marshal(in)
	assert.NilError(t, err)
	assert.NilError(t, peer.Decode(data, out))
}

// A push waits for a slow link while the store gets a newer version. Its claim must not count as if it
// was made when it arrived.
func TestPushThatWasDelayedDoesNotCountAsYoungKnowledge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 4)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)

		n := sim.newNode("n3")
		_, err := n.syncer.servePush(context.Background(), versionUpdate{
			Version: 0, Current: true, Claim: &claim{From: "n0", Newest: 0, Address: "n0"},
		})
		assert.NilError(t, err)

		age, ok := n.syncer.fresh.Age()
		assert.Assert(t, !ok || age >= pushTimeout, "%s", age)
	})
}

// A report that came from a third node must not be passed on, or nodes would keep the report of a
// version alive that no node has any more.
func TestRelayedReportIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 4)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)

		s := sim.node("n3").syncer
		s.learn(said{version: 1, claim: &claim{From: "n0", Newest: 9, Address: "gone", AgeMs: unknownAge}, at: time.Now()})

		c := s.claim()
		assert.Equal(t, c.Newest, uint64(1))
		assert.Equal(t, c.AgeMs, int64(unknownAge))
	})
}

// A node that ended told all others of a version that nobody else has. They must not read the store
// instead, one after the other, nor look for the version for good.
func TestVersionThatNobodyDeliversCausesFewStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const domains, nodes = 4, 88

		sim := newSimulationIn(t, domains, nodes)
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		sim.locked(func() { sim.isolated["gone"], sim.calls = true, 0 })

		for i := range sim.records {
			sim.node(sim.records[i].ID).syncer.ObserveVersion(context.Background(), "gone", 99)
		}

		time.Sleep(15 * time.Second)
		sim.locked(func() {
			t.Logf("%d calls in 15 s, %d open watches", sim.calls, sim.watchers)
			assert.Assert(t, sim.calls < 15*domains*Watchers, "%d calls", sim.calls)
		})
		time.Sleep(watchTimeout)
		sim.locked(func() { assert.Equal(t, sim.watchers, domains*Watchers) })
	})
}

// An operator stores a document that the check rejects. The nodes keep the version before, say so
// once, and don't all read the store because of it.
func TestInvalidDocumentIsReportedOnceAndCausesFewStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const domains, nodes = 4, 88

		invalid := errors.New("invalid")

		sim := newSimulationIn(t, domains, nodes, func(o *Options) {
			inner := o.Decode
			o.Decode = func(data []byte) (*route.Table, error) {
				table, err := inner(data)
				if err == nil && table.Version() == 2 {
					err = invalid
				}

				return table, err
			}
		})
		sim.gossipNearby(t, rand.New(rand.NewPCG(1, 2)))
		sim.write(1)
		sim.awaitVersion(t, 1, 2*time.Second)
		time.Sleep(5 * time.Second)
		sim.locked(func() { sim.calls = 0 })
		sim.write(2)

		for i := range int64(40) {
			time.Sleep(250 * time.Millisecond)
			sim.writeOtherKeys(sim.snapshot().revision + i)
		}

		sim.locked(func() {
			t.Logf("%d calls in 10 s", sim.calls)
			assert.Assert(t, sim.calls < 10*domains*Watchers, "%d calls", sim.calls)
		})

		for i := range sim.records {
			n := sim.node(sim.records[i].ID)
			assert.Equal(t, n.holder.Number(), uint64(1))
			assert.Assert(t, len(n.reported.Entries(timeline.Filter{Event: event.VersionRefused.Name})) <= 1, n.id)
		}

		sim.write(3)
		sim.awaitVersion(t, 3, 2*time.Second)
	})
}

// An operator stores a second document with the same fault as the first. Its rejection must have a line of
// its own, or the operator takes the second document for accepted.
func TestEachInvalidDocumentIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		invalid := errors.New("invalid")

		sim := newSimulationIn(t, 1, 2, func(o *Options) {
			inner := o.Decode
			o.Decode = func(data []byte) (*route.Table, error) {
				table, err := inner(data)
				if err == nil && table.Version() > 1 {
					err = invalid
				}

				return table, err
			}
		})

		for version := range int64(3) {
			sim.write(version + 1)
			time.Sleep(2 * time.Second)
		}

		for _, n := range sim.nodes {
			assert.Equal(t, n.holder.Number(), uint64(1))
			assert.Equal(t, len(n.reported.Entries(timeline.Filter{Event: event.VersionRefused.Name})), 2, n.id)
		}
	})
}
