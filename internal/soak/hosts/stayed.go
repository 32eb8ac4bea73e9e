package hosts

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Stayed counts the calls of callers that stay. A run in which none was checked shows
// nothing.
type Stayed struct {
	Calls int
	// InStops were under way during a planned stop of their host and are checked.
	InStops int
	// LeftOut were on a process that was killed or paused meanwhile, or were given up when
	// the process or the backend server that ran them was.
	LeftOut int
	// TimedOut got no answer in their time, Cut had their connection end first and did not
	// run, GivenUp got an answer that says that they may have run.
	TimedOut, Cut, GivenUp int
}

// String describes it for a person.
func (s Stayed) String() string {
	return fmt.Sprintf("calls %d, checked in stops %d, left out %d, timed out %d, cut and not run %d, given up %d",
		s.Calls, s.InStops, s.LeftOut, s.TimedOut, s.Cut, s.GivenUp)
}

// forTheWay is how long before the time limit of a call its host answers it, so that the
// answer comes in time: 20 ms, 3 ms more for the node that runs it, and one for rounding.
const forTheWay = 24 * time.Millisecond

// stayed keeps a call that has ended for its caller.
func (r *Report) stayed(s *stayed) {
	s.end = time.Now()

	r.mu.Lock()
	defer r.mu.Unlock()

	r.calls = append(r.calls, s)
}

// judgeStayed looks at the calls of callers that stay, once all that was done to the hosts
// is known.
func (r *run) judgeStayed() {
	for _, h := range r.hosts {
		r.report.judgeStops(h)
	}

	r.report.mu.Lock()
	calls := r.report.calls
	r.report.mu.Unlock()

	for _, s := range calls {
		r.judgeOne(s)
	}
}

func (r *run) judgeOne(s *stayed) {
	count := &r.report.Stayed
	during := span{s.at, s.end}
	ran := r.report.ranAt(s.id)
	count.Calls++

	refused := s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests
	if refused && len(ran) > 0 {
		r.report.broken("%s was refused with %d and ran at %v", s, s.status, ran)
	}

	if s.host.harmed(during) {
		count.LeftOut++

		return
	}

	if s.host.stopping(during) {
		count.InStops++
	}

	limit := s.limit
	if s.status == http.StatusBadGateway {
		limit -= forTheWay
	}

	switch {
	case s.dropped, s.status != 0 && s.status != http.StatusBadGateway:
	case s.end.Sub(s.at) >= limit:
		count.TimedOut++
	default:
		r.judgeLost(s, ran, during)
	}
}

// judgeLost looks at a call that was cut off, or given up before its time was over.
func (r *run) judgeLost(s *stayed, ran []string, during span) {
	count := &r.report.Stayed

	switch {
	case len(ran) == 0 && s.status == 0:
		count.Cut++
	case len(ran) == 0:
		count.GivenUp++
	case s.status == 0:
		r.report.broken("%s ran at %v and got no answer (its host was being stopped: %t)", s, ran, s.host.stopping(during))
	case r.lostAt(ran, during), r.report.hadEndlessAnswer(s.id), r.report.hadBrokenAnswer(s.id):
		count.LeftOut++
	default:
		r.report.broken("%s ran at %v and was given up with %d (its host was being stopped: %t)", s, ran, s.status, s.host.stopping(during))
	}
}

// ranAt returns the hosts whose backend servers ran a call.
func (r *Report) ranAt(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.runs[id]
}

// lostAt reports whether one of the hosts may have lost what its backend server ran.
func (r *run) lostAt(names []string, during span) bool {
	return slices.ContainsFunc(r.hosts, func(h *host) bool {
		return slices.Contains(names, h.config.Node) && (h.harmed(during) || h.wasShort(during) || h.backend.endedIn(during))
	})
}

// String tells a call apart in the logs.
func (s *stayed) String() string {
	return fmt.Sprintf("call %s at %s, sent %s behind %d, ended %s,", s.id, s.host.config.Node, s.at.Format(clock), s.ahead, s.end.Format(clock))
}
