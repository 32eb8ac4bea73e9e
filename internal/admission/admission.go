// Package admission is the admission queue at the gate node. It decides which calls run now,
// which wait and which are rejected.
//
// # Overload
//
// The queue handles bursts, saturation, long calls among short ones and callers that send
// most of the load. It runs on the backend server's host, where all of the backend server's
// calls pass, so its count of slots is exact. Without it a burst queues inside the backend
// server, all calls slow down and most answers come after their deadlines.
//
//   - Classes: Interactive before Write before Background, so that an archive sweep doesn't
//     hold the slots that folder opens need. A lower class keeps a guaranteed share
//     (WriteShare, BackgroundShare); strict priority would starve it. It leaves free the slots
//     that higher classes needed recently (see limit), because each of its long calls
//     would delay a burst of short ones.
//   - Callers: within a class the caller with the fewest slots goes next, and a full queue
//     evicts the newest call of the caller with the longest queue. Otherwise a caller with
//     80% of the load gets 80% of the slots.
//   - Deadlines: a call whose expected wait and service time exceed its remaining time is
//     rejected at once with a retry time.
//   - Order: first come, first served, with a bounded wait. A queue that is not empty for
//     StandingAfter is a standing queue rather than a burst: waiting adds latency without
//     throughput. A call may then wait for at most 1/StandingPart of its remaining time.
//     An unbounded queue in this order serves only calls close to their deadlines; see
//     docs/design/0201-admission.md for a comparison with newest first and earliest
//     deadline first.
//
// # Usage
//
//	q := admission.New(admission.Slots(10))
//	release, err := q.Admit(ctx, admission.Request{Class: settings.ClassInteractive})
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

// Reasons for rejecting a call; the call has not run.
var (
	ErrFull     = errs.New("admission.full", http.StatusServiceUnavailable, "the queue is full")
	ErrShare    = errs.New("admission.share", http.StatusTooManyRequests, "this caller has more than its share of a full queue")
	ErrWait     = errs.New("admission.wait", http.StatusServiceUnavailable, "the expected wait is over the time that is left")
	ErrDeadline = errs.New("admission.deadline", http.StatusGatewayTimeout, "the deadline passed while waiting")
	ErrCanceled = errs.New("admission.canceled", StatusClientClosed, "the caller went away while waiting")
	ErrClosed   = errs.New("admission.closed", http.StatusServiceUnavailable, "the backend server is leaving")
)

// StatusClientClosed is the conventional status of a call whose caller has disconnected.
const StatusClientClosed = 499

// Thresholds.
const (
	// WriteShare and BackgroundShare are the shares of the slots guaranteed to these classes
	// while they have calls. A sweep needs five percent to finish within a night; the rest
	// allows for shares being measured over a second.
	WriteShare      = 0.20
	BackgroundShare = 0.08
	// StandingAfter distinguishes overload from a burst: a burst of twice the slots drains in a
	// few service times, far less than this.
	StandingAfter = 100 * time.Millisecond
	// StandingPart is the divisor of the remaining time that a call may wait in a standing
	// queue; the rest is left for its run, the answer and one more attempt on another node.
	StandingPart = 4
)

// Request describes a call that requests a slot.
type Request struct {
	Class  settings.Class
	Caller string
	Queue  int
}

// Queue admits calls to the slots of one backend server.
type Queue struct {
	order   Order
	created time.Time

	mu       sync.Mutex
	slots    int
	inFlight int
	closed   bool
	observed time.Duration // time of the last update of the smoothed values
	classes  [classCount]class
	served   decayingRate
	rejected decayingRate
}

// New returns a queue.
func New(opts ...Option) *Queue {
	o := newOptions(opts...)
	q := &Queue{order: o.Order, slots: o.Slots, created: time.Now()}

	for i := range q.classes {
		q.classes[i] = newClass(o.ServiceTime)
	}

	return q
}

// Resize sets the number of slots that the backend server announced.
func (q *Queue) Resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.slots = slots
	q.admitWaiting(q.now())
}

// Close rejects new and waiting calls; running calls continue. Waiting calls are rejected early
// because they still have time to run on another node; behind hung calls they would wait until
// the node ends.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.closed = true

	for i := range q.classes {
		for q.classes[i].waiting > 0 {
			q.classes[i].pop(q.order).decide(ErrClosed)
		}
	}
}

// Open admits calls again after Close.
func (q *Queue) Open() {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.closed = false
}

