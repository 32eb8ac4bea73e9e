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
//     at once too, since asking the next node costs a millisecond.
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
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pollencart/pollencart/pkg/errs"
)

// Errors of a call that is turned away.
var (
	ErrClosed    = errs.New("slots.closed", http.StatusServiceUnavailable, "the backend server takes no calls")
	ErrTooLate   = errs.New("slots.too_late", http.StatusServiceUnavailable, "the call can't end in time")
	ErrElsewhere = errs.New("slots.elsewhere", http.StatusServiceUnavailable, "the call would be late here and may go elsewhere")
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
	// smoothing of sizes; about as many calls have a say. clip bounds what a single
	// long one says.
	smoothing = 8
	clip      = 4
	// latePart of the slots is how many calls may wait that will be late. With twice
	// the load that the slots take, all that were let in to be late waited in vain:
	// those that can be on time go first, and there are always some.
	latePart = 2
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
}

// Queue lets calls in to one backend server.
type Queue struct {
	mu      sync.Mutex
	slots   int
	running map[*Slot]struct{}
	waiting []*Slot
	sizes   map[string]*size
	starts  int
	use     [ranks]use
	letIn   [ranks]float64 // the part of a rank's calls that was let in lately
}

// use is the slot time that calls of a rank took lately.
type use struct {
	held time.Duration
	at   time.Time
}

// lately is over how long the use of slots by urgent calls is averaged: longer than
// most calls, shorter than a burst.
const lately = time.Second

// ranks is how many ranks are told apart; less urgent ones count as the last.
const ranks = 8

func rankOf(w Work) int { return min(max(w.Rank, 0), ranks-1) }

func (u *use) now(now time.Time) time.Duration {
	if u.at.IsZero() {
		return 0
	}

	return time.Duration(float64(u.held) * math.Exp(-float64(now.Sub(u.at))/float64(lately)))
}

func (u *use) add(held time.Duration, now time.Time) {
	u.held, u.at = u.now(now)+held, now
}

// left is the part of the slots that calls more urgent than the rank leave, as they
// came lately. They pass those that wait; without this a call of a low rank is told
// a wait that it never gets.
func (q *Queue) left(rank int, now time.Time) float64 {
	taken := 0.0
	for i := range rank {
		taken += float64(q.use[i].now(now))
	}

	return max(1-taken/(float64(lately)*float64(q.slots)), 1.0/FairEvery)
}

// Slot is a call that runs or waits.
type Slot struct {
	queue   *Queue
	work    Work
	size    time.Duration
	began   time.Time
	granted chan error
}

// Load is what the queue holds.
type Load struct {
	Slots   int
	Running int
	Waiting int
}

// New returns a queue without slots.
func New() *Queue {
	q := &Queue{running: map[*Slot]struct{}{}, sizes: map[string]*size{}}
	for i := range q.letIn {
		q.letIn[i] = 1
	}

	return q
}

// note counts a call of a rank that was let in (1) or turned away (0).
func (q *Queue) note(w Work, in float64) {
	share := &q.letIn[rankOf(w)]
	*share += (in - *share) / fairSmoothing
}

// Resize sets the number of slots; 0 turns all away.
func (q *Queue) Resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.slots = slots
	q.start(time.Now())
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

	// The first look is when the call can't be on time any more.
	look := time.NewTimer(time.Until(s.work.Target.Add(-s.size)))
	defer look.Stop()

	for {
		select {
		case err := <-s.granted:
			return s.result(err)
		case <-look.C:
			if q.inVain(s) {
				return nil, q.abandon(s, ErrTooLate)
			}

			look.Reset(time.Until(s.work.Deadline.Add(-s.size)))
		case <-ctx.Done():
			return nil, q.abandon(s, ErrGone)
		}
	}
}

// inVain reports whether a waiting call has no prospect any more: it can't end before
// its deadline, or it will be late and others that will be wait already.
func (q *Queue) inVain(s *Slot) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	now := time.Now()

	return !now.Add(s.size).Before(s.work.Deadline) || q.late(now) > q.mostLate()
}

// mostLate is how many calls may wait that will be late.
func (q *Queue) mostLate() int { return max(q.slots/latePart, 1) }

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
	s.size = q.size(s.work.Route)

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

	q.waiting = append(q.waiting, s)
	q.start(now)

	return nil
}

// judge decides whether a call that has to wait may.
func (q *Queue) judge(s *Slot, now time.Time, wait time.Duration) error {
	end := now.Add(wait + s.size)

	switch {
	case !end.After(s.work.Target):
		return nil
	case s.work.Elsewhere:
		return ErrElsewhere
	case end.After(s.work.Deadline), q.late(now) >= q.mostLate():
		return ErrTooLate
	}

	return nil
}

