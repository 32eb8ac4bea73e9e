package hosts

import (
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// awayTime bounds how long the store is away before it comes back from a copy.
	awayTime = 2 * time.Second
	// handTime bounds how long the operator takes until it writes again what was lost.
	handTime = time.Second
)

// storeRestored has the store come back from a copy that is some seconds old. The operator
// then writes its newest version again.
func (r *run) storeRestored(random *rand.Rand, _ *host) {
	older := r.store.Copy()
	time.Sleep(time.Duration(random.Int64N(int64(longest))))

	status := http.StatusServiceUnavailable
	if random.IntN(2) == 0 {
		status = -1 // connections end without an answer
	}

	r.store.SetUnavailable(status)
	time.Sleep(time.Duration(random.Int64N(int64(awayTime))))
	r.store.Restore(older)
	time.Sleep(time.Duration(random.Int64N(int64(handTime))))
	r.store.RepeatOperatorWrites()
}
