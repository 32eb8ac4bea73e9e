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

// beside runs calls in the queues of the fleet's nodes. Each call takes 140 ms in the
// mean, differing as lengths of listings do, and longer where the node is slow.
type beside struct {
	queues map[string]*slots.Queue
	speeds map[string]float64

	mu      sync.Mutex
	random  *rand.Rand
	asks    int
	crossed int
	domains map[string]string // by address
}

// drawListing returns how long a listing takes where the node is so many times slower.
func drawListing(r *rand.Rand, speed float64) time.Duration {
	const spread = 0.5

	return time.Duration(float64(listingLength) * speed * math.Exp(spread*r.NormFloat64()-spread*spread/2))
}

func (b *beside) held(address string, in forward.Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.asks++

	if b.domains[address] != in.Origin {
		b.crossed++
	}

	return drawListing(b.random, b.speeds[address])
}

func (b *beside) run(ctx context.Context, address string, in forward.Request) (forward.Reply, error) {
	const way = 500 * time.Microsecond

	held := b.held(address, in)
	queue := b.queues[address]
	now := time.Now()
	w := slots.Work{
		Route: in.Route, Rank: in.Rank, Target: now.Add(in.Target()), Deadline: now.Add(in.Remaining()), Elsewhere: in.Elsewhere,
		Nearby: in.Nearby,
	}

	time.Sleep(way)
	defer time.Sleep(way)

	slot, err := queue.Enter(ctx, w)
	if err != nil {
		reason := err.Error()

		switch {
		case errors.Is(err, slots.ErrElsewhere):
			reason = forward.ReasonElsewhere
		case errors.Is(err, slots.ErrWouldWait):
			reason = forward.ReasonWaits
		}

		return forward.Reply{Result: forward.Refused, Reason: reason, Load: b.load(queue, w)}, nil
	}

	time.Sleep(held)
	slot.Leave(held)

	return forward.Reply{
		Result: forward.Answered, Status: http.StatusOK, HeldMs: held.Milliseconds(), Load: b.load(queue, w), Body: listing,
	}, nil
}

func (b *beside) load(q *slots.Queue, w slots.Work) forward.Load {
	l := q.Load()
	out := forward.Load{Slots: l.Slots, Running: l.Running, Waiting: l.Waiting}

	for rank := range out.WaitsMs {
		out.WaitsMs[rank] = q.EstimateWait(w, rank).Milliseconds()
	}

	return out
}

// listing is the answer, as long as listings are.
var listing = make([]byte, 1500)

// played is a load on the backend servers of one failure domain.
type played struct {
	use      float64 // of what the backend servers can do
	comeBack bool    // callers that are turned away come back once
	differ   float64 // callers wait for so much of the longest time less, at the most
	// hot is the part of the calls that begin in the first of two failure domains; 0 if
	// there is but one.
	hot float64
}

// result is what callers got.
type result struct {
	asked, onTime, late, refused int
	crossed                      int // asked in another failure domain
}

func (r result) share() float64 { return float64(r.onTime) / float64(r.asked) }

const (
	listingLength  = 140 * time.Millisecond // in the mean
	listingTarget  = 500 * time.Millisecond
	listingTimeout = 1200 * time.Millisecond
)

// The backend servers of a load that is played, and how long it lasts.
const (
	loadNodes  = 12
	loadSlots  = 6 // of each node
	loadLength = 20 * time.Second
)

// loadSpeed is how many times longer calls take at a node.
func loadSpeed(i int) float64 { return []float64{0.7, 0.7, 1.6}[i%3] }

// loadCapacity is how many calls a second end at all nodes.
func loadCapacity() float64 {
	out := 0.0
	for i := range loadNodes {
		out += loadSlots / (listingLength.Seconds() * loadSpeed(i))
	}

	return out
}

// play sends calls to many entries, each of which sees a few replies a second of each
// node, so what it knows of them is old.
func (p played) play(t *testing.T) (result, *beside) {
	t.Helper()

	const entries = 20

	f := newFleet(loadNodes)
	b := &beside{queues: map[string]*slots.Queue{}, speeds: map[string]float64{}, random: rand.New(rand.NewPCG(1, 2)), domains: map[string]string{}}
	gap := float64(time.Second) / (p.use * loadCapacity())

	for i, r := range f.records {
		f.records[i].FailureDomain = p.domain(i)
		b.domains[r.PeerAddress] = p.domain(i)

		q := slots.New()
		q.Resize(loadSlots)
		b.queues[r.PeerAddress], b.speeds[r.PeerAddress] = q, loadSpeed(i)
	}

	f.reply = b.run
	h := holder(t, func(r *route.Route) { r.Target, r.Timeout = listingTarget, listingTimeout })

	var (
		all []*dispatch.Dispatcher
		wg  sync.WaitGroup
		mu  sync.Mutex
		out result
	)

	for i := range entries {
		all = append(all, p.entry(f, h, i))
	}

	for start, i := time.Now(), 0; time.Since(start) < loadLength; i++ {
		b.mu.Lock()
		pause := time.Duration(b.random.ExpFloat64() * gap)
		b.mu.Unlock()
		time.Sleep(pause)

		wg.Go(func() {
			began := time.Now()
			r := p.call(t, all[p.pick(i, entries)], "id-"+strconv.Itoa(i), began)

			mu.Lock()
			defer mu.Unlock()

			out.asked++

			switch {
			case r.Status != http.StatusOK:
				out.refused++
			case time.Since(began) <= listingTarget:
				out.onTime++
			default:
				out.late++
			}
		})
	}

	wg.Wait()

	out.crossed = b.crossed
	t.Logf("%+v, on time %.3f", out, out.share())

	return out, b
}

