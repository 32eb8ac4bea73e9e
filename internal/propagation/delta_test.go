package propagation_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pollencart/pollencart/internal/propagation"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/settings"
)

func snapshots(t assert.TestingT, n int) []*settings.Snapshot {
	out := make([]*settings.Snapshot, n)

	for i := range out {
		next := tree(4)
		b := next.Branches[fmt.Sprintf("s%03d", i%4)]
		b.Service = &settings.Service{Slots: i + 1, Connections: 100}
		next.Branches[fmt.Sprintf("s%03d", i%4)] = b

		records, err := next.Records()
		assert.NilError(t, err)

		v := settings.Version{Number: uint64(i + 1), Digest: settings.TreeDigest(records.Digests()), AcceptanceID: fmt.Sprint(i)}
		out[i], err = settings.NewSnapshot(v, records)
		assert.NilError(t, err)
	}

	return out
}

// Deltas cross, repeat and arrive late, from nodes that hold any version. A node
// that went back, or mixed two versions, would answer by rules that nobody
// accepted.
func TestHolderOnlyGoesUpWhateverArrives(t *testing.T) {
	const versions = 8

	all := snapshots(t, versions)

	rapid.Check(t, func(rt *rapid.T) {
		// The one who serves has held some of the versions, in order.
		served := propagation.NewHolder(timeline.New())
		held := propagation.NewHolder(timeline.New())

		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			before := held.Number()

			if rapid.Bool().Draw(rt, "accepted") {
				served.Offer(all[rapid.IntRange(0, versions-1).Draw(rt, "version")])
			}

			d, err := served.Delta(uint64(rapid.IntRange(0, versions).Draw(rt, "have")), "")
			if err == nil {
				if s, err := propagation.Apply(held.Load(), d); err == nil {
					held.Offer(s)
				}
			}

			assert.Assert(rt, held.Number() >= before)

			if now := held.Load(); now != nil {
				assert.DeepEqual(rt, now.Tree(), all[now.Version().Number-1].Tree())
			}
		}
	})
}

// A tree too large for one message arrives in pieces, and while it does, another
// version is accepted. Pieces of two versions put together would be a tree that
// nobody accepted, and one large message would hold up heartbeats.
func TestLargeTreeArrivesInPieces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 9, 40)
		for name, b := range c.tree.Branches {
			for i := range 400 {
				b.Routes[fmt.Sprintf("r%03d", i)] = settings.Route{
					Match: settings.Match{Method: "GET", PathPrefix: fmt.Sprintf("/%s/%d/%s", name, i, strings.Repeat("x", 60))},
				}
			}
		}

		c.settle(c.accept())

		whole, err := c.node(nodeID(0)).holder.Delta(0, "")
		assert.NilError(t, err)
		assert.Assert(t, whole.Rest != "", "the tree fits in one piece")

		c.kill(nodeID(8))
		n := c.start(nodeID(8), "d0")

		time.Sleep(2 * time.Millisecond)
		c.settle(c.change())
		assert.Equal(t, n.holder.Load().Version().Digest, c.node(nodeID(0)).holder.Load().Version().Digest)
		c.stopAll()
	})
}

// A herd asks one node for the whole tree. It serves a few and tells the rest
// when to come back; if it took all, all would be slow together.
func TestWholeTreesAreServedAFewAtATime(t *testing.T) {
	h := propagation.NewHolder(timeline.New())
	h.Offer(snapshots(t, 1)[0])

	s := propagation.New(h, nil, nil, nil, timeline.New(), func(o *propagation.Options) { o.Serves = 0 })

	d, err := s.Serve(context.Background(), propagation.PullRequest{})
	assert.NilError(t, err)
	assert.Assert(t, d.RetryMs > 0)
	assert.Equal(t, len(d.Changed), 0)
}

func TestDeltaThatDoesNotLeadUpIsRefused(t *testing.T) {
	d := propagation.Delta{From: 3, Version: settings.Version{Number: 3}}
	assert.ErrorIs(t, d.Check(), propagation.ErrDelta)

	d = propagation.Delta{Version: settings.Version{Number: 3}, Packed: []byte("no frame")}
	assert.ErrorIs(t, d.Check(), propagation.ErrDelta)

	p := propagation.Push{Number: 4, Delta: &propagation.Delta{Version: settings.Version{Number: 3}}}
	assert.ErrorIs(t, p.Check(), propagation.ErrDelta)
}
