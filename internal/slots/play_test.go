package slots_test

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/slots"
)

const ms = time.Millisecond

// workload describes calls of one kind with random arrivals.
type workload struct {
	route            string
	rank             int
	took             time.Duration
	target, deadline time.Duration
	interval         time.Duration // mean time between arrivals
	nested           bool
	// spread is the standard deviation of the logarithm of the service time.
	spread float64
}

// sampleServiceTime returns a random service time with mean took.
func (w workload) sampleServiceTime(r *rand.Rand) time.Duration {
	return time.Duration(float64(w.took) * math.Exp(w.spread*r.NormFloat64()-w.spread*w.spread/2))
}

// results counts the outcomes of a workload's calls.
type results struct {
	sync.Mutex

	sent, onTime, late, rejected int
	took                         []time.Duration // time until rejection
}

func (g *results) onTimeShare() float64 { return float64(g.onTime) / float64(max(g.sent, 1)) }

// runLoad sends the calls of all workloads for the given time and returns their results.
func runLoad(q *slots.Queue, length time.Duration, workloads ...workload) []*results {
	random := rand.New(rand.NewPCG(1, 2))
	all := make([]*results, len(workloads))
	ctx, cancel := context.WithTimeout(context.Background(), length)

	defer cancel()

	var wg sync.WaitGroup

	for i, w := range workloads {
		all[i] = &results{}
		calls := make([]workload, 0, length/w.interval*2)

		for total := time.Duration(0); total < length; {
			c := w
			c.interval, c.took = time.Duration(random.ExpFloat64()*float64(w.interval)), w.sampleServiceTime(random)
			calls, total = append(calls, c), total+c.interval
		}

		wg.Go(func() {
			for _, c := range calls {
				select {
				case <-ctx.Done():
					return
				case <-time.After(c.interval):
				}

				wg.Go(func() { runCall(q, c, all[i]) })
			}
		})
	}

	wg.Wait()

	return all
}

func runCall(q *slots.Queue, k workload, r *results) {
	start := time.Now()
	w := slots.Work{Route: k.route, Rank: k.rank, Target: start.Add(k.target), Deadline: start.Add(k.deadline), Nested: k.nested}

	ctx, cancel := context.WithDeadline(context.Background(), w.Deadline)
	defer cancel()

	s, err := q.Enter(ctx, w)
	if err == nil {
		time.Sleep(k.took)
		s.Leave(k.took)
	}

	r.Lock()
	defer r.Unlock()

	r.sent++

	switch {
	case err != nil:
		r.rejected++
		r.took = append(r.took, time.Since(start))
	case time.Since(start) <= k.target:
		r.onTime++
	default:
		r.late++
	}
}

func newQueue(n int) *slots.Queue {
	q := slots.New()
	q.Resize(n)

	return q
}

var (
	folderOpen = workload{route: "folder-open", rank: 2, took: 120 * ms, target: 400 * ms, deadline: 1000 * ms, interval: 10 * ms}
	search     = workload{route: "search", rank: 1, took: 48 * ms, target: 150 * ms, deadline: 400 * ms, interval: 30 * ms}
	sweep      = workload{route: "sweep", rank: 2, took: 300 * ms, target: 800 * ms, deadline: 2000 * ms, interval: 60 * ms}
	listing    = workload{route: "listing", rank: 2, took: 100 * ms, target: 300 * ms, deadline: 800 * ms, interval: 14 * ms, spread: 0.5}
	export     = workload{route: "export", rank: 2, took: 220 * ms, target: 600 * ms, deadline: 1500 * ms, interval: 60 * ms, spread: 0.8}
)
