// Package admission decides at the gate which calls run now, which wait and
// which are turned away.
//
// It answers bursts and saturation: only the process beside a backend server
// sees all of its work, so it counts slots exactly. Without it a burst piles up
// inside the backend server, every call gets slow and most answers come after
// their deadlines.
//
//	q := admission.New(admission.Slots(10))
//	release, err := q.Admit(ctx, admission.Ticket{Class: settings.ClassInteractive})
//	defer release()
package admission

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Errors of a call that is not let in.
var (
	ErrFull     = errs.New("admission.full", http.StatusServiceUnavailable, "the queue is full")
	ErrDeadline = errs.New("admission.deadline", http.StatusGatewayTimeout, "the deadline passed while waiting")
	ErrClosed   = errs.New("admission.closed", http.StatusServiceUnavailable, "the backend server is leaving")
)

// Ticket is what the queue needs to know of a call.
type Ticket struct {
	Class  settings.Class
	Caller string
	Queue  int
}

// Queue lets calls in to the slots of one backend server.
type Queue struct {
	mu       sync.Mutex
	slots    int
	inFlight int
	closed   bool
	waiting  []chan struct{}
	service  time.Duration // smoothed time that a call holds a slot
}

// New returns a queue.
func New(opts ...Option) *Queue {
	o := newOptions(opts...)

	return &Queue{slots: o.Slots, service: o.ServiceTime}
}

// Resize sets the slots, as the backend server announces them.
func (q *Queue) Resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.slots = slots
	q.wake()
}

// Close lets nothing new in; what waits or runs goes on.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.closed = true
}

// Open lets calls in again.
func (q *Queue) Open() {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.closed = false
}

// Admit waits for a slot. The error is a sentinel of this package, and then the
// call has not run.
func (q *Queue) Admit(ctx context.Context, t Ticket) (release func(), err error) {
	wait, err := q.enter(ctx, t)
	if err != nil {
		return nil, err
	}

	select {
	case <-wait:
		return q.releaser(time.Now()), nil
	case <-ctx.Done():
		return nil, q.leave(wait)
	}
}

func (q *Queue) enter(ctx context.Context, t Ticket) (chan struct{}, error) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.closed {
		return nil, ErrClosed
	}

	wait := make(chan struct{})

	if q.inFlight < q.slots {
		q.inFlight++
		close(wait)

		return wait, nil
	}

	if len(q.waiting) >= t.Queue {
		return nil, ErrFull
	}

	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < q.expected() {
		return nil, ErrDeadline
	}

	q.waiting = append(q.waiting, wait)

	return wait, nil
}

func (q *Queue) leave(wait chan struct{}) error {
	q.mu.Lock()
	defer q.mu.Unlock()

	for i, w := range q.waiting {
		if w == wait {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)

			return ErrDeadline
		}
	}

	// The slot was given in the same moment; give it back.
	q.inFlight--
	q.wake()

	return ErrDeadline
}

func (q *Queue) releaser(start time.Time) func() {
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()

		const weight = 8

		q.service += (time.Since(start) - q.service) / weight
		q.inFlight--
		q.wake()
	}
}

func (q *Queue) wake() {
	for q.inFlight < q.slots && len(q.waiting) > 0 {
		close(q.waiting[0])
		q.waiting = q.waiting[1:]
		q.inFlight++
	}
}

func (q *Queue) expected() time.Duration {
	return q.service * time.Duration(len(q.waiting)+1) / time.Duration(max(q.slots, 1))
}

// Wait returns how long a call that comes now is expected to wait.
func (q *Queue) Wait() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.inFlight < q.slots {
		return 0
	}

	return q.expected()
}

// Load returns what the gate tells about itself.
func (q *Queue) Load() call.Load {
	wait := q.Wait()

	q.mu.Lock()
	defer q.mu.Unlock()

	return call.Load{
		Slots: q.slots, InFlight: q.inFlight, Queued: len(q.waiting),
		Wait: settings.Duration(wait), Leaving: q.closed,
	}
}
