package membership_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/timeline"
)

// A node that is gone for good could keep its share of what the nodes share.
func TestCountKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		record := func(id, address string, s membership.State) membership.Record {
			return membership.Record{ID: id, PeerAddress: address, Incarnation: 1, Epoch: 1, Seq: 1, State: s, FailureDomain: "d"}
		}
		table := membership.NewTable(record("self", "a:1", membership.StateAlive), timeline.New())

		for _, r := range []membership.Record{
			record("live", "b:1", membership.StateAlive), record("suspect", "c:1", membership.StateAlive),
			record("dead", "d:1", membership.StateAlive), record("left", "e:1", membership.StateAlive),
			record("replaced", "b:1", membership.StateAlive), record("left", "e:1", membership.StateLeft),
		} {
			table.Merge([]membership.Record{r})
		}

		table.Suspect("dead", "", "self")
		table.Suspect("replaced", "", "self")
		time.Sleep(time.Minute)
		table.Expire(membership.Suspicion{Shortest: time.Second, Longest: time.Second})
		table.Suspect("suspect", "", "self")

		assert.Equal(t, table.CountKnown(time.Minute), 4)
		time.Sleep(2 * time.Minute)
		assert.Equal(t, table.CountKnown(time.Minute), 3)
	})
}
