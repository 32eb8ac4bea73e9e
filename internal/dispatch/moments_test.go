package dispatch_test

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/dispatch"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/slots"
)

// hosts are the hosts of backend servers that are slow for a moment now and then.
type hosts struct {
	slowness  []float64 // of the hosts in turn, outside of slow moments
	slow      float64   // factor of a slow moment
	stated    bool      // backend servers state the slowness
	nodes     int
	entries   int
	load      float64 // share of the capacity that the calls need
	length    time.Duration
	seed      uint64
	countFrom time.Duration // of the calls by host
	// onlyMoments are the slow moments of the first host if the others have none.
	onlyMoments []time.Duration

	began   time.Time
	moments [][]time.Duration // starts of the slow moments of each host

	mu          sync.Mutex
	random      *rand.Rand
	ran         []int // calls by host
	calls, late int
}

const (
	momentLength = 600 * time.Millisecond
	momentGap    = 3400 * time.Millisecond // mean time between two
	hostSlots    = 9
	// hostWork is the mean time of a call at a slowness of 1; one in tailOdds takes tailFactor as long.
	hostWork     = 140 * time.Millisecond
	tailOdds     = 33
	tailFactor   = 7
	hostsTimeout = 2 * time.Second
	maxCalls     = 1 << 16
)

// rate returns the calls a second.
func (h *hosts) rate() float64 {
	out := 0.0
	for i := range h.nodes {
		out += hostSlots / (hostWork.Seconds() * (1 + (tailFactor-1.0)/tailOdds) * h.slowness[i%len(h.slowness)])
	}

	return h.load * out
}

// start begins a play with the same slow moments for the same seed.
func (h *hosts) start() {
	h.began, h.random = time.Now(), rand.New(rand.NewPCG(1, h.seed))
	h.ran, h.moments = make([]int, h.nodes), make([][]time.Duration, h.nodes)
	h.calls, h.late = 0, 0

	if h.onlyMoments != nil {
		h.moments[0] = h.onlyMoments

		return
	}

	for i := range h.moments {
		for at := time.Duration(0); at < h.length; at += momentLength {
			at += time.Duration(h.random.ExpFloat64() * float64(momentGap))
			h.moments[i] = append(h.moments[i], at)
		}
	}
}

// factor returns the slowness of a host and until when it holds.
func (h *hosts) factor(i int, at time.Duration) (float64, time.Duration) {
	usual := h.slowness[i%len(h.slowness)]

	for _, m := range h.moments[i] {
		switch {
		case at < m:
			return usual, m
		case at < m+momentLength:
			return usual * h.slow, m + momentLength
		}
	}

	return usual, math.MaxInt64
}

// work runs a call on a host and returns how long it took.
func (h *hosts) work(i int) time.Duration {
	const spread = 0.8

	h.mu.Lock()
	left := float64(hostWork) * math.Exp(spread*h.random.NormFloat64()-spread*spread/2)

	if h.random.IntN(tailOdds) == 0 {
		left *= tailFactor
	}

	if time.Since(h.began) >= h.countFrom {
		h.ran[i]++
	}
	h.mu.Unlock()

	start := time.Now()

	for {
		at := time.Since(h.began)
		f, until := h.factor(i, at)

		if took := left * f; float64(at)+took <= float64(until) {
			time.Sleep(time.Duration(took))

			return time.Since(start)
		}

		time.Sleep(until - at)
		left -= float64(until-at) / f
	}
}

// play sends calls at random times to what run calls for each.
func (h *hosts) play(run func(call int) bool) float64 {
	var wg sync.WaitGroup

	for rate := h.rate(); time.Since(h.began) < h.length; h.calls++ {
		h.mu.Lock()
		pause := h.random.ExpFloat64() * float64(time.Second) / rate
		h.mu.Unlock()
		time.Sleep(time.Duration(pause))

		call := h.calls

		wg.Go(func() {
			came := time.Now()
			if run(call) && time.Since(came) <= callTarget {
				return
			}

			h.mu.Lock()
			h.late++
			h.mu.Unlock()
		})
	}

	wg.Wait()

	return 1 - float64(h.late)/float64(h.calls)
}

