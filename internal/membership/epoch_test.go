package membership_test

import (
	"math"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/epoch"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/timeline"
)

// earlier is an exchange as nodes wrote it that know of no epoch.
type earlier struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	From    string
	Address string
	Hash    uint64
	Version uint64
	Records []membership.Record
	Beliefs []membership.Belief
}

func withEpoch(e *epoch.Current) *membership.Gossip {
	table := membership.NewTable(membership.Record{ID: "a", PeerAddress: "10.0.0.1:1"}, timeline.New(timeline.Node("a")))

	return membership.NewGossip(table, nil, membership.WithEpochs(e))
}

func TestANodeThatDoesNotAskTheStoreHearsOfItsEpoch(t *testing.T) {
	e := epoch.New()
	e.Observe(3)

	changed := e.Changed()

	answer, err := withEpoch(e).Serve(t.Context(), membership.Exchange{From: "b", Address: "10.0.0.2:1", StoreEpoch: 4})
	assert.NilError(t, err)
	assert.Equal(t, answer.StoreEpoch, uint64(4))

	<-changed
}

func TestANodeThatKnowsNoEpochOrAnOlderOneChangesNothing(t *testing.T) {
	e := epoch.New()
	g := withEpoch(e)

	for _, heard := range []uint64{0, 3, 0, 2} {
		changed := e.Changed()
		answer, err := g.Serve(t.Context(), membership.Exchange{From: "b", Address: "10.0.0.2:1", StoreEpoch: heard})
		assert.NilError(t, err)
		assert.Equal(t, answer.StoreEpoch, e.Number())

		select {
		case <-changed:
			t.Errorf("taken for a change: %d", heard)
		default:
		}
	}

	assert.Equal(t, e.Number(), uint64(3))
}

func TestMessagesWithAndWithoutAnEpochAreReadByBoth(t *testing.T) {
	old := earlier{From: "a", Address: "10.0.0.1:1", Hash: 1, Version: 2}

	data, err := msgpack.Marshal(old)
	assert.NilError(t, err)

	var now membership.Exchange

	assert.NilError(t, peer.Decode(data, &now))
	assert.Equal(t, now.Version, old.Version)
	assert.Equal(t, now.StoreEpoch, uint64(0))

	for _, number := range []uint64{0, 5, math.MaxUint64} {
		now.StoreEpoch = number

		data, err = msgpack.Marshal(now)
		assert.NilError(t, err)

		var before earlier

		assert.NilError(t, peer.Decode(data, &before))
		assert.DeepEqual(t, before.Version, old.Version)

		var again membership.Exchange

		assert.NilError(t, peer.Decode(data, &again))
		assert.Equal(t, again.StoreEpoch, number)
	}
}

func TestAnEpochAddsFewBytes(t *testing.T) {
	without, err := msgpack.Marshal(earlier{From: "a", Address: "10.0.0.1:1"})
	assert.NilError(t, err)

	with, err := msgpack.Marshal(membership.Exchange{From: "a", Address: "10.0.0.1:1", StoreEpoch: 127})
	assert.NilError(t, err)
	assert.Assert(t, len(with)-len(without) <= 1, "%d bytes, %d without", len(with), len(without))
}

func TestAnEpochThatIsNoNumberIsRefused(t *testing.T) {
	data, err := msgpack.Marshal(earlier{From: "a", Address: "10.0.0.1:1"})
	assert.NilError(t, err)

	var e membership.Exchange

	for _, tail := range [][]byte{{0xa1, 'x'}, {0xcf, 1}, {0xc1}} {
		assert.Assert(t, peer.Decode(append(append([]byte{}, data...), tail...), &e) != nil, "%x", tail)
	}
}
