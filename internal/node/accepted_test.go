package node_test

import (
	"testing"

	"github.com/oklog/ulid/v2"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/pkg/settings"
)

// An operator is told that a version is accepted, and in the same moment the
// platform goes back to a copy from before it. If no node held the version by
// then, it would be gone: the operator was told so, and callers never get it.
func TestAnAcceptedVersionOutlivesThePlatformsOlderCopy(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()

	older := f.platform.Snapshot()
	now, err := f.operator(0).Tree(t.Context())
	assert.NilError(t, err)

	attempts := 3
	now.Tree.Overrides.Attempts = &attempts
	data, err := now.Tree.Text()
	assert.NilError(t, err)

	v, err := f.operator(0).Accept(t.Context(), operator.AcceptRequest{
		File: "tree.jsonc", Tree: data, Base: now.Version.Number, ID: ulid.Make().String(),
	})
	assert.NilError(t, err)
	f.platform.Restore(older)

	f.wait("the accepted version on every node and on the platform again", func() bool {
		s, err := f.operator(1).Status(t.Context())
		history, historyErr := f.operator(1).History(t.Context())

		return err == nil && historyErr == nil && s.ActiveNodes == len(f.hosts) &&
			s.Newest == v.Number && holds(history, v)
	})
}

func holds(history []settings.Version, v settings.Version) bool {
	for _, h := range history {
		if h.AcceptanceID == v.AcceptanceID {
			return true
		}
	}

	return false
}
