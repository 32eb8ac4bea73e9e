package sidecar

import (
	"strings"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/platform"
)

// workspace returns the workspace that a call with these header fields runs for.
func (n *Sidecar) workspace(fields []call.Field) string { return workspaceIn(n.holder.Load(), fields) }

// workspaceIn returns the workspace that the header fields of a call name, or "" if the version has no
// such workspace: without workspaces, callers may send any field.
func workspaceIn(table *route.Table, fields []call.Field) string {
	if table == nil || table.Workspaces() == nil {
		return ""
	}

	name := platform.Headers().Workspace

	for _, f := range fields {
		if strings.EqualFold(f.Name, name) {
			if w, known := table.Workspaces().Named(f.Value); known {
				return w.Name
			}
		}
	}

	return ""
}
