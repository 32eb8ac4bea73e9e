package invariant

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/internal/timeline"
)

// MaxKeys is the maximum number of tracked keys: 16 bytes each plus the map's overhead, about
// 3 MB when full. The oldest key is dropped first; a later repeat of a dropped key is not
// detected.
const MaxKeys = 1 << 16

// Keys checks that this process starts each non-idempotent key at most once.
type Keys struct {
	recorder Recorder

	mu      sync.Mutex
	started map[uint64]struct{}
	order   []uint64
	next    int
}

// NewKeys returns a checker that tracks no key yet.
func NewKeys(r Recorder) *Keys { return &Keys{recorder: r, started: map[uint64]struct{}{}} }

// Start tracks a key that is being sent to the backend server, and returns whether this is its
// first start.
func (k *Keys) Start(key, call string) bool {
	return Check(k.recorder, KeysStartOnce, k.first(xxhash.Sum64String(key)), timeline.Entry{Key: key, Call: call})
}

func (k *Keys) first(sum uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	if _, found := k.started[sum]; found {
		return false
	}

	k.started[sum] = struct{}{}

	if len(k.order) < MaxKeys {
		k.order = append(k.order, sum)

		return true
	}

	delete(k.started, k.order[k.next])
	k.order[k.next] = sum
	k.next = (k.next + 1) % MaxKeys

	return true
}

// NotRun forgets a key of which nothing was run, for example because no connection could be made
// or the backend server shed the call. The key may then be started again.
func (k *Keys) NotRun(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()

	delete(k.started, xxhash.Sum64String(key))
}
