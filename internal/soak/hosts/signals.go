package hosts

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pollencart/pollencart/platform"
)

const (
	// signalStream sets the schedule of signals apart from the others.
	signalStream = 0x516a1
	// highestLimit is the highest limit that a backend server names, in calls a second.
	highestLimit = 20
	// zeroOneIn of the limits are 0.
	zeroOneIn = 8
	// mostLimits is how many limits a backend server names one after the other.
	mostLimits = 3
	// longestLimit and shortestLimit bound how long it names one of them.
	shortestLimit = time.Second
	longestLimit  = 8 * time.Second
	// leaveOneInSignals of the backend servers with signals leave without an announcement.
	leaveOneInSignals = 3
	// hostsPerSignals is for how many hosts one series of signals goes on at a time.
	hostsPerSignals = 4
	// signalPause bounds the pause between two backend servers of a series.
	signalPause = 2 * time.Second
	// limitSettles is how long after it is first named a limit binds, limitWindow the length of
	// any span in which it holds.
	limitSettles = 3 * time.Second
	limitWindow  = 4 * time.Second
	// limitFactor and limitSlack are what may come beyond the limit in a window.
	limitFactor = 1.5
	limitSlack  = 5
	// toldBefore is the least age of an answer that binds the host that passed it on.
	toldBefore = 500 * time.Millisecond
)

// signals keeps what backend servers said in their answers and the calls that they got.
type signals struct {
	mu sync.Mutex
	// sent are calls by ID.
	sent map[string]sentCall
	// instances are by their names.
	instances map[string]*signaling
}

// sentCall is where a call began, and when.
type sentCall struct {
	host *host
	at   time.Time
}

// signaling is an instance that named limits or said that it leaves.
type signaling struct {
	limits   []named
	arrivals []signalArrival
	// limitTold and leavingTold are when hosts passed on an answer with a limit and with a leaving.
	limitTold, leavingTold map[*host][]time.Time
}

// named is a limit from a moment on, -1 for none.
type named struct {
	at    time.Time
	limit float64
}

type signalArrival struct {
	call sentCall
	at   time.Time
}

// Signals counts the backend servers that named limits or left without an announcement. A run in
// which no call was checked shows nothing.
type Signals struct {
	Limits, Leavings int
	// Checked are calls from hosts that had been told, Excused those of hosts that were restarted or
	// paused since.
	Checked, Excused int
	// Most is the largest share of what a limit and its slack allow that was used in a window.
	Most float64
}

func newSignals() *signals {
	return &signals{sent: map[string]sentCall{}, instances: map[string]*signaling{}}
}

func (s *signals) send(id string, h *host) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.sent[id] = sentCall{h, time.Now()}
}

// answered notes what an answer of an instance says, once its host has passed it on.
func (s *signals) answered(h *host, header http.Header) {
	names := platform.Headers()
	said := names.Signals(header)

	s.mu.Lock()
	defer s.mu.Unlock()

	i := s.instances[header.Get("Served-By")]
	if i == nil {
		return
	}

	if said.Limited {
		i.limitTold[h] = append(i.limitTold[h], time.Now())
	}

	if said.Leaving {
		i.leavingTold[h] = append(i.leavingTold[h], time.Now())
	}
}

func (s *signals) arrived(instance, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if i := s.instances[instance]; i != nil {
		i.arrivals = append(i.arrivals, signalArrival{s.sent[id], time.Now()})
	}
}

// of returns the record of an instance. The caller holds mu.
func (s *signals) of(instance string) *signaling {
	i := s.instances[instance]
	if i == nil {
		i = &signaling{limitTold: map[*host][]time.Time{}, leavingTold: map[*host][]time.Time{}}
		s.instances[instance] = i
	}

	return i
}

// signalSeries lets one backend server after the other name limits and leave.
func (r *run) signalSeries(ctx context.Context, random *rand.Rand, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		b := r.hosts[random.IntN(len(r.hosts))].backend

		for range 1 + random.IntN(mostLimits) {
			limit := highestLimit * random.Float64()
			if random.IntN(zeroOneIn) == 0 {
				limit = 0
			}

			r.nameLimit(b, limit)
			time.Sleep(shortestLimit + time.Duration(random.Int64N(int64(longestLimit-shortestLimit))))
		}

		if random.IntN(leaveOneInSignals) == 0 {
			r.leaveInAnswers(b)
		}

		r.nameLimit(b, -1)
		time.Sleep(time.Duration(random.Int64N(int64(signalPause))))
	}
}

