package workspace_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/workspace"
)

func newDirectory(t *testing.T, all ...*workspace.Workspace) *workspace.Directory {
	t.Helper()

	var entries []workspace.Entry
	for _, w := range all {
		entries = append(entries, workspace.Entry{Workspace: w, Keys: []string{"key of " + w.Name}})
	}

	d, err := workspace.New(entries)
	assert.NilError(t, err)

	return d
}

// An amount that is not a number must not become a limit that nothing fits, or that everything does.
func TestInvalidAmountsAreRejected(t *testing.T) {
	for _, amount := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		for _, w := range []*workspace.Workspace{{Name: "a", Rate: amount}, {Name: "a", Burst: amount}} {
			_, err := workspace.New([]workspace.Entry{{Workspace: w}})
			assert.ErrorIs(t, err, workspace.ErrDirectory)
		}
	}
}

// Backend servers get the name in a header, in which such a name would be another one, or a second header.
func TestNameThatNoHeaderHoldsIsRejected(t *testing.T) {
	for _, name := range []string{"", " a", "a\t", "a\r\nTenant: b", "a\x7f"} {
		_, err := workspace.New([]workspace.Entry{{Workspace: &workspace.Workspace{Name: name}}})
		assert.ErrorIs(t, err, workspace.ErrDirectory, "%q", name)
	}

	newDirectory(t, &workspace.Workspace{Name: "Schule Süd 7"})
}

// A key that is listed twice in its own workspace has one holder.
func TestKeyListedTwiceHasOneHolder(t *testing.T) {
	w := &workspace.Workspace{Name: "a"}
	d, err := workspace.New([]workspace.Entry{{Workspace: w, Keys: []string{"k", "k"}}})
	assert.NilError(t, err)

	holder, ok := d.Holder("k")
	assert.Assert(t, ok && holder == w)
}

// All calls of a more urgent workspace go before those of a less urgent one, and within a workspace the
// routes' order holds.
func TestRankOrdersByWorkspaceFirst(t *testing.T) {
	var ranks []int

	workspaces := []*workspace.Workspace{
		{Name: "0", Ranked: true}, {Name: "1", Ranked: true, Priority: 1}, {Name: "2", Ranked: true, Priority: 2}, {Name: "none"},
	}
	d := newDirectory(t, workspaces...)

	for _, w := range workspaces[:3] {
		for route := range 3 {
			ranks = append(ranks, d.Rank(w, route))
		}
	}

	assert.DeepEqual(t, ranks, []int{0, 1, 2, 3, 4, 5, 6, 7, 8})

	for route := range 3 {
		equal := d.Rank(workspaces[route], route)
		assert.Equal(t, d.Rank(workspaces[3], route), equal)
		assert.Equal(t, d.Rank(nil, route), equal)
	}

	assert.Equal(t, d.Rank(&workspace.Workspace{Ranked: true, Priority: math.MaxInt}, math.MaxInt), 8)
}

// While no workspace is ranked, the ranks are those of deployments without workspaces.
func TestRankIsThatOfTheRouteWithoutRankedWorkspaces(t *testing.T) {
	w := &workspace.Workspace{Name: "a"}
	d := newDirectory(t, w)

	for route := range 9 {
		assert.Equal(t, d.Rank(w, route), route)
		assert.Equal(t, d.Rank(nil, route), route)
	}
}
