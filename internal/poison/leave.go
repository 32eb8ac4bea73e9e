package poison

import (
	"context"
	"sync"
	"time"
)

// Leaves gives leave to run a suspect, to one gate at a time.
type Leaves struct {
	mu  sync.Mutex
	out map[Digest]chan struct{} // closed when the leave is given back
}

// NewLeaves returns leaves of which none is out.
func NewLeaves() *Leaves { return &Leaves{out: map[Digest]chan struct{}{}} }

// Take waits until nobody has the leave; it reports false when ctx ends first.
func (l *Leaves) Take(ctx context.Context, d Digest) bool {
	for {
		l.mu.Lock()
		back := l.out[d]

		if back == nil {
			mine := make(chan struct{})
			l.out[d] = mine
			l.mu.Unlock()
			time.AfterFunc(leaveTime, func() { l.giveIf(d, mine) })

			return true
		}
		l.mu.Unlock()

		select {
		case <-back:
		case <-ctx.Done():
			return false
		}
	}
}

// Give gives the leave back.
func (l *Leaves) Give(d Digest) {
	l.mu.Lock()
	back := l.out[d]
	l.mu.Unlock()

	l.giveIf(d, back)
}

func (l *Leaves) giveIf(d Digest, back chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if back != nil && l.out[d] == back {
		close(back)
		delete(l.out, d)
	}
}

// leaveTime is how long a leave is out at most: the gate that has it may have
// died, and the request would wait for it until the suspicion ends.
const leaveTime = 30 * time.Second
