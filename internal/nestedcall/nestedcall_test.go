package nestedcall_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/nestedcall"
)

// callers are on hosts of these services, three in five of the same one.
func origin(r *rand.Rand) string {
	return []string{"browse", "browse", "browse", "ledger", "finder"}[r.IntN(5)]
}

// Browse servers check permissions while they open folders. Their checks are told from
// the uploads of callers at the same backend server, and uploads are never taken for
// nested.
func TestCallsOfBackendServersAreTold(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	routes := nestedcall.New()
	told, wrong := 0, 0

	for range 10000 {
		if routes.Note("check", "browse") {
			told++
		}

		if routes.Note("upload", origin(r)) {
			wrong++
		}
	}

	assert.Assert(t, told > 10000-2*nestedcall.Enough, "%d", told)
	assert.Equal(t, wrong, 0)
}

// Only hosts of one service can reach the backend server, as in a small failure domain
// that is cut off. Its callers are not taken for backend servers.
func TestHostsOfOneServiceOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routes := nestedcall.New()
		routes.Note("upload", "ledger")
		routes.Note("upload", "browse")
		time.Sleep(2 * time.Second)

		for range 100 {
			assert.Assert(t, !routes.Note("upload", "browse"))
		}
	})
}
