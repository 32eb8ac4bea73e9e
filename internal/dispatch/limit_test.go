package dispatch_test

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/balancer"
	"github.com/pollencart/pollencart/internal/dispatch"
	"github.com/pollencart/pollencart/internal/draining"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/internal/notice"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/retrybudget"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/slots"
	"github.com/pollencart/pollencart/internal/timeline"
)

var limitSeeds = flag.Uint64("limitseeds", 3, "number of random runs of backend servers with limits")

const (
	limitWindow  = 4 * time.Second
	limitSettles = 3 * time.Second
	// toldBefore is the least age of an answer that binds the node that passed it on.
	toldBefore  = 500 * time.Millisecond
	shortWork   = 20 * time.Millisecond
	fewSlots    = 4
	largeLength = 8 * time.Second // of a run with hundreds of nodes
)

// limitedGate is a node beside a backend server that may name a limit.
type limitedGate struct {
	server string
	limit  float64 // from the begin of the run, -1 for none
	work   time.Duration
	slots  int

	mu      sync.Mutex
	queue   *slots.Queue
	keeper  *notice.Keeper
	process int
	frozen  time.Time // until then
	starts  []arrival
	told    map[string]time.Time // by entry, the first answer with the limit that it passed on
}

// arrival is a call that reached a backend server.
type arrival struct {
	entry string
	at    time.Time
}

func (p limitPlay) newGate(server string, limit float64) *limitedGate {
	g := &limitedGate{
		server: server, limit: limit, work: cmp.Or(p.work, shortWork), slots: cmp.Or(p.slots, fewSlots), told: map[string]time.Time{},
	}
	g.restart()

	return g
}

// restart starts a process that knows nothing. It returns once the old one can answer no more.
func (g *limitedGate) restart() {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.queue, g.keeper = slots.New(), notice.New()
	g.queue.Resize(g.slots)
	g.keeper.Reset(g.server, 0)
	g.process++
}

func (g *limitedGate) current() (*slots.Queue, *notice.Keeper, int, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.queue, g.keeper, g.process, g.frozen
}

func (g *limitedGate) follow(q *slots.Queue, change notice.Change, ok bool) {
	if ok && change.After.Limited {
		q.SetLimit(change.After.Limit)
	}
}

// run is a process of the gate: what package runner does, without a network.
func (g *limitedGate) run(ctx context.Context, in forward.Request) (forward.Reply, error) {
	queue, keeper, process, frozen := g.current()
	time.Sleep(time.Until(frozen))

	change, ok := keeper.Told(in.Notice, time.Now())
	g.follow(queue, change, ok)

	now := time.Now()
	w := slots.Work{
		Route: in.Route, Target: now.Add(in.Target()), Deadline: now.Add(in.Remaining()), Elsewhere: in.Elsewhere, Nearby: in.Nearby,
	}
	reply := forward.Reply{Result: forward.Refused}

	slot, err := queue.Enter(ctx, w)

	switch {
	case errors.Is(err, slots.ErrElsewhere):
		reply.Reason = forward.ReasonElsewhere
	case errors.Is(err, slots.ErrWouldWait):
		reply.Reason = forward.ReasonWaits
	case err != nil:
		reply.Reason, reply.RetryMs = err.Error(), queue.RetryAfter(w).Milliseconds()
	default:
		sent := time.Now()

		g.arrived(in.Origin, process)
		time.Sleep(g.work)
		slot.Leave(g.work)

		change, ok := keeper.Heard(g.server, sent, time.Now(), header.Signals{Limited: g.limit >= 0, Limit: max(g.limit, 0)})
		g.follow(queue, change, ok)

		reply = forward.Reply{Result: forward.Answered, Status: http.StatusOK, HeldMs: g.work.Milliseconds(), Body: responseBody}
	}

	reply.Load, reply.Notice = (&simulatedBackends{}).load(queue, w), keeper.Current(time.Now())

	if _, _, now, _ := g.current(); now != process {
		return forward.Reply{Result: forward.Lost}, peer.ErrBroken
	}

	g.passedOn(in.Origin, reply)

	return reply, nil
}

func (g *limitedGate) arrived(entry string, process int) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.process == process {
		g.starts = append(g.starts, arrival{entry, time.Now()})
	}
}

func (g *limitedGate) passedOn(entry string, r forward.Reply) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if _, ok := g.told[entry]; !ok && g.limit >= 0 && r.Result == forward.Answered {
		g.told[entry] = time.Now()
	}
}

