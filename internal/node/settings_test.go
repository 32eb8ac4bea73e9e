package node_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/settings"
)

// acceptEdit accepts a change of one route through a node and waits until it is active on every
// node.
func (f *fleet) acceptEdit(i int, text string) settings.Version {
	f.t.Helper()

	current, err := f.operator(i).Tree(f.t.Context())
	assert.NilError(f.t, err)

	e, err := settings.ParseEdit(text)
	assert.NilError(f.t, err)

	next, err := current.Tree.With("/midlands/ledger/upload", e)
	assert.NilError(f.t, err)

	data, err := next.Text()
	assert.NilError(f.t, err)

	v, err := f.operator(i).Accept(f.t.Context(), operator.AcceptRequest{
		File: "edit", Tree: data, Base: current.Version.Number, ID: "edit-" + text[len("Deadline="):],
	})
	assert.NilError(f.t, err)
	f.waitForVersion(v.Number)

	return v
}

func (f *fleet) waitForVersion(number uint64) {
	f.t.Helper()
	f.wait("the version to be active on every node", func() bool {
		s, err := f.operator(1).Status(f.t.Context())

		return err == nil && s.Newest == number && s.ActiveNodes == len(f.hosts)
	})
}

// The platform is restored from a copy that lacks the newest version, and an operator accepts
// another one. Nodes that returned to the older version would apply withdrawn rules; a new
// version with a number that the nodes already have would become active on none of them.
func TestFleetKeepsVersionLostByPlatformRestore(t *testing.T) {
	f := startFleet(t)
	first := f.accept()
	old := f.platform.Snapshot()
	second := f.acceptEdit(0, "Deadline=6s")
	assert.Equal(t, second.Number, first+1)

	f.platform.Restore(old)

	third := f.acceptEdit(5, "Deadline=7s")
	assert.Equal(t, third.Number, first+2)

	changes, err := f.operator(3).Version(t.Context(), second.Number)
	assert.NilError(t, err)
	assert.Equal(t, changes.Version.AcceptanceID, second.AcceptanceID)
}

// The timeline of a version must show one acceptance and, for each node, when the version
// became active and where it came from.
func TestTimelineShowsVersionFromAcceptanceToEachNode(t *testing.T) {
	f := startFleet(t)
	f.accept()
	v := f.acceptEdit(2, "Deadline=6s")

	entries, err := f.operator(4).Timeline(t.Context(), timeline.Filter{Version: v.Number})
	assert.NilError(t, err)

	accepted, active := 0, map[string]bool{}

	for _, e := range entries {
		switch e.Number {
		case event.VersionAccepted.Number:
			accepted++
		case event.VersionInForce.Number:
			active[e.Node] = true

			assert.Assert(t, e.Peer != "", "the event of %s names no source of the version", e.Node)
		}
	}

	assert.Equal(t, accepted, 1)
	assert.Equal(t, len(active), len(f.hosts))

	s, err := f.operator(4).Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(s.Slowest(3)), 3)
	assert.Assert(t, !s.Slowest(1)[0].Behind && s.Slowest(1)[0].After > 0)
}
