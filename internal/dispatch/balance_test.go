package dispatch_test

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/balancer"
	"github.com/pollencart/pollencart/internal/dispatch"
	"github.com/pollencart/pollencart/internal/draining"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/internal/ingress"
	"github.com/pollencart/pollencart/internal/retrybudget"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/slots"
	"github.com/pollencart/pollencart/internal/timeline"
)

// simulatedBackends runs calls in the queues of the fleet's nodes. A call takes 140 ms on
// average with a log-normal spread, and longer on a slow node.
type simulatedBackends struct {
	queues   map[string]*slots.Queue
	slowness map[string]float64

	mu          sync.Mutex
	random      *rand.Rand
	contacts    int
	crossDomain int
	domains     map[string]string // by address
}

// sampleServiceTime returns a random service time on a node that is slower by the given factor.
func sampleServiceTime(r *rand.Rand, slowness float64) time.Duration {
	const spread = 0.5

	return time.Duration(float64(meanServiceTime) * slowness * math.Exp(spread*r.NormFloat64()-spread*spread/2))
}

func (b *simulatedBackends) serviceTime(address string, in forward.Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.contacts++

	if b.domains[address] != in.Origin {
		b.crossDomain++
	}

	return sampleServiceTime(b.random, b.slowness[address])
}

func (b *simulatedBackends) run(ctx context.Context, address string, in forward.Request) (forward.Reply, error) {
	const oneWayDelay = 500 * time.Microsecond

	serviceTime := b.serviceTime(address, in)
	queue := b.queues[address]
	w := newWork(in)

	time.Sleep(oneWayDelay)
	defer time.Sleep(oneWayDelay)

	slot, err := queue.Enter(ctx, w)
	if err != nil {
		return forward.Reply{Result: forward.Refused, Reason: reasonFor(err), Load: b.load(queue, w)}, nil
	}

	time.Sleep(serviceTime)
	slot.Leave(serviceTime)

	return forward.Reply{
		Result: forward.Answered, Status: http.StatusOK, HeldMs: serviceTime.Milliseconds(), Load: b.load(queue, w), Body: responseBody,
	}, nil
}

func newWork(in forward.Request) slots.Work {
	now := time.Now()

	return slots.Work{
		Route: in.Route, Rank: in.Rank, Target: now.Add(in.Target()), Deadline: now.Add(in.Remaining()), Elsewhere: in.Elsewhere,
		Nearby: in.Nearby,
	}
}

// reasonFor returns the reason of a reply to a call that the queue rejected.
func reasonFor(err error) string {
	switch {
	case errors.Is(err, slots.ErrElsewhere):
		return forward.ReasonElsewhere
	case errors.Is(err, slots.ErrWouldWait):
		return forward.ReasonWaits
	}

	return err.Error()
}

func (b *simulatedBackends) load(q *slots.Queue, w slots.Work) forward.Load {
	l := q.Load()
	out := forward.Load{Slots: l.Slots, Running: l.Running, Waiting: l.Waiting}

	for rank := range out.WaitsMs {
		out.WaitsMs[rank] = q.EstimateWait(w, rank).Milliseconds()
	}

	return out
}

// responseBody has a typical size.
var responseBody = make([]byte, 1500)

// workload is a load on the backend servers.
type workload struct {
	utilization   float64 // share of the capacity that the calls need
	callersRetry  bool    // callers retry a rejected call once
	timeoutSpread float64 // largest share by which a caller timeout is shorter than the route's
	// hotShare is the share of the calls that arrive in the first of two failure domains; 0 if
	// there is only one.
	hotShare float64
}

// outcomeCounts counts calls by what their callers got.
type outcomeCounts struct {
	calls, onTime, late, rejected int
	crossDomain                   int // nodes contacted in another failure domain
}

func (r outcomeCounts) share() float64 { return float64(r.onTime) / float64(r.calls) }

const (
	meanServiceTime = 140 * time.Millisecond
	callTarget      = 500 * time.Millisecond
	routeTimeout    = 1200 * time.Millisecond
)

// The simulated backend servers and the duration of the load.
const (
	loadNodes  = 12
	loadSlots  = 6 // of each node
	loadLength = 20 * time.Second
)

// nodeSlowness returns the factor by which calls take longer on a node.
func nodeSlowness(i int) float64 { return []float64{0.7, 0.7, 1.6}[i%3] }

// loadCapacity returns the calls per second that all nodes can run together.
func loadCapacity() float64 {
	out := 0.0
	for i := range loadNodes {
		out += loadSlots / (meanServiceTime.Seconds() * nodeSlowness(i))
	}

	return out
}

