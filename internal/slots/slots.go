// Package slots decides at the node beside a backend server which calls run now,
// which wait and which are turned away.
//
// # The load it answers
//
// More calls than the backend server has slots for: bursts, callers that move from
// another failure domain, slow backend servers, long calls among short ones.
//
//   - No more calls than slots run. A backend server that is full resets
//     connections or slows down, and nobody can tell what ran; here a call that
//     does not fit has provably not run.
//   - A call that would be late is turned away at once, with the time after which
//     the backlog will be gone, and one that waits as soon as it can't end before its
//     deadline. Without this it waits in vain, and a queue that is filled up to the
//     deadline makes every call late. Only a few late ones wait, to use slots that
//     get free when nobody who can be on time wants them.
//   - A call that would be late here and has somewhere else to go is turned away
//     at once too, since asking the next node costs a millisecond. So is one that waits,
//     in the moment in which it can't be sure any more to be on time: calls of urgent
//     ranks and long ones came before it, and another node may have a free slot. Without
//     it calls wait for most of their time and are turned away then, while backend servers
//     elsewhere have slots to spare.
//   - A call that would wait for a while, though it would be on time, is turned away if
//     another node nearby may have a slot free. Without it queues build up at some backend
//     servers while others idle, as nobody knows their loads of this moment, and what
//     waits delays all behind it.
//   - Calls that a running call waits for go first of all: turned away, they make that
//     run worthless, and it is sent again.
//   - Urgent ranks first, and within a rank the call that has to start soonest to
//     be on time. One start in FairEvery goes to a rank of which less than StarvedAt
//     was let in lately, so that no kind of call is starved by more urgent ones.
//
// How long calls take is learnt for each route, since they differ by ten times.
//
// # Usage
//
//	q := slots.New()
//	q.Resize(9)
//	s, err := q.Enter(ctx, slots.Work{Route: "search", Rank: 1, Target: t, Deadline: d})
//	if err == nil {
//		defer s.Leave(took)
//	}
package slots

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/bounded"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Errors of a call that is turned away.
var (
	ErrClosed    = errs.New("slots.closed", http.StatusServiceUnavailable, "the backend server takes no calls")
	ErrTooLate   = errs.New("slots.too_late", http.StatusServiceUnavailable, "the call can't end in time")
	ErrElsewhere = errs.New("slots.elsewhere", http.StatusServiceUnavailable, "the call would be late here and may go elsewhere")
	ErrWaits     = errs.New("slots.waits", http.StatusServiceUnavailable, "the call would wait here and others near may have a slot free")
	ErrGone      = errs.New("slots.gone", http.StatusServiceUnavailable, "the caller gave up while the call waited")
)

const (
	// FairEvery is of how many starts one goes to a starved rank.
	FairEvery = 4
	// StarvedAt is the part of a rank's calls that is let in at the least while calls
	// of other ranks are; fairSmoothing is over how many of them it is counted.
	StarvedAt     = 0.35
	fairSmoothing = 32
	// unknownSize is taken for the length of a call whose route was never seen.
	unknownSize = 50 * time.Millisecond
	// smoothing of sizes; about as many calls have a say. clip bounds what a single long
	// one says.
	smoothing = 16
	clip      = 4
	// spareDeviations is how many of its usual deviations a call is given beyond its
	// usual time when it is judged whether it will be on time. With none, more of those
	// that are let in are late; with more, calls of a burst are turned away that would have
	// been on time.
	spareDeviations = 1.0
	// standingDeviations are given while the queue is a standing one. There are always
	// calls for a slot that gets free then, and each that starts late has taken it from one
	// that would have been on time (TestBalancingIsCloseToOracle).
	standingDeviations = 3.0
	// standingAfter tells a standing queue from a burst: a burst is through in about one
	// service time.
	standingAfter = 200 * time.Millisecond
	// latePart of the slots is how many calls may wait that are not sure to be on time.
	// With twice the load that the slots take, all that were let in to be late waited in
	// vain: those that can be on time go first, and there are always some.
	latePart = 2
	// waitTimes is how many times its usual time a call may wait where it came first, rather
	// than look for a free slot nearby. With less, entries ask two nodes for each call of a
	// busy service.
	waitTimes = 1.5
	// leastPart of its usual time is counted for a running call however long it
	// has run already.
	leastPart = 4
	// maxRoutes bounds what is remembered of routes that are long gone.
	maxRoutes = 4096
	// shortestRetry and longestRetry bound the time to come back.
	shortestRetry = 40 * time.Millisecond
	longestRetry  = time.Second
)

