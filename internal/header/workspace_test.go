package header_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/header"
)

// A caller sends both headers, in any case and also as headers of its connection. The key must stay here,
// and the workspace is the one that is given.
func TestKeyStaysAndWorkspaceIsSet(t *testing.T) {
	n := header.Default()

	for _, connection := range []string{"", n.Key + ", " + n.Workspace} {
		h := http.Header{
			"X-Other": {"1"}, n.Key: {"k", "k2"}, n.Workspace: {"forged"}, strings.ToLower(n.Workspace): {"forged"}, "Connection": {connection},
		}

		for workspace, want := range map[string][]string{
			"":     {"X-Other: 1"},
			"acme": {n.Workspace + ": acme", "X-Other: 1"},
		} {
			var got []string
			for _, f := range n.ForwardedFor(h, workspace) {
				got = append(got, f.Name+": "+f.Value)
			}

			slices.Sort(got)
			assert.DeepEqual(t, got, want)
		}
	}
}
