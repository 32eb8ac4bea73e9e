package nestedcall_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/nestedcall"
)

// origin returns the service of a random caller's host; three in five have the same one.
func origin(r *rand.Rand) string {
	return []string{"browse", "browse", "browse", "ledger", "finder"}[r.IntN(5)]
}

// Browse servers check permissions while they open folders. These checks must be detected
// as nested, and other callers' uploads to the same backend server must not.
func TestDetectsCallsOfBackendServers(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	detector := nestedcall.New()
	detected, falsePositives := 0, 0

	for range 10000 {
		if detector.Observe("check", "browse") {
			detected++
		}

		if detector.Observe("upload", origin(r)) {
			falsePositives++
		}
	}

	assert.Assert(t, detected > 10000-2*nestedcall.MinConsecutive, "%d", detected)
	assert.Equal(t, falsePositives, 0)
}

// Only hosts of one service can reach the backend server, as in a small partitioned failure
// domain. Their calls must not count as nested.
func TestNoCallIsNestedIfAllComeFromOneService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		detector := nestedcall.New()
		detector.Observe("upload", "ledger")
		detector.Observe("upload", "browse")
		time.Sleep(2 * time.Second)

		for range 100 {
			assert.Assert(t, !detector.Observe("upload", "browse"))
		}
	})
}