// mostTold returns the largest number of calls in a window from entries that had been told.
func (g *limitedGate) mostTold(since time.Time) int {
	var told []time.Time

	for _, a := range g.starts {
		if at, ok := g.told[a.entry]; ok && a.at.After(since) && a.at.Sub(at) >= toldBefore {
			told = append(told, a.at)
		}
	}

	most, begin := 0, 0

	for i, at := range told {
		for at.Sub(told[begin]) > limitWindow {
			begin++
		}

		most = max(most, i-begin+1)
	}

	return most
}

func (g *limitedGate) startedSince(since time.Time) int {
	count := 0

	for _, a := range g.starts {
		if a.at.After(since) {
			count++
		}
	}

	return count
}

// limitPlay is a run of a service of which some backend servers name a limit.
type limitPlay struct {
	nodes, entries, limited int
	callsPerSecond          int
	length                  time.Duration
	// highest is the highest limit, 20 calls a second if not set; work and slots are those of each
	// backend server, shortWork and fewSlots if not set.
	highest float64
	work    time.Duration
	slots   int
	// faults restarts, freezes and cuts off limited nodes at random.
	faults bool
}

type limitResult struct {
	calls, served, refusedEarly int
	contacts                    int
	gates                       []*limitedGate
	settled, end                time.Time
}

func (p limitPlay) play(t *testing.T, seed uint64) *limitResult {
	t.Helper()

	var (
		f     = newFleet(p.nodes)
		r     = rand.New(rand.NewPCG(seed, seed))
		out   = &limitResult{settled: time.Now().Add(limitSettles), end: time.Now().Add(p.length)}
		gates = map[string]*limitedGate{}
		cut   = map[string]bool{} // entry and address
		mu    sync.Mutex
		wg    sync.WaitGroup
	)

	for i := range f.records {
		limit := -1.0
		if i < p.limited {
			limit = 0.5 + cmp.Or(p.highest, 20)*r.Float64()
		}

		g := p.newGate(f.records[i].ID, limit)
		gates[f.records[i].PeerAddress] = g
		out.gates = append(out.gates, g)
		f.records[i].Upstream.Slots = g.slots
	}

	f.reply = func(ctx context.Context, address string, in forward.Request) (forward.Reply, error) {
		mu.Lock()
		out.contacts++
		unreachable := cut[in.Origin+address]
		mu.Unlock()

		if unreachable {
			return forward.Reply{}, peer.ErrUnreachable
		}

		return gates[address].run(ctx, in)
	}

	entries := make([]*dispatch.Dispatcher, p.entries)
	h := holder(t, func(r *route.Route) { r.Target, r.Timeout = callTarget, routeTimeout })

	for i := range entries {
		entries[i] = dispatch.New(dispatch.Options{
			Node: "e" + strconv.Itoa(i), FailureDomain: "derby", Service: "e" + strconv.Itoa(i), Names: header.Default(), Tables: h, Members: f, Peers: f,
			Balancer: balancer.New(), Budget: retrybudget.New(retrybudget.Bound{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}),
			Recorder: timeline.New(), Intake: draining.New(),
		})
	}

	if p.faults {
		wg.Go(func() { p.trouble(r, out.gates, &mu, cut) })
	}

	gap := time.Second / time.Duration(p.callsPerSecond)

	for begin, i := time.Now(), 0; time.Since(begin) < p.length; i++ {
		time.Sleep(gap)
		wg.Go(func() {
			began := time.Now()
			status := workload{}.call(t, entries[i%p.entries], "id-"+strconv.Itoa(i), began).Status

			mu.Lock()
			defer mu.Unlock()

			out.calls++

			if status == http.StatusOK {
				out.served++
			} else if time.Since(began) < callTarget {
				out.refusedEarly++
			}
		})
	}

	wg.Wait()

	return out
}

// trouble restarts and freezes limited nodes, and cuts entries off from them.
func (p limitPlay) trouble(r *rand.Rand, gates []*limitedGate, mu *sync.Mutex, cut map[string]bool) {
	const longest = int64(3 * time.Second)

	for begin := time.Now(); time.Since(begin) < p.length; time.Sleep(time.Duration(r.Int64N(longest))) {
		n := r.IntN(p.limited)
		g := gates[n]

		switch r.IntN(3) {
		case 0:
			g.restart()
		case 1:
			g.mu.Lock()
			g.frozen = time.Now().Add(time.Duration(r.Int64N(longest)))
			g.mu.Unlock()
		case 2:
			link := "e" + strconv.Itoa(r.IntN(p.entries)) + "a" + strconv.Itoa(n)

			mu.Lock()
			cut[link] = !cut[link]
			mu.Unlock()
		}
	}
}