// Admit waits for a slot. If it returns an error, one of this package, the call has not run.
func (q *Queue) Admit(ctx context.Context, r Request) (release func(), err error) {
	w, err := q.enter(ctx, r)
	if err != nil {
		return nil, err
	}

	if w.decided == nil {
		return func() { q.release(w) }, nil
	}

	select {
	case <-w.decided:
	case <-ctx.Done():
		q.abandon(w)

		return nil, contextError(ctx)
	}

	if w.err != nil {
		return nil, w.err
	}

	return func() { q.release(w) }, nil
}

func contextError(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return ErrCanceled
	}

	return ErrDeadline
}

// now returns the time since the queue was created; sums of such times stay small.
func (q *Queue) now() time.Duration { return time.Since(q.created) }

// enter starts, enqueues or rejects the call.
func (q *Queue) enter(ctx context.Context, r Request) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.closed {
		return nil, ErrClosed
	}

	now := q.now()
	w := &waiter{class: r.Class.Rank(), arrived: now}
	c := &q.classes[w.class]
	w.callerQueue = c.callerQueue(r.Caller)
	q.observe(now)

	if c.waiting == 0 && q.hasFreeSlot(w.class) {
		q.start(w, now)

		return w, nil
	}

	if deadline, ok := ctx.Deadline(); ok {
		w.deadline = deadline.Sub(q.created)
		if q.waitTooLong(w, now) {
			return nil, q.reject(now, ErrWait)
		}
	}

	if err := q.makeRoom(c, w.callerQueue, r.Queue, now); err != nil {
		return nil, err
	}

	w.decided = make(chan struct{})
	c.push(w, now)
	q.observe(now)
	q.admitWaiting(now)

	return w, nil
}

// makeRoom bounds the queue by evicting a call of the caller with the longest queue. Otherwise a
// caller that floods the queue causes the calls of all others to be rejected.
func (q *Queue) makeRoom(c *class, l *callerQueue, limit int, now time.Duration) error {
	if c.waiting < limit {
		return nil
	}

	longest := c.longest()
	if longest == nil || len(longest.waiters) <= len(l.waiters)+1 {
		return q.reject(now, ErrFull)
	}

	newest := longest.waiters[len(longest.waiters)-1]
	c.remove(newest)
	newest.decide(q.reject(now, ErrShare))

	return nil
}

func (q *Queue) reject(now time.Duration, err error) error {
	q.rejected.add(now)

	return err
}

// start assigns a slot to the call.
func (q *Queue) start(w *waiter, now time.Duration) {
	w.started = now
	q.inFlight++
	q.classes[w.class].start(w)
	q.observe(now)
}

// abandon removes a call that was canceled or has passed its deadline. If it has been granted a
// slot in the meantime, the slot is released.
func (q *Queue) abandon(w *waiter) {
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
	q.classes[w.class].observeServiceTime(now - w.started)
	q.served.add(now)
	q.end(w, now)
}

func (q *Queue) end(w *waiter, now time.Duration) {
	q.observe(now)
	q.inFlight--
	q.classes[w.class].end(w)
	q.admitWaiting(now)
}

// admitWaiting assigns free slots to waiting calls.
func (q *Queue) admitWaiting(now time.Duration) {
	for {
		w := q.dequeue(now)
		if w == nil {
			return
		}

		if w.deadline > 0 && w.deadline-now < q.classes[w.class].meanServiceTime {
			// The call can't end before its deadline; the slot goes to the next one.
			w.decide(q.reject(now, ErrDeadline))

			continue
		}

		q.start(w, now)
		w.decide(nil)
	}
}

// dequeue removes and returns the call that gets the next free slot.
func (q *Queue) dequeue(now time.Duration) *waiter {
	q.observe(now)

	// Classes below their guaranteed share go first, the lowest first, since strict priority
	// would starve it most.
	for i := classCount - 1; i > 0; i-- {
		if q.belowGuaranteedShare(i) && q.hasFreeSlot(i) {
			return q.classes[i].pop(q.order)
		}
	}

	for i := range q.classes {
		if q.classes[i].waiting > 0 && q.hasFreeSlot(i) {
			return q.classes[i].pop(q.order)
		}
	}

	return nil
}

// Load returns the load that the gate reports.
func (q *Queue) Load() call.Load {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.observe(q.now())

	l := call.Load{Slots: q.slots, InFlight: q.inFlight, Leaving: q.closed}
	for i := range q.classes {
		l.Queued += q.classes[i].waiting
		l.Work[i] = q.inFlight + l.Queued
		l.Usual[i] = q.classes[i].meanWork
	}

	if q.inFlight >= q.slots {
		l.Wait = settings.Duration(q.expectedWait(0, nil, q.now()))
	}

	return l
}
