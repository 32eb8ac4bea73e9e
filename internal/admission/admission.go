// Package admission decides at the gate which calls run now, which wait and
// which are turned away.
//
// # The load it answers
//
// Bursts, saturation, long work among short and callers that send most of the
// load. Only the process beside a backend server sees all of its work, so it
// counts slots exactly. Without it a burst piles up inside the backend server,
// every call gets slow and most answers come after their deadlines.
//
//   - Classes: Interactive before Write before Background. Without them an
//     archive sweep holds the slots that folder opens need. A lower class keeps
//     a guaranteed share (WriteShare, BackgroundShare), or it would starve for
//     as long as people work; and it leaves free the slots that the classes
//     above it needed a moment ago (see limit), or each of its long calls would
//     hold up a burst of short ones for as long as it runs.
//   - Callers: inside a class the caller with the fewest slots goes next, and a
//     full queue pushes out the newest call of the caller with the longest
//     queue. Without it one caller with 80% of the load gets 80% of the slots.
//   - Deadlines: a call whose expected wait and run are over its remaining time
//     is turned away at once with the time when to come back, instead of waiting
//     for an answer that nobody reads.
//   - Order: first come, first served, with a bounded wait. A queue that is not
//     empty for StandingAfter is a standing queue, no burst: waiting brings no
//     more work through, only older calls. From then on a call may only wait
//     for 1/StandingPart of its time. An unbounded queue in the same order
//     serves only calls that are nearly dead; docs/design/0201-admission.md has
//     the figures against newest first and earliest deadline first.
//
// # Usage
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

// Errors of a call that is not let in; none of it has run.
var (
	ErrFull     = errs.New("admission.full", http.StatusServiceUnavailable, "the queue is full")
	ErrShare    = errs.New("admission.share", http.StatusTooManyRequests, "this caller has more than its share of a full queue")
	ErrWait     = errs.New("admission.wait", http.StatusServiceUnavailable, "the expected wait is over the time that is left")
	ErrDeadline = errs.New("admission.deadline", http.StatusGatewayTimeout, "the deadline passed while waiting")
	ErrCanceled = errs.New("admission.canceled", StatusClientClosed, "the caller went away while waiting")
	ErrClosed   = errs.New("admission.closed", http.StatusServiceUnavailable, "the backend server is leaving")
)

// StatusClientClosed is the customary status of a call whose caller went away.
const StatusClientClosed = 499

// Thresholds.
const (
	// WriteShare and BackgroundShare of the slots are kept for these classes as
	// long as they have work. Five percent is what a sweep needs to end within
	// a night; the rest allows for shares being measured over a second.
	WriteShare      = 0.20
	BackgroundShare = 0.08
	// StandingAfter tells a burst from overload: a burst of twice the slots is
	// through in a few service times, far less than this.
	StandingAfter = 100 * time.Millisecond
	// StandingPart of its time a call may wait in a standing queue; the rest is
	// left for its run, its way back and one more attempt elsewhere.
	StandingPart = 4
)

// Ticket is what the queue needs to know of a call.
type Ticket struct {
	Class  settings.Class
	Caller string
	Queue  int
}

// Queue lets calls in to the slots of one backend server.
type Queue struct {
	order Order
	start time.Time

	mu       sync.Mutex
	slots    int
	inFlight int
	closed   bool
	observed time.Duration // when the smoothed figures were last brought up to date
	classes  [classCount]class
	served   rate
	refused  rate
}

// New returns a queue.
func New(opts ...Option) *Queue {
	o := newOptions(opts...)
	q := &Queue{order: o.Order, slots: o.Slots, start: time.Now()}

	for i := range q.classes {
		q.classes[i] = newClass(o.ServiceTime)
	}

	return q
}

// Resize sets the slots, as the backend server announces them.
func (q *Queue) Resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.slots = slots
	q.wake(q.now())
}

// Close lets nothing more in; what runs goes on. What waits is turned away while it has time
// to run elsewhere: behind calls that hang it would wait until the node ends.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.closed = true

	for i := range q.classes {
		for q.classes[i].waiting > 0 {
			q.classes[i].take(q.order).decide(ErrClosed)
		}
	}
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
	w, err := q.enter(ctx, t)
	if err != nil {
		return nil, err
	}

	if w.decided == nil {
		return func() { q.release(w) }, nil
	}

	select {
	case <-w.decided:
	case <-ctx.Done():
		q.leave(w)

		return nil, gaveUp(ctx)
	}

	if w.err != nil {
		return nil, w.err
	}

	return func() { q.release(w) }, nil
}

