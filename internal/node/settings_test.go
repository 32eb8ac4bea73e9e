package node_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/settings"
)

// edit accepts a change of one route through a node and waits until it is in
// force everywhere.
func (f *fleet) edit(i int, text string) settings.Version {
	f.t.Helper()

	now, err := f.operator(i).Tree(f.t.Context())
	assert.NilError(f.t, err)

	e, err := settings.ParseEdit(text)
	assert.NilError(f.t, err)

	next, err := now.Tree.With("/midlands/ledger/upload", e)
	assert.NilError(f.t, err)

	data, err := next.Text()
	assert.NilError(f.t, err)

	v, err := f.operator(i).Accept(f.t.Context(), operator.AcceptRequest{
		File: "edit", Tree: data, Base: now.Version.Number, ID: "edit-" + text[len("Deadline="):],
	})
	assert.NilError(f.t, err)
	f.waitVersion(v.Number)

	return v
}

func (f *fleet) waitVersion(number uint64) {
	f.t.Helper()
	f.wait("version in force everywhere", func() bool {
		s, err := f.operator(1).Status(f.t.Context())

		return err == nil && s.Newest == number && s.ActiveNodes == len(f.hosts)
	})
}

// The platform is put back from a copy that lacks the newest version, and an
// operator goes on working. Nodes that went back would answer by rules that were
// withdrawn; a version under a number that nodes hold already would be in force
// nowhere.
func TestFleetKeepsWhatThePlatformForgot(t *testing.T) {
	f := startFleet(t)
	first := f.accept()
	old := f.platform.Snapshot()
	second := f.edit(0, "Deadline=6s")
	assert.Equal(t, second.Number, first+1)

	f.platform.Restore(old)

	third := f.edit(5, "Deadline=7s")
	assert.Equal(t, third.Number, first+2)

	changes, err := f.operator(3).Version(t.Context(), second.Number)
	assert.NilError(t, err)
	assert.Equal(t, changes.Version.AcceptanceID, second.AcceptanceID)
}

// Asked when a version was in force, the time line has to show it from its
// acceptance to each node, and causes before effects.
func TestTimelineShowsAVersionFromAcceptanceToEachNode(t *testing.T) {
	f := startFleet(t)
	f.accept()
	v := f.edit(2, "Deadline=6s")

	entries, err := f.operator(4).Timeline(t.Context(), timeline.Filter{Version: v.Number})
	assert.NilError(t, err)

	accepted, inForce := 0, map[string]bool{}

	for _, e := range entries {
		switch e.Number {
		case event.VersionAccepted.Number:
			accepted++
		case event.VersionInForce.Number:
			inForce[e.Node] = true

			assert.Assert(t, e.Peer != "", "%s does not tell where the version came from", e.Node)
		}
	}

	assert.Equal(t, accepted, 1)
	assert.Equal(t, len(inForce), len(f.hosts))

	s, err := f.operator(4).Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(s.Slowest(3)), 3)
	assert.Assert(t, !s.Slowest(1)[0].Behind && s.Slowest(1)[0].After > 0)
}
