package poison

import (
	"sync"
	"time"
)

// recent remembers which requests finished here a moment ago, in fixed memory;
// a newer one may take the place of an older one.
type recent struct {
	mu    sync.Mutex
	slots [recentSlots]finish
}

type finish struct {
	whole uint64
	at    time.Time
}

// recentSlots holds what a gate finishes within the age of a crashed call: ten
// slots of a backend server finish some thousand calls a second.
const recentSlots = 1024

func (r *recent) add(whole uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.slots[whole%recentSlots] = finish{whole, time.Now()}
}

func (r *recent) has(whole uint64, within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	f := r.slots[whole%recentSlots]

	return f.whole == whole && !f.at.IsZero() && time.Since(f.at) <= within+slack
}

// slack is how long before the crashed call began a finish still counts. Calls of
// a popular request wait for each other once it is suspected, so that none may
// finish in between; without it such a request is refused after two crashes that
// follow closely. A request that turned bad within this time takes down more.
const slack = 250 * time.Millisecond
