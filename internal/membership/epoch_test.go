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

// oldExchange is the message format without the store epoch.
type oldExchange struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	From    string
	Address string
	Hash    uint64
	Version uint64
	Records []membership.Record
	Beliefs []membership.Belief
}

func gossipWithEpochs(e *epoch.Current) *membership.Gossip {
	table := membership.NewTable(membership.Record{ID: "a", PeerAddress: "10.0.0.1:1"}, timeline.New(timeline.Node("a")))

	return membership.NewGossip(table, nil, membership.WithEpochs(e))
}

func TestNodeLearnsStoreEpochFromPeers(t *testing.T) {
	e := epoch.New()
	e.Observe(3)

	changed := e.Changed()

	answer, err := gossipWithEpochs(e).Serve(t.Context(), membership.Exchange{From: "b", Address: "10.0.0.2:1", StoreEpoch: 4})
	assert.NilError(t, err)
	assert.Equal(t, answer.StoreEpoch, uint64(4))

	<-changed
}

func TestMissingOrOlderStoreEpochIsIgnored(t *testing.T) {
	e := epoch.New()
	g := gossipWithEpochs(e)

	for _, received := range []uint64{0, 3, 0, 2} {
		changed := e.Changed()
		answer, err := g.Serve(t.Context(), membership.Exchange{From: "b", Address: "10.0.0.2:1", StoreEpoch: received})
		assert.NilError(t, err)
		assert.Equal(t, answer.StoreEpoch, e.Number())

		select {
		case <-changed:
			t.Errorf("epoch %d counted as a change", received)
		default:
		}
	}

	assert.Equal(t, e.Number(), uint64(3))
}

func TestExchangeFormatsWithAndWithoutEpochAreCompatible(t *testing.T) {
	old := oldExchange{From: "a", Address: "10.0.0.1:1", Hash: 1, Version: 2}

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

		var decodedOld oldExchange

		assert.NilError(t, peer.Decode(data, &decodedOld))
		assert.DeepEqual(t, decodedOld.Version, old.Version)

		var decoded membership.Exchange

		assert.NilError(t, peer.Decode(data, &decoded))
		assert.Equal(t, decoded.StoreEpoch, number)
	}
}

func TestStoreEpochAddsAtMostOneByte(t *testing.T) {
	without, err := msgpack.Marshal(oldExchange{From: "a", Address: "10.0.0.1:1"})
	assert.NilError(t, err)

	with, err := msgpack.Marshal(membership.Exchange{From: "a", Address: "10.0.0.1:1", StoreEpoch: 127})
	assert.NilError(t, err)
	assert.Assert(t, len(with)-len(without) <= 1, "%d bytes, %d without", len(with), len(without))
}

func TestStoreEpochThatIsNotANumberIsRejected(t *testing.T) {
	data, err := msgpack.Marshal(oldExchange{From: "a", Address: "10.0.0.1:1"})
	assert.NilError(t, err)

	var e membership.Exchange

	for _, tail := range [][]byte{{0xa1, 'x'}, {0xcf, 1}, {0xc1}} {
		assert.Assert(t, peer.Decode(append(append([]byte{}, data...), tail...), &e) != nil, "%x", tail)
	}
}
