package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const surveyed = `{"Node": "n1", "WindowSeconds": 5, "Nodes": 79, "Missing": ["n7"], "Rows": [
	{"Workspace": "school", "Rate": 40, "Burst": 20, "Version": 8, "Share": 1, "Counted": 209, "Calls": 9000, "OverLimit": 600, "BelowLimit": 3,
		"SlotSeconds": 2750.25},
	{"Workspace": "(rest)", "Calls": 120, "SlotSeconds": 40}]}`

// One command shows the use of each limit over all nodes, and which nodes are not in it.
func TestWorkspacesShowsUseOverAllNodes(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/workspaces" {
			w.WriteHeader(http.StatusNotFound)

			return
		}

		_, err := w.Write([]byte(surveyed))
		assert.Check(t, err)
	}))
	defer s.Close()

	var out bytes.Buffer

	_, err := newAppWithOutput(&out).Parse([]string{"workspaces", "--metrics", strings.TrimPrefix(s.URL, "http://")})
	assert.NilError(t, err)
	golden.Assert(t, out.String(), "workspaces.golden")
}
