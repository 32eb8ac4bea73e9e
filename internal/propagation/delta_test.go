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

// Deltas arrive reordered, repeated and late, from nodes with any version. A node must
// neither return to an older version nor mix two versions, since it would then answer
// by rules that were never accepted.
func TestHolderVersionNeverDecreases(t *testing.T) {
	const versions = 8

	all := snapshots(t, versions)

	rapid.Check(t, func(rt *rapid.T) {
		// The serving node has had some of the versions, in order.
		server := propagation.NewHolder(timeline.New())
		receiver := propagation.NewHolder(timeline.New())

		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			before := receiver.Number()

			if rapid.Bool().Draw(rt, "accepted") {
				server.Offer(all[rapid.IntRange(0, versions-1).Draw(rt, "version")])
			}

			d, err := server.Delta(uint64(rapid.IntRange(0, versions).Draw(rt, "have")), "")
			if err == nil {
				if s, err := propagation.Apply(receiver.Load(), d); err == nil {
					receiver.Offer(s)
				}
			}

			assert.Assert(rt, receiver.Number() >= before)

			if now := receiver.Load(); now != nil {
				assert.DeepEqual(rt, now.Tree(), all[now.Version().Number-1].Tree())
			}
		}
	})
}

// Another version is accepted while a tree is pulled in pieces. Pieces of two versions
// must not be combined into a tree that was never accepted. A single large message
// would delay heartbeats.
func TestLargeTreeIsPulledInPieces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 9, 40)
		for name, b := range c.tree.Branches {
			for i := range 400 {
				b.Routes[fmt.Sprintf("r%03d", i)] = settings.Route{
					Match: settings.Match{Method: "GET", PathPrefix: fmt.Sprintf("/%s/%d/%s", name, i, strings.Repeat("x", 60))},
				}
			}
		}

		c.waitActive(c.accept())

		whole, err := c.node(nodeID(0)).holder.Delta(0, "")
		assert.NilError(t, err)
		assert.Assert(t, whole.Rest != "", "the tree fits in one piece")

		c.kill(nodeID(8))
		n := c.start(nodeID(8), "d0")

		time.Sleep(2 * time.Millisecond)
		c.waitActive(c.change())
		assert.Equal(t, n.holder.Load().Version().Digest, c.node(nodeID(0)).holder.Load().Version().Digest)
		c.stopAll()
	})
}

// When many nodes pull the whole tree from one node, it serves a few and returns a
// retry delay to the rest. Serving all at once would slow down every pull.
func TestServePullLimitsConcurrentTrees(t *testing.T) {
	h := propagation.NewHolder(timeline.New())
	h.Offer(snapshots(t, 1)[0])

	s := propagation.New(h, nil, nil, nil, timeline.New(), func(o *propagation.Options) { o.MaxTreesServed = 0 })

	d, err := s.ServePull(context.Background(), propagation.PullRequest{})
	assert.NilError(t, err)
	assert.Assert(t, d.RetryMs > 0)
	assert.Equal(t, len(d.Changed), 0)
}

func TestCheckRejectsInvalidDelta(t *testing.T) {
	d := propagation.Delta{From: 3, Version: settings.Version{Number: 3}}
	assert.ErrorIs(t, d.Check(), propagation.ErrDelta)

	d = propagation.Delta{Version: settings.Version{Number: 3}, Packed: []byte("no frame")}
	assert.ErrorIs(t, d.Check(), propagation.ErrDelta)

	p := propagation.Push{Number: 4, Delta: &propagation.Delta{Version: settings.Version{Number: 3}}}
	assert.ErrorIs(t, p.Check(), propagation.ErrDelta)
}
