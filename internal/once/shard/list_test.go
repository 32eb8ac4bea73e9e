package shard_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/once/shard"
)

var (
	a1 = shard.Self{Node: "a", BootID: "1", FailureDomain: "derby"}
	a2 = shard.Self{Node: "a", BootID: "2", FailureDomain: "derby"}
	b1 = shard.Self{Node: "b", BootID: "1", FailureDomain: "derby"}
)

func claimed(t *testing.T) shard.List {
	t.Helper()

	l, ok := shard.NewList([]string{"derby"}).Claim(a1, []string{"a"})
	assert.Assert(t, ok)

	return l
}

// A node that merely considers the owner failed must not claim its shards; both nodes would run an
// upload that its caller retries.
func TestOwnedShardIsNotClaimedByAnotherNode(t *testing.T) {
	l := claimed(t)

	_, ok := l.Claim(b1, []string{"b"})
	assert.Assert(t, !ok)

	_, ok = l.Claim(a1, []string{"a"})
	assert.Assert(t, !ok, "the process already owns the shards")

	next, ok := l.Claim(a2, []string{"a"})
	assert.Assert(t, ok)
	assert.DeepEqual(t, next.Shards[0], shard.Shard{FailureDomain: "derby", Node: "a", BootID: "2", RecordsLost: true})
}

// An earlier owner may have run keys of a shard. The list keeps this fact across changes of owner
// until a handover transfers the records.
func TestRecordsLostPersistsUntilHandover(t *testing.T) {
	l := claimed(t)
	assert.Assert(t, !l.Shards[0].RecordsLost)

	l, ok := l.Vacate("a")
	assert.Assert(t, ok && l.Shards[0].Node == "" && l.Shards[0].RecordsLost)

	l, ok = l.Claim(b1, []string{"b"})
	assert.Assert(t, ok && l.Shards[0].RecordsLost)

	given, ok := l.Transfer(b1, map[int]shard.Self{0: a2})
	assert.Assert(t, ok)
	assert.DeepEqual(t, given.Shards[0], shard.Shard{FailureDomain: "derby", Node: "a", BootID: "2", FromBootID: "1"})
	assert.Equal(t, given.Shards[1], l.Shards[1])

	_, ok = given.Transfer(b1, map[int]shard.Self{0: b1})
	assert.Assert(t, !ok, "only the owner can transfer a shard")
}

// Keys must not move to other shards when the settings gain a failure domain, so the list keeps its
// shards once written. Its size for 14 failure domains must fit into one value of the platform.
func TestListSizeIsFixedAndBounded(t *testing.T) {
	domains := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "n"}
	l := shard.NewList(domains)
	assert.Equal(t, len(l.Shards), 14*shard.PerDomain)

	for i := range l.Shards {
		l.Shards[i].Node, l.Shards[i].BootID = "nottm-a-browse-1234", "mjf2k0x1-9f8e7d6c5b4a3021"
	}

	l.Number = 1

	data, err := json.Marshal(l)
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 32<<10, "%d", len(data))

	back, err := shard.Parse(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, l)

	_, err = shard.Parse([]byte(`{"Number":3}`))
	assert.ErrorIs(t, err, shard.ErrList)
}