func gaveUp(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return ErrCanceled
	}

	return ErrDeadline
}

// now is the time since the queue was made; sums of it stay small.
func (q *Queue) now() time.Duration { return time.Since(q.start) }

// enter starts the call, puts it in the queue or turns it away.
func (q *Queue) enter(ctx context.Context, t Ticket) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.closed {
		return nil, ErrClosed
	}

	now := q.now()
	w := &waiter{class: t.Class.Rank(), arrived: now}
	c := &q.classes[w.class]
	w.line = c.line(t.Caller)
	q.observe(now)

	if c.waiting == 0 && q.free(w.class) {
		q.begin(w, now)

		return w, nil
	}

	if deadline, ok := ctx.Deadline(); ok {
		w.deadline = deadline.Sub(q.start)
		if q.tooLate(w, now) {
			return nil, q.refuse(now, ErrWait)
		}
	}

	if err := q.makeRoom(c, w.line, t.Queue, now); err != nil {
		return nil, err
	}

	w.decided = make(chan struct{})
	c.push(w, now)
	q.observe(now)
	q.wake(now)

	return w, nil
}

// makeRoom keeps the queue bounded. The bound hits whoever uses most of it:
// without this a caller that floods the queue turns everyone else away.
func (q *Queue) makeRoom(c *class, l *line, limit int, now time.Duration) error {
	if c.waiting < limit {
		return nil
	}

	longest := c.longest()
	if longest == nil || len(longest.waiters) <= len(l.waiters)+1 {
		return q.refuse(now, ErrFull)
	}

	newest := longest.waiters[len(longest.waiters)-1]
	c.remove(newest)
	newest.decide(q.refuse(now, ErrShare))

	return nil
}

func (q *Queue) refuse(now time.Duration, err error) error {
	q.refused.add(now)

	return err
}

// begin gives the call a slot.
func (q *Queue) begin(w *waiter, now time.Duration) {
	w.started = now
	q.inFlight++
	q.classes[w.class].begin(w)
	q.observe(now)
}

// leave takes a call out whose caller went away or whose deadline passed. If it
// was given a slot in the same moment, the slot goes back.
func (q *Queue) leave(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()

	now := q.now()

	if q.classes[w.class].remove(w) {
		q.observe(now)

		return
	}

	if w.err == nil {
		q.end(w, now)
	}
}

func (q *Queue) release(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()

	now := q.now()
	q.classes[w.class].learn(now - w.started)
	q.served.add(now)
	q.end(w, now)
}

func (q *Queue) end(w *waiter, now time.Duration) {
	q.observe(now)
	q.inFlight--
	q.classes[w.class].end(w)
	q.wake(now)
}

// wake gives free slots to waiting calls.
func (q *Queue) wake(now time.Duration) {
	for {
		w := q.next(now)
		if w == nil {
			return
		}

		if w.deadline > 0 && w.deadline-now < q.classes[w.class].typical {
			// It could not end in time; a slot given to it is lost for the next.
			w.decide(q.refuse(now, ErrDeadline))

			continue
		}

		q.begin(w, now)
		w.decide(nil)
	}
}

// next takes the call out of the queue that gets the next free slot.
func (q *Queue) next(now time.Duration) *waiter {
	q.observe(now)

	// A class below its guaranteed share goes first, the lowest of them before
	// the others, since it is the one that strict order would starve.
	for i := classCount - 1; i > 0; i-- {
		if q.owed(i) && q.free(i) {
			return q.classes[i].take(q.order)
		}
	}

	for i := range q.classes {
		if q.classes[i].waiting > 0 && q.free(i) {
			return q.classes[i].take(q.order)
		}
	}

	return nil
}

// Load returns what the gate tells about itself.
func (q *Queue) Load() call.Load {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.observe(q.now())

	l := call.Load{Slots: q.slots, InFlight: q.inFlight, Leaving: q.closed}
	for i := range q.classes {
		l.Queued += q.classes[i].waiting
		l.Work[i] = q.inFlight + l.Queued
		l.Usual[i] = q.classes[i].usual
	}

	if q.inFlight >= q.slots {
		l.Wait = settings.Duration(q.expected(0, nil, q.now()))
	}

	return l
}