// Work is a call that wants a slot.
type Work struct {
	Route string
	Rank  int
	// Target is until when an answer is worth most, Deadline until when it is
	// worth anything.
	Target   time.Time
	Deadline time.Time
	// Elsewhere says that another node can take the call.
	Elsewhere bool
	// Nearby says that another node of the failure domain may have a slot free.
	Nearby bool
	// Nested says that a call which runs elsewhere waits for this one.
	Nested bool
}

// Queue lets calls in to one backend server.
type Queue struct {
	mu      sync.Mutex
	slots   int
	closed  bool
	running map[*Slot]struct{}
	waiting []*Slot
	since   time.Time // when the first of those that wait found nobody waiting
	sizes   *bounded.Map[size]
	starts  int
	use     [ranks]use
	letIn   [ranks]float64 // the part of a rank's calls that was let in lately
}

// Slot is a call that runs or waits.
type Slot struct {
	queue   *Queue
	work    Work
	size    time.Duration
	spare   time.Duration // more than that most calls of the route do not take
	began   time.Time
	granted chan error
}

// New returns a queue without slots.
func New() *Queue {
	q := &Queue{running: map[*Slot]struct{}{}, sizes: bounded.New[size](maxRoutes)}
	for i := range q.letIn {
		q.letIn[i] = 1
	}

	return q
}

// Resize sets the number of slots; 0 turns all away.
func (q *Queue) Resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.closed {
		return
	}

	q.slots = slots
	q.start(time.Now())
}

// Close turns away what waits and what comes from now on; what runs goes on.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.closed, q.slots = true, 0
	q.turnAway()
}

// Enter returns when the call may run. The error says why it may not.
func (q *Queue) Enter(ctx context.Context, w Work) (*Slot, error) {
	s := &Slot{queue: q, work: w, granted: make(chan error, 1)}

	if err := q.enqueue(s); err != nil {
		return nil, err
	}

	// Most calls are let in at once.
	select {
	case err := <-s.granted:
		return s.result(err)
	default:
	}

	look := time.NewTimer(s.untilLook(time.Now()))
	defer look.Stop()

	for {
		select {
		case err := <-s.granted:
			return s.result(err)
		case <-look.C:
			if s.work.Elsewhere {
				return nil, q.abandon(s, ErrElsewhere)
			}

			if q.inVain(s) {
				return nil, q.abandon(s, ErrTooLate)
			}

			look.Reset(time.Until(s.last()))
		case <-ctx.Done():
			return nil, q.abandon(s, ErrGone)
		}
	}
}

func (s *Slot) result(err error) (*Slot, error) {
	if err != nil {
		return nil, err
	}

	return s, nil
}

func (q *Queue) enqueue(s *Slot) error {
	q.mu.Lock()
	defer q.mu.Unlock()

	now := time.Now()
	s.size, s.spare = q.size(s.work.Route, now)

	if q.slots == 0 {
		return ErrClosed
	}

	wait := q.wait(s, now)
	if err := q.judge(s, now, wait); wait > 0 && err != nil {
		if errors.Is(err, ErrTooLate) {
			q.note(s.work, 0)
		}

		return err
	}

	if len(q.waiting) == 0 {
		q.since = now
	}

	q.waiting = append(q.waiting, s)
	q.start(now)

	return nil
}

// abandon takes a call out that waits in vain. A slot that was granted in the same
// moment is given back.
func (q *Queue) abandon(s *Slot, why error) error {
	q.mu.Lock()
	defer q.mu.Unlock()

	if i := slices.Index(q.waiting, s); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.note(s.work, 0)

		return why
	}

	delete(q.running, s)
	q.start(time.Now())

	return why
}

// start lets waiting calls in while slots are free.
func (q *Queue) start(now time.Time) {
	for len(q.waiting) > 0 && len(q.running) < q.slots {
		s := q.next(now)

		// Half of the usual time is the least that is worth a try.
		if now.Add(s.size / 2).After(s.work.Deadline) {
			s.granted <- ErrTooLate

			continue
		}

		s.began = now
		q.running[s] = struct{}{}
		q.note(s.work, 1)
		s.granted <- nil
	}

	if q.slots == 0 {
		q.turnAway()
	}
}

func (q *Queue) turnAway() {
	for _, s := range q.waiting {
		s.granted <- ErrClosed
	}

	q.waiting = nil
}

// Leave gives the slot back. Took is how long the backend server needed, or 0 if
// that says nothing about the route.
func (s *Slot) Leave(took time.Duration) {
	q := s.queue

	q.mu.Lock()
	defer q.mu.Unlock()

	now := time.Now()

	delete(q.running, s)
	q.use[rankOf(s.work)].add(now.Sub(s.began), now)

	if took > 0 {
		q.learn(s.work.Route, took)
	}

	q.start(now)
}
