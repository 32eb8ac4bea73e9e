package poison_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/poison"
)

var (
	playSeeds = flag.Int("seeds", 20, "number of seeds of each random play")
	playFirst = flag.Uint64("first", 0, "first seed of each random play")
)

const (
	playCopies  = 20
	playLatency = time.Millisecond
	playAfter   = 200 * time.Millisecond // copies are sent this long after the views are whole
	playTimeout = 500 * time.Millisecond // of each caller
)

type playRunKey struct{}

// playRun is one run of the poison request; each crashes its backend server.
type playRun struct {
	gate    string
	granter string // gate that was asked for a permit, empty if none or itself
	began   time.Time
	known   []poison.Crash  // when the run began
	pulled  map[string]bool // when the run began
	seen    bool            // a gate of an earlier crash had this gate in its view
	alone   bool            // its view had no other gate
}

// play sends copies of the poison request while the views of the gates fill.
type play struct {
	m    *mesh
	rand *rand.Rand

	mu    sync.Mutex
	runs  []*playRun
	views map[string]map[string]int // state of other nodes by node; see nodeKnown
}

// States of a node in the view of another one.
const (
	nodeKnown = iota + 1
	serviceKnown
)

func newPlay(t *testing.T, gates int, seed uint64) *play {
	t.Helper()

	var ids []string
	for i := range gates {
		ids = append(ids, fmt.Sprintf("gate-%02d", i))
	}

	p := &play{m: newStoppedMesh(t, ids...), rand: rand.New(rand.NewPCG(seed, 0)), views: map[string]map[string]int{}}
	p.m.latency = playLatency

	for _, id := range ids {
		p.views[id] = map[string]int{}
		p.m.gates[id].seen = func(o string) bool { return p.sees(id, o) }
		p.m.gates[id].unassigned = func() []string { return p.unassigned(id) }
	}

	return p
}

func (p *play) ids() []string { return slices.Sorted(maps.Keys(p.m.gates)) }

func (p *play) sees(id, other string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.views[id][other] == serviceKnown
}

// unassigned returns the other nodes whose service a node does not know.
func (p *play) unassigned(id string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	var out []string

	for _, o := range slices.Sorted(maps.Keys(p.views[id])) {
		if o != id && p.views[id][o] == nodeKnown {
			out = append(out, o)
		}
	}

	return out
}

// learn merges what a node hears.
func (p *play) learn(id string, heard map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for o, state := range heard {
		p.views[id][o] = max(p.views[id][o], state)
	}
}

func (p *play) view(id string) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return maps.Clone(p.views[id])
}

// send sends one copy.
func (p *play) send(id string) {
	g := p.m.gates[id]
	r := &playRun{gate: id}

	ctx, cancel := context.WithTimeout(context.WithValue(p.m.t.Context(), playRunKey{}, r), playTimeout)
	defer cancel()

	c := poisonCall()
	w, _ := g.current()

	end, err := w.Begin(ctx, c)

	switch {
	case err != nil:
		return
	case ctx.Err() != nil: // nobody waits for the call
		end(poison.Lost)

		return
	}

	g.mu.Lock()
	r.pulled = maps.Clone(g.pulled)
	g.mu.Unlock()

	p.mu.Lock()
	r.began, r.known, r.alone = time.Now(), w.Table().Crashes(poison.Of(c).Digest), true

	for o, state := range p.views[id] {
		r.alone = r.alone && (o == id || state != serviceKnown)
	}

	for _, earlier := range p.runs {
		r.seen = r.seen || p.views[earlier.gate][id] == serviceKnown
	}

	p.runs = append(p.runs, r)
	p.mu.Unlock()

	end(poison.Crashed)
}

// mergeRuns drops runs that one crash ended together, of which the gate counts one.
func (p *play) mergeRuns() {
	surplus, last := map[string]int{}, map[string]time.Time{}
	for _, r := range p.runs {
		surplus[r.gate]++
	}

	for id := range surplus {
		w, boots := p.m.gates[id].current()

		for _, c := range w.Table().Crashes(poison.Of(poisonCall()).Digest) {
			if c.Gate == fmt.Sprintf("%s#%d", id, boots) {
				surplus[id]--
			}
		}
	}

	p.runs = slices.DeleteFunc(p.runs, func(r *playRun) bool {
		if surplus[r.gate] > 0 && last[r.gate].Equal(r.began) {
			surplus[r.gate]--

			return true
		}

		last[r.gate] = r.began

		return false
	})
}

