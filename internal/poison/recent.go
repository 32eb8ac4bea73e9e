package poison

import (
	"sync"
	"time"
)

// recentFinishes stores which requests finished here recently, in fixed memory: a newer
// entry overwrites an older one in the same slot.
type recentFinishes struct {
	mu    sync.Mutex
	slots [recentSlots]finish
}

type finish struct {
	whole uint64
	at    time.Time
}

// recentSlots holds what a gate finishes within the age of a crashed call: a backend
// server with ten slots finishes some thousand calls per second.
const recentSlots = 1024

func (r *recentFinishes) add(whole uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.slots[whole%recentSlots] = finish{whole, time.Now()}
}

func (r *recentFinishes) has(whole uint64, within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	f := r.slots[whole%recentSlots]

	return f.whole == whole && !f.at.IsZero() && time.Since(f.at) <= within+finishSlack
}

// finishSlack is how long before the start of the crashed call a finish still exonerates
// the request. Copies of a suspected popular request wait for each other, so that none
// may finish between two crashes in quick succession; without the slack the request would
// then be refused. A request that starts to crash servers within this time crashes more
// of them.
const finishSlack = 250 * time.Millisecond
