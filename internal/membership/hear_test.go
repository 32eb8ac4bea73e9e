package membership_test

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Nodes exchange their configuration versions several times a second, and these are mostly
// equal. Only a newer version is passed to the handler, outside the reply path: a node that
// fetched the version before replying would look dead to its peer.
func TestOnlyNewerVersionsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const current = 7

		var reported []uint64

		fetched := make(chan struct{})
		table := membership.NewTable(membership.Record{ID: "a", PeerAddress: "10.0.0.1:1"}, timeline.New(timeline.Node("a")))
		g := membership.NewGossip(table, nil,
			membership.Version(func() uint64 { return current }),
			membership.ObserveVersion(func(_ context.Context, _ string, version uint64) {
				reported = append(reported, version)

				<-fetched
			}))

		for _, version := range []uint64{current - 1, current, current + 1} {
			_, err := g.Serve(t.Context(), membership.Exchange{From: "b", Address: "10.0.0.2:1", Version: version})
			assert.NilError(t, err)
		}

		synctest.Wait()
		assert.DeepEqual(t, reported, []uint64{current + 1})
		close(fetched)
	})
}