// nameLimit has the instance that runs name a limit, or none if it is negative.
func (r *run) nameLimit(b *backend, limit float64) {
	current, runs, _ := b.state()
	if !runs {
		return
	}

	text := ""
	if limit >= 0 {
		text = strconv.FormatFloat(limit, 'f', 1, 64)
		limit, _ = strconv.ParseFloat(text, 64) // as the text has it, which is a number
	}

	r.signals.mu.Lock()
	i := r.signals.of(current.Instance)
	i.limits = append(i.limits, named{time.Now(), limit})
	r.signals.mu.Unlock()

	current.SetLimit(text)
}

// leaveInAnswers has the instance that runs say in its answers alone that it leaves, serve on, and end.
// The next one comes in its place.
func (r *run) leaveInAnswers(b *backend) {
	current, runs, leaving := b.state()
	if !runs || leaving {
		return
	}

	r.signals.mu.Lock()
	r.signals.of(current.Instance)
	r.signals.mu.Unlock()

	current.SetLeaving(true)
	time.Sleep(longestLimit)

	if b.end(current.Instance) {
		b.up()
	}
}

// judgeSignals looks at the calls that instances with signals got, once all that was done to the hosts is
// known.
func (r *run) judgeSignals() {
	r.signals.mu.Lock()
	defer r.signals.mu.Unlock()

	for name, i := range r.signals.instances {
		if len(i.limits) > 0 {
			r.report.Signals.Limits++
		}

		if len(i.leavingTold) > 0 {
			r.report.Signals.Leavings++
		}

		r.judgeLimit(name, i)
		r.judgeLeaving(name, i)
	}
}

func (r *run) judgeLimit(name string, i *signaling) {
	var bound []time.Time

	for _, a := range i.arrivals {
		if r.isTold(i.limitTold[a.call.host], a.call.host, a.at.Add(-toldBefore), a.at) {
			bound = append(bound, a.at)
		}
	}

	for begin, from := range bound {
		count, allowed := 0, i.allowed(from, from.Add(limitWindow))
		if allowed < 0 {
			continue
		}

		for _, at := range bound[begin:] {
			if at.Sub(from) <= limitWindow {
				count++
			}
		}

		r.report.Signals.Most = max(r.report.Signals.Most, float64(count)/allowed)

		if float64(count) > allowed {
			r.report.broken("%s got %d calls in %s from %s, allowed %.1f", name, count, limitWindow, from.Format(clock), allowed)

			return
		}
	}
}

// allowed returns the number of calls that the limits allow in a window, or -1 if none binds in all of
// it.
func (i *signaling) allowed(from, to time.Time) float64 {
	sum, since := 0.0, time.Time{}

	for n, l := range i.limits {
		end := to
		if n+1 < len(i.limits) && i.limits[n+1].at.Before(to) {
			end = i.limits[n+1].at
		}

		switch {
		case l.limit < 0:
			since = time.Time{}
		case since.IsZero():
			since = l.at
		}

		if begin := later(l.at, from); end.After(begin) {
			if l.limit < 0 || begin.Sub(since) < limitSettles {
				return -1
			}

			sum += l.limit * end.Sub(begin).Seconds()
		}
	}

	if since.IsZero() || from.Sub(since) < limitSettles {
		return -1
	}

	return limitFactor*sum + limitSlack
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

func (r *run) judgeLeaving(name string, i *signaling) {
	for _, a := range i.arrivals {
		if r.isTold(i.leavingTold[a.call.host], a.call.host, a.call.at.Add(-drainBound), a.at) {
			r.report.broken("a call reached %s at %s, sent %s after %s had passed on that it leaves",
				name, a.at.Format(clock), a.call.at.Sub(i.leavingTold[a.call.host][0]), a.call.host.config.Node)
		}
	}
}

// isTold reports whether a host had passed on an answer by a moment and was neither restarted nor
// paused from then on to the arrival of a call.
func (r *run) isTold(told []time.Time, h *host, by, arrival time.Time) bool {
	last := -1

	for n, at := range told {
		if !at.After(by) {
			last = n
		}
	}

	if last < 0 {
		return false
	}

	since := span{told[last], arrival}
	if h.harmed(since) || h.stopping(since) {
		r.report.Signals.Excused++

		return false
	}

	r.report.Signals.Checked++

	return true
}