// dispatched plays calls through dispatchers and returns the share on time.
func (h *hosts) dispatched(t *testing.T) float64 {
	t.Helper()
	h.start()

	f := newFleet(h.nodes)
	queues := make([]*slots.Queue, h.nodes)

	for i := range queues {
		queues[i] = slots.New()
		queues[i].Resize(hostSlots)
	}

	f.reply = func(ctx context.Context, address string, in forward.Request) (forward.Reply, error) {
		i, _ := strconv.Atoi(address[1:])

		return h.serve(ctx, i, queues[i], in)
	}

	var all []*dispatch.Dispatcher

	routes := holder(t, func(r *route.Route) { r.Target, r.Timeout = callTarget, hostsTimeout })
	for i := range h.entries {
		all = append(all, workload{}.newEntry(f, routes, i))
	}

	return h.play(func(call int) bool {
		return send(all[call%len(all)], "/safe/x", "Pollencart-Call", "id-"+strconv.Itoa(call)).Status == http.StatusOK
	})
}

func (h *hosts) serve(ctx context.Context, i int, q *slots.Queue, in forward.Request) (forward.Reply, error) {
	w := newWork(in)
	reply := func(r forward.Reply) (forward.Reply, error) {
		r.Load, r.Slowness = (&simulatedBackends{}).load(q, w), q.Slowness().Usual

		return r, nil
	}

	s, err := q.Enter(ctx, w)
	if err != nil {
		return reply(forward.Reply{Result: forward.Refused, Reason: reasonFor(err)})
	}

	took := h.work(i)

	if f, _ := h.factor(i, time.Since(h.began)); h.stated {
		q.SetSlowness(f)
	}

	usual := s.AtUsualSpeed(took)
	s.Leave(took)

	return reply(forward.Reply{Result: forward.Answered, Status: http.StatusOK, HeldMs: usual.Milliseconds(), Body: responseBody})
}

// A stated slowness is not used, or the calls that leave slow hosts end at worse ones.
func TestStatedSlownessBringsCallsCloserToOracle(t *testing.T) {
	gained, missing := 0.0, 0.0

	for _, test := range []struct {
		slowness []float64
		load     float64
	}{
		{[]float64{0.55, 1.2, 1.2, 1.2}, 0.4},
		{[]float64{0.7, 0.7, 1.6}, 0.4},
		{[]float64{0.6, 1, 1.4}, 0.4},
		{[]float64{0.6, 1, 1.4}, 0.65},
		{[]float64{1}, 0.4},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := &hosts{slowness: test.slowness, slow: 2.5, nodes: 12, entries: 20, load: test.load, length: 30 * time.Second}
			without := h.dispatched(t)
			h.stated = true
			with := h.dispatched(t)
			busiest := float64(slices.Max(h.ran)*h.nodes) / float64(h.calls)
			most := h.oracle()

			t.Logf("%v at %.2f: on time %.4f, stated %.4f, oracle %.4f, busiest %.2f of the mean", test.slowness, test.load, without, with, most, busiest)
			assert.Check(t, len(test.slowness) > 1 || busiest < 1.5)

			gained += with - without
			missing += most - without
		})
	}

	assert.Assert(t, gained > 0.2*missing, "%.2f of it", gained/missing)
}

// One of two equal nodes looks slow once, gets no more calls and never looks faster.
func TestEqualNodesGetFairShares(t *testing.T) {
	const plays = 24

	smaller := 0.0

	for seed := range uint64(plays) {
		synctest.Test(t, func(t *testing.T) {
			h := &hosts{slowness: []float64{1}, slow: 1, nodes: 2, entries: 1, load: 0.1, length: 17 * time.Second, seed: seed}
			h.dispatched(t)
			smaller += float64(slices.Min(h.ran)) / float64(h.calls) / plays
		})
	}

	t.Logf("smaller share, mean of %d plays: %.2f", plays, smaller)
	assert.Assert(t, smaller > 0.3)
}

// A host that was slow stays without calls.
func TestHostThatWasSlowGetsItsShareBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const begin, end, back, nodes, plays = 5 * time.Second, 8 * time.Second, 3 * time.Second, 8, 6

		share := func(from, to time.Duration) float64 {
			counted, all := 0, 0

			for seed := range uint64(plays) {
				h := &hosts{
					slowness: []float64{1}, slow: 2.5, stated: true, nodes: nodes, entries: 20, load: 0.4, length: to, countFrom: from, seed: seed,
				}
				for at := begin; at < end; at += momentLength {
					h.onlyMoments = append(h.onlyMoments, at)
				}

				h.dispatched(t)

				counted += h.ran[0]
				for _, n := range h.ran {
					all += n
				}
			}

			return float64(counted*nodes) / float64(all)
		}

		during, after := share(begin, end), share(end+back, end+2*back)
		t.Logf("share of the mean while slow %.2f, later %.2f", during, after)
		assert.Check(t, during < 0.5)
		assert.Check(t, after > 0.75)
	})
}
