package membership_test

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Nodes tell each other several times a second which version they hold, and mostly it is the
// same. Only a newer one is passed on, beside the answer, which does not wait for it: a node
// that fetched it first would look dead to the other.
func TestOnlyNewerVersionsAreHeardOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const held = 7

		var heard []uint64

		fetched := make(chan struct{})
		table := membership.NewTable(membership.Record{ID: "a", PeerAddress: "10.0.0.1:1"}, timeline.New(timeline.Node("a")))
		g := membership.NewGossip(table, nil,
			membership.Version(func() uint64 { return held }),
			membership.Hear(func(_ context.Context, _ string, version uint64) {
				heard = append(heard, version)

				<-fetched
			}))

		for _, version := range []uint64{held - 1, held, held + 1} {
			_, err := g.Serve(t.Context(), membership.Exchange{From: "b", Address: "10.0.0.2:1", Version: version})
			assert.NilError(t, err)
		}

		synctest.Wait()
		assert.DeepEqual(t, heard, []uint64{held + 1})
		close(fetched)
	})
}