// simulate sends the calls of the workload to many entry nodes. Each sees only a few replies per
// second from each node, so its view of their load is stale.
func (p workload) simulate(t *testing.T) (outcomeCounts, *simulatedBackends) {
	t.Helper()

	const entries = 20

	f := newFleet(loadNodes)
	b := &simulatedBackends{
		queues: map[string]*slots.Queue{}, slowness: map[string]float64{}, random: rand.New(rand.NewPCG(1, 2)), domains: map[string]string{},
	}
	gap := float64(time.Second) / (p.utilization * loadCapacity())

	for i, r := range f.records {
		f.records[i].FailureDomain = p.domain(i)
		b.domains[r.PeerAddress] = p.domain(i)

		q := slots.New()
		q.Resize(loadSlots)
		b.queues[r.PeerAddress], b.slowness[r.PeerAddress] = q, nodeSlowness(i)
	}

	f.reply = b.run
	h := holder(t, func(r *route.Route) { r.Target, r.Timeout = callTarget, routeTimeout })

	var (
		all []*dispatch.Dispatcher
		wg  sync.WaitGroup
		mu  sync.Mutex
		out outcomeCounts
	)

	for i := range entries {
		all = append(all, p.newEntry(f, h, i))
	}

	for start, i := time.Now(), 0; time.Since(start) < loadLength; i++ {
		b.mu.Lock()
		pause := time.Duration(b.random.ExpFloat64() * gap)
		b.mu.Unlock()
		time.Sleep(pause)

		wg.Go(func() {
			began := time.Now()
			r := p.call(t, all[p.entryFor(i, entries)], "id-"+strconv.Itoa(i), began)

			mu.Lock()
			defer mu.Unlock()

			out.calls++

			switch {
			case r.Status != http.StatusOK:
				out.rejected++
			case time.Since(began) <= callTarget:
				out.onTime++
			default:
				out.late++
			}
		})
	}

	wg.Wait()

	out.crossDomain = b.crossDomain
	t.Logf("%+v, on time %.3f", out, out.share())

	return out, b
}

// domain returns the failure domain of a node or an entry node.
func (p workload) domain(i int) string {
	if p.hotShare > 0 && i%2 == 1 {
		return "leic"
	}

	return "derby"
}

// newEntry returns the dispatcher of an entry node.
func (p workload) newEntry(f *fleet, h *route.Holder, i int) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Options{
		Node: "e" + strconv.Itoa(i), FailureDomain: p.domain(i), Service: p.domain(i), Names: header.Default(), Tables: h, Members: f, Peers: f,
		Balancer: balancer.New(), Budget: retrybudget.New(retrybudget.Bound{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}),
		Recorder: timeline.New(),
		Intake:   draining.New(),
	})
}

// entryFor picks the entry node of a call.
func (p workload) entryFor(i, entries int) int {
	if p.hotShare == 0 {
		return i % entries
	}

	const every = 100
	if float64(i%every) < p.hotShare*every {
		return (2 * i) % entries
	}

	return (2*i + 1) % entries
}

// call sends a call, and if the caller retries, one retry after the Retry-After time or a third
// of the remaining time, whichever is shorter.
func (p workload) call(t *testing.T, d *dispatch.Dispatcher, id string, began time.Time) ingress.Response {
	t.Helper()

	timeout := time.Duration(float64(routeTimeout) * (1 - p.timeoutSpread*float64(xxhash.Sum64String(id)%100)/100))
	left := func() time.Duration { return timeout - time.Since(began) }
	deadlineMs := func() string { return strconv.FormatInt(left().Milliseconds(), 10) }

	r := send(d, "/safe/x", "Pollencart-Call", id, "Pollencart-Deadline-Ms", deadlineMs())
	if r.Status != http.StatusServiceUnavailable || !p.callersRetry {
		return r
	}

	time.Sleep(min(time.Duration(retryAfter(t, r)*float64(time.Second)), left()/3))

	return send(d, "/safe/x", "Pollencart-Call", id+"-again", "Pollencart-Deadline-Ms", deadlineMs())
}

// The backend servers of one failure domain differ in speed and run near capacity. Calls must
// not wait at full ones, and so miss their target, while others have free slots.
func TestCallsFindFreeSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, b := workload{utilization: 0.95}.simulate(t)
		contacts := float64(b.contacts) / float64(r.calls)

		t.Logf("%.2f nodes contacted per call", contacts)
		assert.Assert(t, r.share() > 0.97)
		assert.Assert(t, contacts < 1.5)
	})
}

// Two thirds of the callers are in one of two failure domains, whose own backend servers can't
// serve them in time, while the other domain has free slots. The callers of
// the overloaded domain must not miss their target to save cross-domain cost, nor may calls
// cross without need.
func TestOverloadedFailureDomainSpillsToAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := workload{utilization: 0.75, hotShare: 0.64}.simulate(t)
		crossDomain := float64(r.crossDomain) / float64(r.calls)

		t.Logf("%.2f contacts in another failure domain per call", crossDomain)
		assert.Assert(t, r.share() > 0.98)
		assert.Assert(t, crossDomain < 0.06)
	})
}

// The load exceeds the capacity and callers retry rejected calls. Their target runs from the
// first attempt; a node that handles retries as new calls queues them behind others and
// answers them late.
func TestCallerRetriesKeepTheirFirstArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := workload{utilization: 1.2, callersRetry: true}.simulate(t)
		assert.Assert(t, r.share() > 0.7)
	})
}

// Callers send different timeouts. A node that takes a short timeout for a retry spills and
// rejects calls that would have met their target.
func TestShortCallerTimeoutsAreNotTakenForRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := workload{utilization: 0.95, hotShare: 0.5, timeoutSpread: 0.25}.simulate(t)
		crossDomain := float64(r.crossDomain) / float64(r.calls)

		t.Logf("%.3f contacts in another failure domain per call", crossDomain)
		assert.Assert(t, r.share() > 0.96)
		assert.Assert(t, crossDomain < 0.13)
	})
}

// Callers retry and differ in their timeouts. A retry must be detected by its deadline, not by
// its short timeout.
func TestCallerRetriesAreDetectedAcrossDifferentTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := workload{utilization: 1.2, callersRetry: true, timeoutSpread: 0.25}.simulate(t)
		assert.Assert(t, r.share() > 0.7)
	})
}
