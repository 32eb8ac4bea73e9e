package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/workspace"
	"github.com/pollencart/pollencart/platform"
)

// A caller that sends the field of the workspace must not choose its place in the queue of a version
// without workspaces.
func TestWorkspaceIsOneOfTheVersion(t *testing.T) {
	table, err := route.New(1, route.Limits{}, nil, nil)
	assert.NilError(t, err)

	fields := []call.Field{{Name: "Other", Value: "acme"}, {Name: platform.Headers().Workspace, Value: "acme"}}
	assert.Equal(t, workspaceIn(nil, fields), "")
	assert.Equal(t, workspaceIn(table, fields), "")

	d, err := workspace.New([]workspace.Entry{{Workspace: &workspace.Workspace{Name: "acme"}}})
	assert.NilError(t, err)

	table = table.WithWorkspaces(d)
	assert.Equal(t, workspaceIn(table, fields), "acme")
	assert.Equal(t, workspaceIn(table, fields[:1]), "")
	fields[1].Value = "unknown"
	assert.Equal(t, workspaceIn(table, fields), "")
}
