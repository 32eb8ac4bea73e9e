package verdict_test

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pollencart/pollencart/internal/rollout"
	"github.com/pollencart/pollencart/internal/rollout/evidence"
	"github.com/pollencart/pollencart/internal/rollout/exposure"
	"github.com/pollencart/pollencart/internal/rollout/verdict"
)

// decider is what the simulated roll-out asks.
type decider interface {
	Add(r evidence.Report)
	Decide(p verdict.Progress) verdict.Decision
}

// scenario is a kind of version and the trouble beside it.
type scenario struct {
	name string
	bad  bool
	// spoil returns whether a call of the target version fails, and by what factor it is slowed.
	spoil func(w *world, c callInfo) (fails bool, slowdown float64)
	// trouble returns the same for calls of both versions.
	trouble func(w *world, c callInfo) (fails bool, slowdown float64)
	// rate returns the factor of the usual traffic.
	rate func(elapsed time.Duration) float64
}

type callInfo struct {
	server  *simServer
	route   string
	elapsed time.Duration
	busy    bool
}

const (
	shareLimit  = 0.1
	shareSlack  = 50.0
	timeLimit   = 16 * time.Second
	stepLength  = 50 * time.Millisecond
	slots       = 9
	utilization = 0.7
)

type simServer struct {
	index   int
	target  bool
	speed   float64
	ends    []time.Time // of the calls that run
	counter *evidence.Counter
	flawed  bool // part of the hosts that a trouble strikes
}

// world simulates a service with as many backend servers of either version, and the entry nodes
// that send calls to it.
type world struct {
	scenario scenario
	random   *rand.Rand
	baseline []*simServer
	target   []*simServer
	budgets  []*exposure.Budget
	began    time.Time

	calls, exposed, badCalls int
}

// result is how a simulated roll-out went.
type result struct {
	state                    rollout.State
	reason                   string
	after                    time.Duration
	calls, exposed, badCalls int
	overLimit                bool
}

var simRoutes = []struct {
	name        string
	part        float64
	mean        time.Duration
	spread      float64
	callsPerSec float64
}{
	{name: "open", part: 0.7, mean: 190 * time.Millisecond, spread: 0.3},
	{name: "commit", part: 0.3, mean: 240 * time.Millisecond, spread: 0.8},
}

func newWorld(s scenario, nodes int, seed uint64) *world {
	w := &world{scenario: s, random: rand.New(rand.NewPCG(seed, uint64(nodes))), began: time.Now()}
	speeds := []float64{0.7, 0.7, 1.6}

	for i := range max(nodes/4, 3) {
		for _, target := range []bool{false, true} {
			server := &simServer{
				index: i, target: target, speed: speeds[w.random.IntN(len(speeds))], counter: evidence.New(), flawed: w.random.Float64() < 0.16,
			}
			if target {
				w.target = append(w.target, server)
			} else {
				w.baseline = append(w.baseline, server)
			}
		}
	}

	for range nodes {
		w.budgets = append(w.budgets, exposure.New(shareLimit))
	}

	return w
}

// play runs the roll-out until its verdict.
func (w *world) play(d decider) result {
	var reported int

	for {
		time.Sleep(stepLength)

		elapsed := time.Since(w.began)
		w.send(elapsed)

		if reported++; reported%5 == 0 {
			w.report(d, w.target, "v2")
		}

		if reported%10 == 0 {
			w.report(d, w.baseline, "v1")
		}

		decision := d.Decide(verdict.Progress{Elapsed: elapsed, Canaries: len(w.target), Capacity: true})
		if decision.State != rollout.Running || elapsed > 2*timeLimit {
			return w.result(decision, elapsed)
		}
	}
}

