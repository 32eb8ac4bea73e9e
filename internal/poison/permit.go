package poison

import (
	"context"
	"sync"
	"time"
)

// Permits grants permits to run suspects, one per request at a time.
type Permits struct {
	mu   sync.Mutex
	held map[Digest]chan struct{} // closed when the permit is released
	// expired are the requests whose last permit was not released in time, so that they may
	// still run.
	expired map[Digest]bool
}

// NewPermits returns permits of which none is held.
func NewPermits() *Permits {
	return &Permits{held: map[Digest]chan struct{}{}, expired: map[Digest]bool{}}
}

// Acquire waits until the permit is free and takes it. It reports false if ctx ends
// first.
func (l *Permits) Acquire(ctx context.Context, d Digest) bool {
	for {
		l.mu.Lock()
		released := l.held[d]

		if released == nil {
			permit := make(chan struct{})
			l.held[d] = permit
			l.mu.Unlock()
			time.AfterFunc(permitTimeout, func() { l.expire(d, permit) })

			return true
		}
		l.mu.Unlock()

		select {
		case <-released:
		case <-ctx.Done():
			return false
		}
	}
}

// Release returns the permit.
func (l *Permits) Release(d Digest) {
	l.mu.Lock()
	released := l.held[d]
	l.mu.Unlock()

	l.releaseIf(d, released)
}

// Expired reports whether the last permit of a request expired, so that its holder may still run
// it.
func (l *Permits) Expired(d Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.expired[d]
}

// ClearExpired records that no holder of an expired permit runs the request anymore.
func (l *Permits) ClearExpired(d Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()

	delete(l.expired, d)
}

func (l *Permits) expire(d Digest, permit chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.held[d] == permit {
		l.expired[d] = true
		close(permit)
		delete(l.held, d)
		time.AfterFunc(Hold, func() { l.ClearExpired(d) })
	}
}

func (l *Permits) releaseIf(d Digest, released chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if released != nil && l.held[d] == released {
		close(released)
		delete(l.held, d)
	}
}

// permitTimeout is how long a permit is held at most. Without it, a request whose permit
// holder terminated would wait until the suspicion ends.
const permitTimeout = 30 * time.Second