func poisonCall() call.Call {
	return call.Call{ID: "c", Service: service, Method: "GET", URI: "/folders/broken"}
}

// cause says why a run began though earlier ones had crashed.
func (p *play) cause(i int) string {
	r := p.runs[i]

	switch {
	case len(r.known) == 0 && r.began.Sub(p.runs[0].began) <= 2*playLatency:
		return "beside the first crash"
	case len(r.known) == 0 && len(r.pulled) == 0:
		return "unjudged, knew no gate"
	case len(r.known) == 0 && r.seen:
		return "unjudged, not yet told by a gate that knows it"
	case len(r.known) == 0:
		return "unjudged, unknown to the gates of the crashes"
	case r.granter == "" && !slices.ContainsFunc(r.known, func(c poison.Crash) bool { return c.Address == r.gate }):
		return "permitted by itself as substitute"
	case r.granter != "" && !slices.ContainsFunc(r.known, func(c poison.Crash) bool { return c.Address == r.granter }):
		return "permitted by another substitute"
	}

	return "permitted by the gate of a crash, which knew no other"
}

// playAll runs a play with each seed and fails if one ends more than two backend servers.
func playAll(t *testing.T, gates int, run func(p *play)) {
	t.Helper()

	failed, most, causes, pulls := 0, 0, map[string]int{}, 0

	for i := range *playSeeds {
		seed := *playFirst + uint64(i)

		synctest.Test(t, func(t *testing.T) {
			p := newPlay(t, gates, seed)
			run(p)
			p.mergeRuns()

			most = max(most, len(p.runs))
			pulls += p.m.sentOf(poison.MethodPull)

			if len(p.runs) > poison.Limit {
				failed++

				if testing.Verbose() && failed <= 3 {
					p.logRuns(t, seed)
				}

				causes[p.cause(1)+" -> "+p.cause(2)]++
			}
		})
	}

	for _, c := range slices.Sorted(maps.Keys(causes)) {
		t.Logf("%3d %s", causes[c], c)
	}

	t.Logf("%d pulls in all", pulls)
	assert.Assert(t, failed == 0, "%d of %d seeds ended more than two backend servers, %d at most", failed, *playSeeds, most)
}

// logRuns logs the runs of the play in order.
func (p *play) logRuns(t *testing.T, seed uint64) {
	t.Helper()

	for i, r := range p.runs {
		t.Logf("seed %d run %d: %s at %v, granter %q, knew %v, pulled from %v: %s",
			seed, i+1, r.gate, time.Duration(r.began.UnixNano()%int64(time.Hour)), r.granter, r.known,
			slices.Sorted(maps.Keys(r.pulled)), p.cause(i))
	}
}

// sendCopies sends a copy to a random gate at a random moment and, after its answer, others until the
// given time has passed.
func (p *play) sendCopies(within time.Duration) {
	var wg sync.WaitGroup

	first, end := p.randN(within), time.Now().Add(within)

	time.Sleep(first)

	for len(p.serving()) == 0 {
		time.Sleep(playLatency)
	}

	p.sendAny(p.rand.Uint64())

	for range playCopies - 1 {
		at, n := p.randN(max(time.Until(end), playAfter)), p.rand.Uint64()

		wg.Go(func() {
			time.Sleep(at)
			p.sendAny(n)
		})
	}

	wg.Wait()
}

// sendAny sends a copy to one of the gates that serve.
func (p *play) sendAny(n uint64) {
	serving := p.serving()
	p.send(serving[n%uint64(len(serving))])
}

// serving returns the gates whose own service is set.
func (p *play) serving() []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	var out []string

	for _, id := range slices.Sorted(maps.Keys(p.views)) {
		if p.views[id][id] == serviceKnown {
			out = append(out, id)
		}
	}

	return out
}

