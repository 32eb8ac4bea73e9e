package node_test

import (
	"testing"

	"github.com/oklog/ulid/v2"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/pkg/settings"
)

// The platform is restored from an older copy right after an operator got the confirmation
// that a version is accepted. If no node has stored the version by then, it is lost, although
// the operator received a success.
func TestAcceptedVersionSurvivesPlatformRestore(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()

	older := f.platform.Snapshot()
	current, err := f.operator(0).Tree(t.Context())
	assert.NilError(t, err)

	attempts := 3
	current.Tree.Overrides.Attempts = &attempts
	data, err := current.Tree.Text()
	assert.NilError(t, err)

	v, err := f.operator(0).Accept(t.Context(), operator.AcceptRequest{
		File: "tree.jsonc", Tree: data, Base: current.Version.Number, ID: ulid.Make().String(),
	})
	assert.NilError(t, err)
	f.platform.Restore(older)

	f.wait("the accepted version to be active on every node and stored on the platform again", func() bool {
		s, err := f.operator(1).Status(t.Context())
		history, historyErr := f.operator(1).History(t.Context())

		return err == nil && historyErr == nil && s.ActiveNodes == len(f.hosts) &&
			s.Newest == v.Number && containsVersion(history, v)
	})
}

func containsVersion(history []settings.Version, v settings.Version) bool {
	for _, h := range history {
		if h.AcceptanceID == v.AcceptanceID {
			return true
		}
	}

	return false
}
