package dispatch_test

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/dispatch"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/ingress"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/slots"
)

// beside runs calls in the queues of the fleet's nodes. Each call takes 140 ms in the
// mean, differing as lengths of listings do, and longer where the node is slow.
type beside struct {
	queues map[string]*slots.Queue
	speeds map[string]float64

	mu     sync.Mutex
	random *rand.Rand
	asks   int
}

func (b *beside) held(address string) time.Duration {
	const (
		mean   = 140 * time.Millisecond
		spread = 0.5
	)

	b.mu.Lock()
	defer b.mu.Unlock()

	b.asks++

	return time.Duration(float64(mean) * b.speeds[address] * math.Exp(spread*b.random.NormFloat64()-spread*spread/2))
}

func (b *beside) run(ctx context.Context, address string, in forward.Request) (forward.Reply, error) {
	const way = 500 * time.Microsecond

	held := b.held(address)
	queue := b.queues[address]
	now := time.Now()
	w := slots.Work{
		Route: in.Route, Rank: in.Rank, Target: now.Add(in.Target()), Deadline: now.Add(in.Remaining()), Elsewhere: in.Elsewhere,
	}

	time.Sleep(way)
	defer time.Sleep(way)

	slot, err := queue.Enter(ctx, w)
	if err != nil {
		reason := err.Error()
		if err == slots.ErrElsewhere { //nolint:errorlint // as it is returned
			reason = forward.ReasonElsewhere
		}

		return forward.Reply{Result: forward.Refused, Reason: reason, Load: b.load(queue, w)}, nil
	}

	time.Sleep(held)
	slot.Leave(held)

	return forward.Reply{Result: forward.Answered, Status: http.StatusOK, HeldMs: held.Milliseconds(), Load: b.load(queue, w)}, nil
}

func (b *beside) load(q *slots.Queue, w slots.Work) forward.Load {
	l := q.Load()
	out := forward.Load{Slots: l.Slots, Running: l.Running, Waiting: l.Waiting}

	for rank := range out.WaitsMs {
		out.WaitsMs[rank] = q.Wait(w, rank).Milliseconds()
	}

	return out
}

// played is a load on the backend servers of one failure domain.
type played struct {
	use      float64 // of what the backend servers can do
	comeBack bool    // callers that are turned away come back once
}

// result is what callers got.
type result struct {
	asked, onTime, late, refused int
}

func (r result) share() float64 { return float64(r.onTime) / float64(r.asked) }

const (
	listingTarget  = 500 * time.Millisecond
	listingTimeout = 1200 * time.Millisecond
)

// play sends calls to many entries, each of which sees a few replies a second of each
// node, so what it knows of them is old.
func (p played) play(t *testing.T) (result, *beside) {
	t.Helper()

	const (
		entries, nodes, perNode = 20, 12, 6
		length                  = 20 * time.Second
	)

	f := newFleet(nodes)
	b := &beside{queues: map[string]*slots.Queue{}, speeds: map[string]float64{}, random: rand.New(rand.NewPCG(1, 2))}
	capacity := 0.0

	for i, r := range f.records {
		q := slots.New()
		q.Resize(perNode)
		b.queues[r.PeerAddress], b.speeds[r.PeerAddress] = q, []float64{0.7, 0.7, 1.6}[i%3]
		capacity += perNode / (0.140 * b.speeds[r.PeerAddress])
	}

	f.reply = b.run
	h := holder(t, func(r *route.Route) { r.Target, r.Timeout = listingTarget, listingTimeout })

	var (
		all []*dispatch.Dispatcher
		wg  sync.WaitGroup
		mu  sync.Mutex
		out result
	)

	for range entries {
		all = append(all, newDispatcher(f, h))
	}

	for start, i := time.Now(), 0; time.Since(start) < length; i++ {
		b.mu.Lock()
		pause := time.Duration(b.random.ExpFloat64() / (p.use * capacity) * float64(time.Second))
		b.mu.Unlock()
		time.Sleep(pause)

		wg.Go(func() {
			began := time.Now()
			r := p.call(t, all[i%entries], "id-"+strconv.Itoa(i), began)

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
	t.Logf("%+v, on time %.3f", out, out.share())

	return out, b
}

// call sends a call, and once more if the caller comes back, which it does after the
// time that it was told, or after a third of what it has left.
func (p played) call(t *testing.T, d *dispatch.Dispatcher, id string, began time.Time) ingress.Response {
	t.Helper()

	left := func() time.Duration { return listingTimeout - time.Since(began) }
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
		assert.Assert(t, r.share() > 0.93)
		assert.Assert(t, asks < 1.5)
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