// check compares the calls that limited backend servers got with their limits.
func (r *limitResult) check(t *testing.T, seed uint64) {
	t.Helper()

	for i, g := range r.gates {
		if g.limit < 0 {
			continue
		}

		most, allowed := g.mostTold(r.settled), int(1.5*g.limit*limitWindow.Seconds())+5
		used := float64(g.startedSince(r.settled)) / r.end.Sub(r.settled).Seconds()

		if seed == 0 && i < 4 {
			t.Logf("limit %.1f a second: used %.1f, most in %s %d (limit %.1f, allowed %d)", g.limit, used, limitWindow, most, 4*g.limit, allowed)
		}

		assert.Check(t, most <= allowed, "seed %d node %d: %d of %d", seed, i, most, allowed)
	}
}

// use returns the sum of all limits, in calls a second, and the calls a second that started.
func (r *limitResult) use() (limits, used float64) {
	for _, g := range r.gates {
		limits += g.limit
		used += float64(g.startedSince(r.settled)) / r.end.Sub(r.settled).Seconds()
	}

	return limits, used
}

// Many entries that each keep to a limit, or learn of it late, exceed it together.
func TestNodesTogetherKeepLimitsOverRestartsFreezesAndCuts(t *testing.T) {
	for seed := range *limitSeeds {
		synctest.Test(t, func(t *testing.T) {
			p := limitPlay{nodes: 12, entries: 20, limited: 2 + int(seed%3), callsPerSecond: 600, length: 20 * time.Second, faults: true}
			p.play(t, seed).check(t, seed)
		})
	}
}

// A process that has just started fills all slots before the first answer names the limit.
func TestRestartedNodesKeepLowLimitsOfSlowBackendServers(t *testing.T) {
	for seed := range *limitSeeds {
		synctest.Test(t, func(t *testing.T) {
			p := limitPlay{
				nodes: 3, entries: 12, limited: 3, callsPerSecond: 100, length: 20 * time.Second, faults: true,
				highest: 1.5, work: 400 * time.Millisecond, slots: 24,
			}
			p.play(t, seed).check(t, seed)
		})
	}
}

// 300 nodes each send a few calls to a limited backend server before they know.
func TestThreeHundredNodesKeepLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := limitPlay{nodes: 300, entries: 300, limited: 3, callsPerSecond: 1500, length: largeLength, faults: true}.play(t, 0)
		r.check(t, 0)
		t.Logf("%d of %d calls served, %.3f nodes asked for a call", r.served, r.calls, float64(r.contacts)/float64(r.calls))
		assert.Assert(t, float64(r.served) > 0.99*float64(r.calls))
		assert.Assert(t, float64(r.contacts) < 1.1*float64(r.calls))
	})
}

// Each of 300 nodes has seen only a few answers of each of 300 backend servers that all name limits.
func TestThreeHundredNodesUseAndKeepLimitsOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := limitPlay{nodes: 300, entries: 300, limited: 300, callsPerSecond: 1800, length: largeLength, faults: true, highest: 10}.play(t, 0)
		r.check(t, 0)

		limits, used := r.use()
		t.Logf("used %.0f of %.0f a second, %d of %d calls served", used, limits, r.served, r.calls)
		assert.Assert(t, used > 0.8*limits)
	})
}

// Calls that other backend servers could take fail because some are limited.
func TestLimitedBackendServersCostNoCallWhileOthersHaveSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := limitPlay{nodes: 6, entries: 6, limited: 2, callsPerSecond: 180, length: 20 * time.Second}.play(t, 0)
		r.check(t, 0)
		t.Logf("%d of %d calls served, %.3f nodes asked for a call", r.served, r.calls, float64(r.contacts)/float64(r.calls))
		assert.Equal(t, r.served, r.calls)
	})
}

// With all backend servers limited, their limits stay unused while calls are refused.
func TestLimitsOfAllBackendServersAreUsedUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := limitPlay{nodes: 6, entries: 6, limited: 6, callsPerSecond: 300, length: 20 * time.Second}.play(t, 0)
		r.check(t, 0)

		limits, used := r.use()
		t.Logf("used %.1f of %.1f a second, %d of %d calls served, %d refused before their target", used, limits, r.served, r.calls, r.refusedEarly)
		assert.Assert(t, used > 0.9*limits)
		assert.Assert(t, r.refusedEarly > (r.calls-r.served)/2)
	})
}