// domain is the failure domain of a node or an entry.
func (p played) domain(i int) string {
	if p.hot > 0 && i%2 == 1 {
		return "leic"
	}

	return "derby"
}

// entry returns the dispatcher of an entry.
func (p played) entry(f *fleet, h *route.Holder, i int) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Options{
		Node: "e" + strconv.Itoa(i), FailureDomain: p.domain(i), Service: p.domain(i), Names: header.Default(), Tables: h, Members: f, Peers: f,
		Balancer: balancer.New(), Budget: retrybudget.New(retrybudget.Bound{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}),
		Recorder: timeline.New(),
		Intake:   draining.New(),
	})
}

// pick chooses the entry of a call.
func (p played) pick(i, entries int) int {
	if p.hot == 0 {
		return i % entries
	}

	const every = 100
	if float64(i%every) < p.hot*every {
		return (2 * i) % entries
	}

	return (2*i + 1) % entries
}

// call sends a call, and once more if the caller comes back, which it does after the
// time that it was told, or after a third of what it has left.
func (p played) call(t *testing.T, d *dispatch.Dispatcher, id string, began time.Time) ingress.Response {
	t.Helper()

	patience := time.Duration(float64(listingTimeout) * (1 - p.differ*float64(xxhash.Sum64String(id)%100)/100))
	left := func() time.Duration { return patience - time.Since(began) }
	stated := func() string { return strconv.FormatInt(left().Milliseconds(), 10) }

	r := send(d, "/safe/x", "Pollencart-Call", id, "Pollencart-Deadline-Ms", stated())
	if r.Status != http.StatusServiceUnavailable || !p.comeBack {
		return r
	}

	time.Sleep(min(time.Duration(retryAfter(t, r)*float64(time.Second)), left()/3))

	return send(d, "/safe/x", "Pollencart-Call", id+"-again", "Pollencart-Deadline-Ms", stated())
}

// Backend servers of one failure domain differ in speed and run nearly all that they
// could. Calls that wait at full ones while others have free slots are late for it.
func TestCallsFindFreeSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, b := played{use: 0.95}.play(t)
		asks := float64(b.asks) / float64(r.asked)

		t.Logf("%.2f nodes asked a call", asks)
		assert.Assert(t, r.share() > 0.97)
		assert.Assert(t, asks < 1.5)
	})
}

// Two thirds of the callers are in one of two failure domains, which its own backend
// servers can't serve in time, while those of the other have slots to spare. Callers
// there must not be late for the price of a crossing, nor may calls cross for nothing.
func TestAHotFailureDomainSpills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := played{use: 0.75, hot: 0.64}.play(t)
		crossed := float64(r.crossed) / float64(r.asked)

		t.Logf("%.2f crossed", crossed)
		assert.Assert(t, r.share() > 0.98)
		assert.Assert(t, crossed < 0.06)
	})
}

// More calls come than the backend servers take, and callers that are turned away come
// back. To them the target runs from their first attempt; a node that takes them for
// new callers puts them behind others and answers them late.
func TestCallersThatComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := played{use: 1.2, comeBack: true}.play(t)
		assert.Assert(t, r.share() > 0.7)
	})
}

// Callers differ in how long they wait, and say so. Those of little patience are no
// callers who come back: a node that takes them for such sends calls elsewhere, and turns
// calls away, that would have been on time.
func TestCallersOfDifferentPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := played{use: 0.95, hot: 0.5, differ: 0.25}.play(t)
		crossed := float64(r.crossed) / float64(r.asked)

		t.Logf("%.3f crossed", crossed)
		assert.Assert(t, r.share() > 0.96)
		assert.Assert(t, crossed < 0.13)
	})
}

// As with callers who come back, and all differ in patience: who waits is told by the
// moment at which it gives up.
func TestCallersOfDifferentPatienceThatComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := played{use: 1.2, comeBack: true, differ: 0.25}.play(t)
		assert.Assert(t, r.share() > 0.7)
	})
}