func (p *play) randN(d time.Duration) time.Duration { return time.Duration(p.rand.Int64N(int64(d))) }

// All gates start at once. Each has joined one that started before, and sees each other one from a
// random moment on. Copies that arrive meanwhile must not end more than two backend servers.
func TestPlayViewsFillAtRandom(t *testing.T) {
	for _, c := range []struct {
		gates int
		lag   time.Duration
	}{{4, 200 * time.Millisecond}, {8, 200 * time.Millisecond}, {24, 200 * time.Millisecond}, {60, 400 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d gates %v", c.gates, c.lag), func(t *testing.T) {
			playAll(t, c.gates, func(p *play) {
				ids := p.ids()
				for i, id := range ids {
					p.views[id][id] = serviceKnown

					if i > 0 {
						joined := ids[p.rand.IntN(i)]
						p.views[id][joined], p.views[joined][id] = serviceKnown, serviceKnown
					}
				}

				for _, id := range ids {
					for _, o := range ids {
						time.AfterFunc(p.randN(c.lag), func() { p.learn(id, map[string]int{o: serviceKnown}) })
					}

					p.m.gates[id].start()
				}

				p.sendCopies(c.lag + playAfter)
			})
		})
	}
}

// Gates start within a moment, join gates that started earlier and hear the rest by gossip. Copies
// that arrive meanwhile must not end more than two backend servers.
func TestPlayGatesJoin(t *testing.T) {
	const (
		spread       = 400 * time.Millisecond // of the starts
		firstCheckIn = 100 * time.Millisecond // longest time until a node knows its own service
		whole        = 500 * time.Millisecond // from the last start until the views are whole
	)

	for _, gates := range []int{4, 8, 24, 60} {
		t.Run(fmt.Sprintf("%d gates", gates), func(t *testing.T) {
			playAll(t, gates, func(p *play) {
				ctx, cancel := context.WithCancel(p.m.t.Context())

				for _, id := range p.ids() {
					at, up, random := p.randN(spread), p.randN(firstCheckIn), rand.New(rand.NewPCG(p.rand.Uint64(), 0))

					time.AfterFunc(at, func() {
						p.learn(id, map[string]int{id: nodeKnown})
						p.m.gates[id].start()
						time.AfterFunc(up, func() { p.learn(id, map[string]int{id: serviceKnown}) })
						p.gossip(ctx, id, random)
					})
				}

				p.sendCopies(spread + whole + playAfter)
				cancel()
			})
		})
	}
}

// gossip joins some nodes that started earlier and sends news to known ones until ctx ends.
func (p *play) gossip(ctx context.Context, id string, random *rand.Rand) {
	const (
		joins    = 3
		fanout   = 2
		rounds   = 4 // in which one piece of news is sent
		interval = 100 * time.Millisecond
	)

	sent := map[string]int{} // rounds by node and state

	for ctx.Err() == nil {
		view := p.view(id)

		if len(view) == 1 { // joins
			others := p.started(id)
			random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })

			for _, o := range others[:min(joins, len(others))] {
				p.exchange(id, o, view)
			}
		}

		view, news := p.view(id), map[string]int{}

		for o, state := range view {
			if key := fmt.Sprint(o, state); sent[key] < rounds {
				sent[key]++
				news[o] = state
			}
		}

		known := slices.Sorted(maps.Keys(view))
		random.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })

		for _, o := range known[:min(fanout, len(known))] {
			if o != id && len(news) > 0 {
				time.AfterFunc(playLatency, func() { p.learn(o, news) })
			}
		}

		select {
		case <-ctx.Done():
		case <-time.After(interval/2 + time.Duration(random.Int64N(int64(interval)))):
		}
	}
}

// exchange exchanges whole views.
func (p *play) exchange(id, other string, view map[string]int) {
	time.Sleep(playLatency)

	reply := p.view(other)
	p.learn(other, view)
	time.Sleep(playLatency)
	p.learn(id, reply)
}

// started returns the other nodes that have started.
func (p *play) started(id string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	var out []string

	for _, o := range slices.Sorted(maps.Keys(p.views)) {
		if o != id && p.views[o][o] != 0 {
			out = append(out, o)
		}
	}

	return out
}