// late counts the waiting calls that will be late.
func (q *Queue) late(now time.Time) int {
	count := 0

	for _, o := range q.waiting {
		if _, late := o.latest(now); late {
			count++
		}
	}

	return count
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

// next takes the call out of the queue that starts next.
func (q *Queue) next(now time.Time) *Slot {
	q.starts++

	only := -1
	if q.starts%FairEvery == 0 {
		only = q.starved()
	}

	best := -1

	for i, o := range q.waiting {
		if only >= 0 && rankOf(o.work) != only {
			continue
		}

		if best < 0 || o.before(q.waiting[best], now) {
			best = i
		}
	}

	s := q.waiting[best]
	q.waiting = slices.Delete(q.waiting, best, best+1)

	return s
}

// starved returns the rank of a waiting call of whose kind the least was let in, if
// it is too little, or -1.
func (q *Queue) starved() int {
	starved, least := -1, StarvedAt

	for _, o := range q.waiting {
		if r := rankOf(o.work); q.letIn[r] < least {
			starved, least = r, q.letIn[r]
		}
	}

	return starved
}

// before orders calls by rank, then by when they have to start.
func (s *Slot) before(o *Slot, now time.Time) bool {
	if s.work.Rank != o.work.Rank {
		return s.work.Rank < o.work.Rank
	}

	return s.sooner(o, now)
}

// sooner orders calls of a rank by when they have to start to be on time. Those that can't
// be any more come after those that can.
func (s *Slot) sooner(o *Slot, now time.Time) bool {
	mine, late := s.latest(now)
	theirs, theirsLate := o.latest(now)

	if late != theirsLate {
		return !late
	}

	return mine.Before(theirs)
}

// latest returns the last moment to start, and whether it is too late to be on
// time, so that only the deadline counts.
func (s *Slot) latest(now time.Time) (time.Time, bool) {
	if t := s.work.Target.Add(-s.size); !t.Before(now) {
		return t, false
	}

	return s.work.Deadline.Add(-s.size), true
}

// wait estimates how long the call would wait, by dealing what runs and what is in
// front of it to the slots as they get free. The mean over all slots would say that
// a short call has to wait for half of a long one, however many of them run.
func (q *Queue) wait(s *Slot, now time.Time) time.Duration {
	if len(q.running)+len(q.waiting) < q.slots {
		return 0
	}

	rank := rankOf(s.work)
	starved := q.letIn[rank] < StarvedAt
	left := q.left(rank, now)

	if starved {
		left = 1.0 / FairEvery
	}

	free := q.remaining(now)

	for _, o := range q.waiting {
		if o.before(s, now) && (!starved || rankOf(o.work) == rank) {
			*earliest(free) += o.size
		}
	}

	return time.Duration(float64(*earliest(free)) / left)
}

// remaining returns when each slot gets free.
func (q *Queue) remaining(now time.Time) []time.Duration {
	free := make([]time.Duration, 0, max(q.slots, len(q.running)))
	for r := range q.running {
		free = append(free, max(r.size-now.Sub(r.began), r.size/leastPart))
	}

	for len(free) < q.slots {
		free = append(free, 0)
	}

	return free
}

func earliest(free []time.Duration) *time.Duration {
	best := 0

	for i, d := range free {
		if d < free[best] {
			best = i
		}
	}

	return &free[best]
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

func (q *Queue) size(route string) time.Duration {
	if s, ok := q.sizes[route]; ok {
		return s.mean
	}

	return unknownSize
}

func (q *Queue) learn(route string, took time.Duration) {
	s := q.sizes[route]
	if s == nil {
		if len(q.sizes) >= maxRoutes {
			clear(q.sizes)
		}

		s = &size{}
		q.sizes[route] = s
	}

	s.learn(took)
}

// size is the usual time of a route's calls here.
type size struct {
	mean time.Duration
	seen int
}

// learn takes the mean of the first calls, then follows with smoothing.
func (s *size) learn(took time.Duration) {
	if s.seen < smoothing {
		s.seen++
	} else {
		took = min(took, clip*s.mean)
	}

	s.mean += (took - s.mean) / time.Duration(s.seen)
}

// Load tells what the queue holds.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()

	return Load{Slots: q.slots, Running: len(q.running), Waiting: len(q.waiting)}
}

// Wait estimates how long a call of the work's route would wait at a rank.
func (q *Queue) Wait(w Work, rank int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.slots == 0 {
		return 0
	}

	w.Rank = rank

	return q.wait(&Slot{work: w, size: q.size(w.Route)}, time.Now())
}

// Busy returns how many calls run or wait.
func (q *Queue) Busy() int {
	q.mu.Lock()
	defer q.mu.Unlock()

	return len(q.running) + len(q.waiting)
}

// RetryAfter returns when a call of this work is likely to find a slot in time:
// when what is over its limit will have been worked off.
func (q *Queue) RetryAfter(w Work) time.Duration {
	return min(max(q.Wait(w, w.Rank), shortestRetry), longestRetry)
}

// TurnedAway reports whether the error is of a call that was never let in.
func TurnedAway(err error) bool {
	return errors.Is(err, ErrClosed) || errors.Is(err, ErrTooLate) || errors.Is(err, ErrElsewhere) || errors.Is(err, ErrGone)
}
