// Package slots is the admission queue at the node on a backend server's host. It decides
// which calls run now, which wait and which are rejected.
//
// # Overload
//
// More calls may arrive than the backend server has slots for: in bursts, after a failover
// from another failure domain, when backend servers slow down, or when long calls hold slots
// that short ones need.
//
//   - At most one call runs per slot. A backend server over its capacity resets connections
//     or slows down, and it is unknown which calls ran; a call rejected here certainly has
//     not run.
//   - A call that would miss its target is rejected at once, with the time until the backlog
//     has drained, and a waiting call is rejected as soon as it can't end before its deadline.
//     A queue filled up to the deadline would make every call late. Only a few late calls may
//     wait, to use slots that no on-time call needs.
//   - A call that would miss its target here and can run on another node is rejected at once,
//     since contacting the next node costs a millisecond. A waiting call is rejected as soon
//     as it is no longer sure to meet its target, because urgent or long calls went first.
//     Otherwise calls spend most of their time waiting and are rejected then, while other
//     backend servers have free slots.
//   - A call with a long expected wait is rejected, even if it would meet its target, when
//     another node of the failure domain may have a free slot. The entry node's load data is
//     never current; without this rule queues build up at some backend servers while others
//     are idle, and each waiting call delays those behind it.
//   - Nested calls, for which a running call waits, go first. Rejecting one wastes the
//     running call, which is then retried.
//   - Urgent ranks go first; within a rank, the call with the earliest latest start that meets
//     its target. One start in StarvedStartInterval goes to a rank whose recent admitted share
//     is below MinAdmittedShare, so that urgent ranks don't starve the others.
//
// Service times are learned per route because they differ by a factor of ten.
//
// # Limits
//
// A backend server in need may name a limit in calls a second. Calls that wait start at that pace, in the
// same order. The expected wait counts the pace too, so that a call that can't start in time under the
// limit is rejected at once or goes to another node.
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
	"github.com/pollencart/pollencart/internal/fairshare"
	"github.com/pollencart/pollencart/internal/pacing"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Reasons for rejecting a call.
var (
	ErrClosed    = errs.New("slots.closed", http.StatusServiceUnavailable, "the backend server takes no calls")
	ErrTooLate   = errs.New("slots.too_late", http.StatusServiceUnavailable, "the call can't end in time")
	ErrLimited   = errs.New("slots.limited", http.StatusServiceUnavailable, "the limit of the backend server leaves no time for the call")
	ErrElsewhere = errs.New("slots.elsewhere", http.StatusServiceUnavailable, "the call would be late here and may go elsewhere")
	ErrWouldWait = errs.New("slots.waits", http.StatusServiceUnavailable, "the call would wait here and others near may have a slot free")
	ErrCanceled  = errs.New("slots.gone", http.StatusServiceUnavailable, "the caller gave up while the call waited")
)

const (
	// StarvedStartInterval is the number of starts of which one goes to a starved rank.
	StarvedStartInterval = 4
	// MinAdmittedShare is the share of a rank's calls below which the rank counts as starved.
	// admittedShareSamples is the number of calls over which the share is smoothed.
	MinAdmittedShare     = 0.35
	admittedShareSamples = 32
	// defaultServiceTime is assumed for routes without samples.
	defaultServiceTime = 50 * time.Millisecond
	// serviceTimeSamples is the number of calls over which service times are smoothed. A sample
	// counts as at most maxSampleFactor times the mean, to limit the effect of a single long call.
	serviceTimeSamples = 16
	maxSampleFactor    = 4
	// burstMarginDeviations is the margin beyond the expected service time, in mean deviations,
	// for deciding whether a call meets its target. Without a margin more admitted calls are
	// late; a larger one rejects calls of a burst that would have been on time.
	burstMarginDeviations = 1.0
	// standingMarginDeviations is the margin in a standing queue. There a call is always ready
	// for a free slot, and each call that ends late takes the slot of one that would have been
	// on time (see the balance test of package dispatch).
	standingMarginDeviations = 3.0
	// standingQueueAfter distinguishes a standing queue from a burst, which drains within about
	// one service time.
	standingQueueAfter = 200 * time.Millisecond
	// notOnTimeDivisor of the slots gives the number of waiting calls that may be unsure to meet
	// their target. At twice the capacity all calls admitted as late waited until rejection,
	// because there are always on-time calls, which start first.
	notOnTimeDivisor = 2
	// maxWaitFactor is the longest wait, in expected service times, before a call is sent to
	// another node of the failure domain instead. With a lower factor, entry nodes contact two
	// nodes for each call of a busy service.
	maxWaitFactor = 1.5
	// minRemainingDivisor of the expected service time gives the least remaining time assumed for
	// a running call, however long it has run.
	minRemainingDivisor = 4
	// maxRoutes bounds the statistics of routes that no longer exist.
	maxRoutes = 4096
	// minRetryAfter and maxRetryAfter bound RetryAfter.
	minRetryAfter = 40 * time.Millisecond
	maxRetryAfter = time.Second
)

