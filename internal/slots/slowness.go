package slots

import (
	"math"
	"slices"
	"time"
)

const (
	// slownessDecay is the time constant with which a stated slowness returns to the usual one. Slow
	// moments of a host that shares its hardware last some tenths of a second.
	slownessDecay = 500 * time.Millisecond
	// slownessTTL is the age from which a stated slowness says nothing.
	slownessTTL = 3 * slownessDecay
	// minSlowness and maxSlowness bound the effect of one statement.
	minSlowness = 0.05
	maxSlowness = 20.0
	// usualSamples and usualInterval give the time from which the usual slowness is taken. A slow
	// moment is shorter than half of it.
	usualSamples  = 64
	usualInterval = 100 * time.Millisecond
	// slowFrom is the multiple of the usual slowness from which calls that may be late are sent to
	// another node although a slot is free.
	slowFrom = 1.2
	// declineBelow is the share of the slots in use up to which they are. With more in use, other
	// nodes have little room, and a declined call leaves a free slot unused.
	declineBelow = 0.5
)

// Slowness is how long work takes on the host of the backend server, as a multiple of a standard
// time, as stated Age ago. The factors are 0 if nothing is known.
type Slowness struct {
	Factor float64
	// Usual is the median of the last seconds. It differs between hosts.
	Usual float64
	Age   time.Duration
}

// slowness is what the backend server states of its host.
type slowness struct {
	factor  float64
	at      time.Time
	usual   float64
	samples []float64 // the last ones, at least usualInterval apart
	sampled time.Time // time of the last one
	next    int       // index that the next one replaces
}

func (s *slowness) set(factor float64, now time.Time) {
	s.factor, s.at = min(max(factor, minSlowness), maxSlowness), now

	if now.Sub(s.sampled) < usualInterval && len(s.samples) > 0 {
		return
	}

	s.sampled = now

	if len(s.samples) < usualSamples {
		s.samples = append(s.samples, s.factor)
	} else {
		s.samples[s.next] = s.factor
		s.next = (s.next + 1) % usualSamples
	}

	sorted := slices.Sorted(slices.Values(s.samples))
	s.usual = sorted[(len(sorted)-1)/2]
}

// known reports whether the backend server ever stated a slowness.
func (s *slowness) known() bool { return s.usual > 0 }

// now returns the expected slowness, 1 if none was ever stated.
func (s *slowness) now(now time.Time) float64 {
	if !s.known() {
		return 1
	}

	return s.usual + (s.factor-s.usual)*math.Exp(-float64(now.Sub(s.at))/float64(slownessDecay))
}

// overUsual returns the expected slowness as a multiple of the usual one.
func (s *slowness) overUsual(now time.Time) float64 {
	if !s.known() {
		return 1
	}

	return s.now(now) / s.usual
}

// SetSlowness sets what the backend server states now.
func (q *Queue) SetSlowness(factor float64) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.slowness.set(factor, time.Now())
}

// Slowness returns the last statement, unless it has expired.
func (q *Queue) Slowness() Slowness {
	q.mu.Lock()
	defer q.mu.Unlock()

	age := time.Since(q.slowness.at)
	if !q.slowness.known() || age >= slownessTTL {
		return Slowness{}
	}

	return Slowness{Factor: q.slowness.factor, Usual: q.slowness.usual, Age: age}
}

// startSlowness returns the slowness to keep for a call that starts, or 0 if none was ever stated.
func (q *Queue) startSlowness(now time.Time) float64 {
	if !q.slowness.known() {
		return 0
	}

	return q.slowness.now(now)
}

// meanSlowness returns the mean slowness of a call that ends now. Only that at its start and at its
// end is known.
func (s *Slot) meanSlowness(now time.Time) float64 {
	end := s.queue.slowness.now(now)
	if s.slowness == 0 {
		return end
	}

	return (s.slowness + end) / 2
}

// AtUsualSpeed returns how long a call that ends now and took the given time would have taken at
// the usual speed of the host.
func (s *Slot) AtUsualSpeed(took time.Duration) time.Duration {
	q := s.queue

	q.mu.Lock()
	defer q.mu.Unlock()

	if !q.slowness.known() {
		return took
	}

	return time.Duration(float64(took) * q.slowness.usual / s.meanSlowness(time.Now()))
}

// evaluate decides whether a call starts or waits here. One that finds a free slot starts, unless the
// host is slow at this moment, the call may miss its target for that and another node can run it.
func (q *Queue) evaluate(s *Slot, now time.Time, wait time.Duration) error {
	switch {
	case wait > 0:
		return q.evaluateWait(s, now, wait)
	case s.work.Elsewhere && q.mayBeLateBySlowness(s, now):
		return ErrElsewhere
	}

	return nil
}

// mayBeLateBySlowness reports whether the host is slow and the call meets its target only if it is
// not much longer than expected. The margin is the larger one, since another node costs only a
// millisecond. The target of the call that waits for a nested one is not known here.
func (q *Queue) mayBeLateBySlowness(s *Slot, now time.Time) bool {
	if q.slowness.overUsual(now) < slowFrom || float64(len(q.running)) >= declineBelow*float64(q.slots) {
		return false
	}

	if s.work.Nested {
		return true
	}

	margin := time.Duration(0)
	if e, ok := q.serviceTimes.Get(s.work.Route); ok {
		margin = time.Duration(standingMarginDeviations * q.slowness.now(now) * float64(e.deviation))
	}

	return now.Add(s.serviceTime + margin).After(s.work.Target)
}

// slownessLoss is what a call of the route that starts now loses because the host is slower than
// usual.
func (q *Queue) slownessLoss(route string, now time.Time) time.Duration {
	expected, _ := q.serviceTime(route, now)

	return max(time.Duration(float64(expected)*(1-1/q.slowness.overUsual(now))), 0)
}