// result counts the calls until the time limit, in which the share is bounded.
func (w *world) result(d verdict.Decision, elapsed time.Duration) result {
	perSecond := float64(w.calls) / elapsed.Seconds()
	limit := shareLimit*max(perSecond*timeLimit.Seconds(), float64(w.calls)) + shareSlack
	exposed := w.exposed

	if d.State == rollout.Moving && w.scenario.bad {
		exposed += int(perSecond * (timeLimit - elapsed).Seconds())
	}

	return result{
		state: d.State, reason: d.Reason, after: elapsed, calls: w.calls, exposed: exposed, badCalls: w.badCalls,
		overLimit: w.scenario.bad && float64(exposed) > limit,
	}
}

func (w *world) report(d decider, servers []*simServer, version string) {
	for _, s := range servers {
		if strata := s.counter.Strata(); len(strata) > 0 {
			d.Add(evidence.Report{
				Node: version + "-" + string(rune('a'+s.index)), Boot: "1", Service: "browse", Version: version, Strata: strata,
			})
		}
	}
}

// send sends the calls of one step.
func (w *world) send(elapsed time.Duration) {
	const meanWork = 0.205 // seconds, over the routes and speeds

	perSecond := utilization * float64(len(w.baseline)*slots) / meanWork
	if w.scenario.rate != nil {
		perSecond *= w.scenario.rate(elapsed)
	}

	for range w.poisson(perSecond * stepLength.Seconds()) {
		route := 0
		if w.random.Float64() > simRoutes[0].part {
			route = 1
		}

		w.calls++

		budget := w.budgets[w.random.IntN(len(w.budgets))]
		server := w.baseline[w.random.IntN(len(w.baseline))]

		turn, open := exposure.Turn(elapsed, timeLimit)

		if budget.Take(1, simRoutes[route].name, open) {
			if canary := w.canary(turn); canary != nil {
				server = canary
			} else {
				budget.Return(1, simRoutes[route].name)
			}
		}

		w.run(server, route, elapsed)
	}
}

// canary returns the first backend server of the turn that has a free slot.
func (w *world) canary(turn int) *simServer {
	const tried = 3

	for i := range tried {
		if s := w.target[(turn+i)%len(w.target)]; s.running() < slots {
			return s
		}
	}

	return nil
}

func (s *simServer) running() int {
	now := time.Now()
	kept := s.ends[:0]

	for _, end := range s.ends {
		if end.After(now) {
			kept = append(kept, end)
		}
	}

	s.ends = kept

	return len(kept)
}

func (w *world) run(s *simServer, route int, elapsed time.Duration) {
	const callLimit = 1200 * time.Millisecond

	r := simRoutes[route]
	busy := 3*(s.running()+1) >= 2*slots
	info := callInfo{s, r.name, elapsed, busy}
	took := float64(r.mean) / s.speed * math.Exp(r.spread*w.random.NormFloat64()-r.spread*r.spread/2)
	failed := false

	for _, effect := range []func(*world, callInfo) (bool, float64){w.scenario.trouble, w.versionEffect(s)} {
		if effect != nil {
			fails, slowdown := effect(w, info)
			failed = failed || fails
			took *= slowdown
		}
	}

	if s.target {
		w.exposed++
	}

	duration := min(time.Duration(took), callLimit)
	s.ends = append(s.ends, time.Now().Add(duration))
	failed = failed || w.random.Float64() < 0.001 || duration == callLimit

	if s.target && w.scenario.bad && failed {
		w.badCalls++
	}

	// The outcome is counted at the end of the call; the delay is left out.
	s.counter.Add(evidence.Outcome{Route: r.name, Busy: busy, Failed: failed, Took: duration})
}

func (w *world) versionEffect(s *simServer) func(*world, callInfo) (bool, float64) {
	if !s.target {
		return nil
	}

	return w.scenario.spoil
}

func (w *world) poisson(mean float64) int {
	n, limit, product := 0, math.Exp(-mean), w.random.Float64()
	if mean > 30 { // a normal distribution is close enough
		return max(int(math.Round(mean+math.Sqrt(mean)*w.random.NormFloat64())), 0)
	}

	for product > limit {
		n++
		product *= w.random.Float64()
	}

	return n
}
