package invariant

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/internal/timeline"
)

// KeysKept bounds the keys that are watched: 16 bytes each and the map's
// overhead make some 3 MB when full. An older key is no longer watched, which
// only makes the check blind to repeats that come later.
const KeysKept = 1 << 16

// Keys watches that each non-idempotent key is started at most once here.
type Keys struct {
	recorder Recorder

	mu      sync.Mutex
	started map[uint64]struct{}
	order   []uint64
	next    int
}

// NewKeys returns a watch that has seen no key.
func NewKeys(r Recorder) *Keys { return &Keys{recorder: r, started: map[uint64]struct{}{}} }

// Start notes that the key goes to the backend server now, and reports whether
// it is the first time.
func (k *Keys) Start(key, call string) bool {
	return Check(k.recorder, KeysStartOnce, k.first(xxhash.Sum64String(key)), timeline.Entry{Key: key, Call: call})
}

func (k *Keys) first(sum uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	if _, again := k.started[sum]; again {
		return false
	}

	k.started[sum] = struct{}{}

	if len(k.order) < KeysKept {
		k.order = append(k.order, sum)

		return true
	}

	delete(k.started, k.order[k.next])
	k.order[k.next] = sum
	k.next = (k.next + 1) % KeysKept

	return true
}

// NotRun notes that nothing of the key was run, as when no connection could be
// made or the backend server shed it: then it may be started again.
func (k *Keys) NotRun(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()

	delete(k.started, xxhash.Sum64String(key))
}
