package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/standin/backend"
	"github.com/pollencart/pollencart/internal/standin/load"
)

// The size of the experiments: four backend servers of ten slots and 40 ms a
// call take 1,000 calls a second, which leaves most of the machine idle, so that
// slots are what is short and not processors.
const (
	work     = 40 * time.Millisecond
	capacity = 1000
	half     = capacity / 2
	length   = 5 * time.Second
	sweepMs  = 200
	rounds   = 3
)

// Targets.
const (
	mostAddedMs    = 0.68
	leastAnswered  = 0.99
	mostPointsLost = 5
	leastGoodput   = 0.90
	leastInTime    = 0.95
	mostAwayMs     = 5
	mostSweepRatio = 1.5
	leastSweep     = 0.05
	mostSlowRatio  = 2
	mostAttempts   = 1.1
	mostOutageMs   = 50
)

type pattern struct {
	name string
	play func(context.Context) error
}

func (e *experiments) patterns() []pattern {
	return []pattern{
		{"half load, straight and through the mesh", e.added},
		{"burst: five times the slots in one moment", e.burst},
		{"hot key: four fifths of the calls for one folder", e.hotKey},
		{"hot caller: one caller with 80% of twice the capacity", e.hotCaller},
		{"saturation: twice the capacity", e.saturation},
		{"archive sweep at full blast beside half load", e.sweep},
		{"slow: one of four backend servers 10x slower", e.slow},
		{"outage: every backend server of the service is killed", e.outage},
	}
}

func folder(caller string) load.Request {
	return load.Request{Name: "open-folder " + caller, Method: http.MethodGet, Path: "/folders/", Caller: caller}
}

func (e *experiments) added(ctx context.Context) error {
	plan := load.Plan{Requests: []load.Request{folder("desk")}, Rate: half, Duration: length / 2}

	for _, h := range e.fleet.Hosts {
		plan.Nodes = append(plan.Nodes, h.Backend)
	}

	// Connections are opened and shares found before anything is measured.
	e.play(ctx, half, length, folder("warming"))

	var added50, added99 []float64

	// Straight and mesh take turns, and the middle one of the differences counts:
	// what else runs on the machine comes and goes.
	for range rounds {
		straight := load.Run(ctx, plan)
		straight.Print(os.Stdout)

		mesh := e.play(ctx, half, plan.Duration, folder("desk"))
		added50 = append(added50, mesh.Total.P50Ms-straight.Total.P50Ms)
		added99 = append(added99, mesh.Total.P99Ms-straight.Total.P99Ms)
	}

	const hops = 2 // caller to entry, entry to gate, in place of none

	fmt.Printf("added p50 %.2f ms, p99 %.2f ms\n", added50, added99)
	e.atMost("half load: p50 added per hop, ms", middle(added50)/hops, mostAddedMs)
	e.atMost("half load: p99 added per hop, ms", middle(added99)/hops, mostAddedMs)

	return nil
}

func (e *experiments) burst(ctx context.Context) error {
	const (
		calls  = 200
		moment = 10 * time.Millisecond
	)

	r := e.play(ctx, calls*int(time.Second/moment), moment, folder("desk"))
	e.atLeast("burst of 5x the slots: answered", share(r.Total.Answered, r.Total.Sent), leastAnswered)

	return nil
}

func (e *experiments) hotKey(ctx context.Context) error {
	hot, others := folder("hot"), folder("others")
	hot.Path, hot.Weight = "/folders/shared/", 4

	r := e.play(ctx, half, length, hot, others)
	e.atLeast("hot key: answered", share(r.Total.Answered, r.Total.Sent), leastAnswered)

	return nil
}

// hotCaller compares five modest callers alone and beside a hot one.
func (e *experiments) hotCaller(ctx context.Context) error {
	const (
		modest = 5
		parts  = 5 // four of five calls are the hot caller's
		rate   = 2 * capacity
	)

	var others []load.Request
	for i := range modest {
		others = append(others, folder("modest-"+strconv.Itoa(i)))
	}

	alone := e.play(ctx, rate/parts, length, others...)

	hot := folder("hot")
	hot.Weight = (parts - 1) * modest

	r := e.play(ctx, rate, length, append(others, hot)...)

	var sent, answered int
	for _, row := range r.Rows[:modest] {
		sent += row.Sent
		answered += row.Answered
	}

	lost := share(alone.Total.Answered, alone.Total.Sent) - share(answered, sent)
	e.atMost("hot caller: points of success that the others lose", lost*100, mostPointsLost)

	return nil
}

