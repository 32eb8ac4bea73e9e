package acceptance_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/acceptance"
)

// Each of thousands of changes a day adds a branch and a manifest, so unused values
// would fill the platform. A reverted change reuses a value that is due for
// deletion, so the edits alternate between a few values.
func TestOnlyUnusedValuesAreDeleted(t *testing.T) {
	const versions = 200

	b := newFixture(t)
	tree := services(4)
	base := b.first(tree).Number
	random := rand.New(rand.NewPCG(1, 2))

	for i := range versions {
		name := fmt.Sprintf("s%03d", random.IntN(4))
		tree = withDeadline(tree, name, time.Second*time.Duration(1+random.IntN(3)))

		// Every fifth edit adds a value that is used once.
		if i%5 == 0 {
			tree = withDeadline(tree, name, time.Second+time.Duration(i))
		}

		v, err := b.accept(fmt.Sprintf("v%d", i), base, tree)
		assert.NilError(t, err)

		base = v.Number
	}

	history, err := b.acceptor.History(t.Context())
	assert.NilError(t, err)

	for _, v := range history {
		_, err := b.acceptor.Snapshot(t.Context(), v, nil)
		assert.NilError(t, err, "version %d can't be read", v.Number)
	}

	branches, manifests := 0, 0

	for key := range b.platform.Snapshot() {
		if strings.HasPrefix(key, "/pollencart/branch/") {
			branches++
		}

		if strings.HasPrefix(key, "/pollencart/manifest/") {
			manifests++
		}
	}

	assert.Assert(t, manifests <= len(history)+1, "%d manifests", manifests)
	assert.Assert(t, branches <= len(history), "%d branches", branches)
}

// A retry arrives after the outcome record of its ID and its base version are gone.
// Whether the tree was accepted can't be determined, so "not accepted" would be
// wrong.
func TestRetryWithAForgottenIDIsReportedAsForgotten(t *testing.T) {
	b := newFixture(t)
	b.first(services(1))

	_, err := b.acceptor.Accept(t.Context(), acceptance.Request{ID: "old", Again: true, Base: 900, Tree: services(2)})
	assert.ErrorIs(t, err, acceptance.ErrForgotten)
}
