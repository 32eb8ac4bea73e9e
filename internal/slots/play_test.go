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

// kind is a kind of call in a load that is played.
type kind struct {
	route            string
	rank             int
	held             time.Duration
	target, deadline time.Duration
	every            time.Duration // mean time between arrivals
	nested           bool
	// spread of the time held, as the standard deviation of its logarithm.
	spread float64
}

// draw returns how long one call of the kind takes; the mean is held.
func (k kind) draw(r *rand.Rand) time.Duration {
	return time.Duration(float64(k.held) * math.Exp(k.spread*r.NormFloat64()-k.spread*k.spread/2))
}

// got is what the callers of a kind got.
type got struct {
	sync.Mutex

	asked, onTime, late, refused int
	held                         []time.Duration // of those that were turned away
}

func (g *got) share() float64 { return float64(g.onTime) / float64(max(g.asked, 1)) }

// play sends calls of each kind at random for some time and returns what they got.
func play(q *slots.Queue, length time.Duration, kinds ...kind) []*got {
	random := rand.New(rand.NewPCG(1, 2))
	out := make([]*got, len(kinds))
	ctx, cancel := context.WithTimeout(context.Background(), length)

	defer cancel()

	var wg sync.WaitGroup

	for i, k := range kinds {
		out[i] = &got{}
		calls := make([]kind, 0, length/k.every*2)

		for total := time.Duration(0); total < length; {
			c := k
			c.every, c.held = time.Duration(random.ExpFloat64()*float64(k.every)), k.draw(random)
			calls, total = append(calls, c), total+c.every
		}

		wg.Go(func() {
			for _, c := range calls {
				select {
				case <-ctx.Done():
					return
				case <-time.After(c.every):
				}

				wg.Go(func() { one(q, c, out[i]) })
			}
		})
	}

	wg.Wait()

	return out
}

func one(q *slots.Queue, k kind, g *got) {
	start := time.Now()
	w := slots.Work{Route: k.route, Rank: k.rank, Target: start.Add(k.target), Deadline: start.Add(k.deadline), Nested: k.nested}

	ctx, cancel := context.WithDeadline(context.Background(), w.Deadline)
	defer cancel()

	s, err := q.Enter(ctx, w)
	if err == nil {
		time.Sleep(k.held)
		s.Leave(k.held)
	}

	g.Lock()
	defer g.Unlock()

	g.asked++

	switch {
	case err != nil:
		g.refused++
		g.held = append(g.held, time.Since(start))
	case time.Since(start) <= k.target:
		g.onTime++
	default:
		g.late++
	}
}

func newQueue(n int) *slots.Queue {
	q := slots.New()
	q.Resize(n)

	return q
}

var (
	folderOpen = kind{route: "folder-open", rank: 2, held: 120 * ms, target: 400 * ms, deadline: 1000 * ms, every: 10 * ms}
	search     = kind{route: "search", rank: 1, held: 48 * ms, target: 150 * ms, deadline: 400 * ms, every: 30 * ms}
	sweep      = kind{route: "sweep", rank: 2, held: 300 * ms, target: 800 * ms, deadline: 2000 * ms, every: 60 * ms}
	listing    = kind{route: "listing", rank: 2, held: 100 * ms, target: 300 * ms, deadline: 800 * ms, every: 14 * ms, spread: 0.5}
	export     = kind{route: "export", rank: 2, held: 220 * ms, target: 600 * ms, deadline: 1500 * ms, every: 60 * ms, spread: 0.8}
)
