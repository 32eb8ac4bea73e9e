package poison

import (
	"context"
	"sync"
	"time"
)

// Permits permits to run a suspect, for one gate at a time.
type Permits struct {
	mu  sync.Mutex
	out map[Digest]chan struct{} // closed when the permit is given back
}

// NewPermits returns permits of which none is out.
func NewPermits() *Permits { return &Permits{out: map[Digest]chan struct{}{}} }

// Take waits until nobody has the permit; it reports false when ctx ends first.
func (l *Permits) Take(ctx context.Context, d Digest) bool {
	for {
		l.mu.Lock()
		back := l.out[d]

		if back == nil {
			mine := make(chan struct{})
			l.out[d] = mine
			l.mu.Unlock()
			time.AfterFunc(permitTime, func() { l.giveIf(d, mine) })

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

// Give gives the permit back.
func (l *Permits) Give(d Digest) {
	l.mu.Lock()
	back := l.out[d]
	l.mu.Unlock()

	l.giveIf(d, back)
}

func (l *Permits) giveIf(d Digest, back chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if back != nil && l.out[d] == back {
		close(back)
		delete(l.out, d)
	}
}

// permitTime is how long a permit is out at most: the gate that has it may have
// died, and the request would wait for it until the suspicion ends.
const permitTime = 30 * time.Second
