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

// Thousands of changes a day each leave a branch and a manifest on the platform,
// which would be full of what nobody reads. Values come back, too: an operator
// who undoes a change needs one that was about to be deleted. Here edits jump
// between a few values, and two acceptances race for each number.
func TestValuesOutOfUseAreDeletedAndNoOther(t *testing.T) {
	const versions = 200

	b := start(t)
	tree := services(4)
	base := b.first(tree).Number
	random := rand.New(rand.NewPCG(1, 2))

	for i := range versions {
		name := fmt.Sprintf("s%03d", random.IntN(4))
		tree = withDeadline(tree, name, time.Second*time.Duration(1+random.IntN(3)))

		// Now and then a value that is seen once only.
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

// An ID is asked again when the record of it and its base are gone. "Not
// accepted" would be a guess.
func TestIDThatIsTooOldIsNotGuessed(t *testing.T) {
	b := start(t)
	b.first(services(1))

	_, err := b.acceptor.Accept(t.Context(), acceptance.Request{ID: "old", Again: true, Base: 900, Tree: services(2)})
	assert.ErrorIs(t, err, acceptance.ErrForgotten)
}