// Queue admits calls to one backend server.
type Queue struct {
	mu            sync.Mutex
	slots         int
	closed        bool
	running       map[*Slot]struct{}
	waiting       []*Slot
	pacer         *pacing.Pacer
	paceTimer     *time.Timer // for the next start that the pacer holds back
	limited       int         // calls rejected because of the limit
	waitingSince  time.Time   // when the queue last became non-empty
	serviceTimes  *bounded.Map[serviceTimeEstimate]
	startCount    int
	usage         [rankCount]usage
	nested        nested
	admittedShare [rankCount]float64 // recent share of admitted calls per rank
	slowness      slowness
	shares        *fairshare.Shares // slot time by workspace
	passedOver    int               // calls passed over or replaced for fair shares
}

// Slot is a running or waiting call.
type Slot struct {
	queue       *Queue
	work        Work
	serviceTime time.Duration
	margin      time.Duration // extra time that most calls of the route don't exceed
	started     time.Time
	slowness    float64 // of the host at the start, 0 if not known
	above       bool    // the workspace is above its fair share
	decision    chan error
}

// New returns a queue without slots.
func New() *Queue {
	q := &Queue{running: map[*Slot]struct{}{}, serviceTimes: bounded.New[serviceTimeEstimate](maxRoutes), pacer: pacing.New()}
	q.shares = fairshare.New(maxWorkspaces)

	for i := range q.admittedShare {
		q.admittedShare[i] = 1
	}

	return q
}

// Resize sets the number of slots; with 0 all calls are rejected.
func (q *Queue) Resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.closed {
		return
	}

	q.slots = slots
	q.start(time.Now())
}

// Close rejects waiting and new calls; running calls continue.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.closed, q.slots = true, 0
	q.rejectWaiting()
}

// Enter waits for a slot. The error is the reason why the call must not run.
func (q *Queue) Enter(ctx context.Context, w Work) (*Slot, error) {
	s := &Slot{queue: q, work: w, decision: make(chan error, 1)}

	if err := q.enqueue(s); err != nil {
		return nil, err
	}

	// Fast path: most calls get a slot at once.
	select {
	case err := <-s.decision:
		return s.result(err)
	default:
	}

	recheck := time.NewTimer(s.untilRecheck(time.Now()))
	defer recheck.Stop()

	for {
		select {
		case err := <-s.decision:
			return s.result(err)
		case <-recheck.C:
			if s.work.Elsewhere {
				return nil, q.abandon(s, ErrElsewhere)
			}

			if q.hopeless(s) {
				return nil, q.abandon(s, q.tooLate())
			}

			recheck.Reset(time.Until(s.latestStart()))
		case <-ctx.Done():
			return nil, q.abandon(s, ErrCanceled)
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
	s.serviceTime, s.margin = q.serviceTime(s.work.Route, now)
	s.above = q.isAbove(s.work, now)

	if q.slots == 0 {
		return ErrClosed
	}

	expectedWait := q.expectedWait(s, now)
	if err := q.evaluate(s, now, expectedWait); err != nil {
		if errors.Is(err, ErrTooLate) {
			q.recordOutcome(s.work, 0)

			err = q.tooLateLocked(now)
		}

		return err
	}

	if len(q.waiting) == 0 {
		q.waitingSince = now
	}

	q.waiting = append(q.waiting, s)
	q.start(now)

	return nil
}

// abandon removes a waiting call. If it has been granted a slot in the meantime, the slot is
// released.
func (q *Queue) abandon(s *Slot, reason error) error {
	q.mu.Lock()
	defer q.mu.Unlock()

	if i := slices.Index(q.waiting, s); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.recordOutcome(s.work, 0)

		return reason
	}

	now := time.Now()

	q.uncharge(s, now)
	delete(q.running, s)
	q.start(now)

	return reason
}

// start admits waiting calls while slots are free.
func (q *Queue) start(now time.Time) {
	for len(q.waiting) > 0 && len(q.running) < q.slots && !q.held(now) {
		if wait := q.pacer.Wait(1, now); wait > 0 {
			q.startAfter(wait)

			break
		}

		s := q.dequeue(now)

		// A call that has less than half of its expected time left is not worth starting.
		if now.Add(s.serviceTime / 2).After(s.work.Deadline) {
			s.decision <- ErrTooLate

			continue
		}

		s.started, s.slowness = now, q.startSlowness(now)
		q.pacer.Start(now)
		q.running[s] = struct{}{}
		q.recordOutcome(s.work, 1)
		q.charge(s, s.serviceTime, now)
		s.decision <- nil
	}

	if q.slots == 0 {
		q.rejectWaiting()
	}
}

func (q *Queue) rejectWaiting() {
	for _, s := range q.waiting {
		s.decision <- ErrClosed
	}

	q.waiting = nil
}

// Leave releases the slot. Took is the service time at the backend server, or 0 if it is not a
// valid sample for the route.
func (s *Slot) Leave(took time.Duration) {
	q := s.queue

	q.mu.Lock()
	defer q.mu.Unlock()

	now := time.Now()

	delete(q.running, s)
	q.countUsage(s, now)
	q.charge(s, now.Sub(s.started)-s.serviceTime, now)

	if took > 0 {
		q.observe(s.work.Route, time.Duration(float64(took)/s.meanSlowness(now)))
	}

	q.start(now)
}