func (e *experiments) saturation(ctx context.Context) error {
	r := e.play(ctx, 2*capacity, length, folder("a"), folder("b"), folder("c"), folder("d"))
	late := r.Total.Reasons["entry.deadline"] + r.Total.Reasons["admission.deadline"]
	goodput := float64(r.Total.Answered) / (capacity * length.Seconds())

	e.atLeast("2x saturation: goodput, share of the capacity", goodput, leastGoodput)
	e.atLeast("2x saturation: let in and answered within the deadline",
		share(r.Total.Answered, r.Total.Answered+late+r.Total.Failed), leastInTime)
	e.atMost("2x saturation: p99 until turned away, ms", r.Total.AwayP99Ms, mostAwayMs)

	return nil
}

func (e *experiments) sweep(ctx context.Context) error {
	archive := load.Request{
		Name: "archive-sweep", Method: http.MethodPost, Path: "/archive/", Body: "minutes", Caller: "sweep",
		Header: map[string]string{backend.HeaderWorkMs: strconv.Itoa(sweepMs)},
	}
	alone := e.play(ctx, half, length, folder("desk"))

	var (
		wg     sync.WaitGroup
		swept  load.Report
		beside load.Report
	)

	const sweepRate = 200 // what all slots together take

	// The sweep starts while people work.
	e.play(ctx, half, time.Second, folder("settling"))

	wg.Go(func() { swept = e.play(ctx, sweepRate, length, archive) })
	wg.Go(func() { beside = e.play(ctx, half, length, folder("desk")) })
	wg.Wait()

	held := float64(swept.Total.Answered*sweepMs) / float64(e.slots()*int(length.Milliseconds()))
	e.atMost("archive sweep: interactive p99 beside it to without", beside.Total.P99Ms/alone.Total.P99Ms, mostSweepRatio)
	e.atLeast("archive sweep: share of the slots it keeps", held, leastSweep)

	return nil
}

func (e *experiments) slots() int {
	n := 0
	for _, h := range e.fleet.Hosts {
		n += h.Service.Slots
	}

	return n
}

// slow compares three good backend servers and a slow one with three alone.
func (e *experiments) slow(ctx context.Context) error {
	const (
		threeQuarters = half * 3 / 4
		settle        = 2 * time.Second
	)

	last := len(e.fleet.Hosts) - 1

	if err := e.fault(ctx, last, backend.Faults{WorkMs: 10 * int(work.Milliseconds())}); err != nil {
		return err
	}

	e.play(ctx, threeQuarters, settle, folder("settling"))
	four := e.play(ctx, threeQuarters, length, folder("desk"))

	if err := e.fault(ctx, last, backend.Faults{}); err != nil {
		return err
	}

	e.fleet.Process(harness.BackendName(e.fleet.Hosts[last].ID)).Terminate(length)
	e.play(ctx, threeQuarters, settle, folder("settling"))
	three := e.play(ctx, threeQuarters, length, folder("desk"))

	e.atMost("slow one of four: p99 to three good ones alone", four.Total.P99Ms/three.Total.P99Ms, mostSlowRatio)

	return e.fleet.StartBackend(last)
}

// outage kills the backend servers, not the nodes beside them.
func (e *experiments) outage(ctx context.Context) error {
	if err := e.fleet.WaitServing(ctx); err != nil {
		return err
	}

	e.play(ctx, half, time.Second, folder("before"))

	for _, h := range e.fleet.Hosts {
		e.fleet.Process(harness.BackendName(h.ID)).Kill()
	}

	r := e.play(ctx, half, length, folder("desk"))
	e.atMost("outage: attempts per call", share(r.Total.Attempts, r.Total.Sent), mostAttempts)
	e.atMost("outage: p99 until turned away, ms", r.Total.AwayP99Ms, mostOutageMs)

	for i := range e.fleet.Hosts {
		if err := e.fleet.StartBackend(i); err != nil {
			return err
		}
	}

	if err := e.fleet.WaitServing(ctx); err != nil {
		return err
	}

	back := e.play(ctx, half, length, folder("after"))
	e.atLeast("outage over: answered", share(back.Total.Answered, back.Total.Sent), leastAnswered)

	return nil
}

func middle(values []float64) float64 { return slices.Sorted(slices.Values(values))[len(values)/2] }

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }
