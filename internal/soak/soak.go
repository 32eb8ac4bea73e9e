// Package soak plays a long randomised run against real processes and checks
// from outside what must always hold: faults of every kind, alone and together,
// under a mixed load.
//
// The schedule is made from the seed alone. Backend servers report each call to
// a ledger before they run it, callers check each answer against its request,
// nodes are asked again and again what they hold, and count themselves what
// internal/invariant found broken.
//
//	report, err := soak.Run(ctx, soak.Options{Seed: 1, Rounds: 2, Binaries: "bin", Dir: dir, ...})
//	report.Print(os.Stdout)
package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/internal/standin/load"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Options of a soak.
type Options struct {
	Seed    uint64
	Rounds  int
	Lengths Lengths
	// Rate is calls a second.
	Rate int
	// Deployment is the folder of the deployment, Binaries the folder of the
	// programs, Dir where settings files and logs go.
	Deployment string
	Binaries   string
	Dir        string
	// LogLevel of the nodes; the usual one if empty.
	LogLevel string
	// Repair bounds how long the fleet may take to repair itself.
	Repair time.Duration
	// Log takes the schedule and what happens.
	Log io.Writer
}

// soak is one run.
type soak struct {
	options   Options
	recorder  *recorder
	fleet     *harness.Fleet
	ledger    *ledger
	operators *operators
	callers   *callers
	watch     *watch
	injector  *injector
	tree      settings.Tree
}

// Run plays the schedule of the seed and reports what was seen.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &soak{options: o, recorder: newRecorder(o.Seed, o.Log)}
	start := time.Now()

	if err := s.start(ctx); err != nil {
		return Report{}, err
	}
	defer s.fleet.Stop()
	defer s.ledger.close()

	rounds := Schedule(o.Seed, o.Rounds, o.Lengths, s.fleet.Deployment, s.fleet.Hosts)
	fmt.Fprint(o.Log, Print(rounds))
	s.play(ctx, rounds)

	if ctx.Err() != nil {
		return s.recorder.get(), ctx.Err()
	}

	s.settle(ctx)

	s.recorder.add(func(r *Report) {
		r.Rounds = o.Rounds
		r.Seconds = time.Since(start).Seconds()
	})

	return s.recorder.get(), nil
}

// drainNotice keeps a leaving backend server up long enough to see what still
// arrives after LeaveBound.
const drainNotice = LeaveBound + time.Second

func (s *soak) start(ctx context.Context) error {
	d, err := harness.LoadDeployment(filepath.Join(s.options.Deployment, "deployment.jsonc"))
	if err != nil {
		return err
	}

	if s.ledger, err = newLedger(s.recorder); err != nil {
		return err
	}

	s.fleet, err = harness.Start(ctx, d, harness.Options{
		Binaries: s.options.Binaries, Dir: s.options.Dir, FaultInjection: true, LogLevel: s.options.LogLevel,
		BackendArgs: []string{"--ledger", s.ledger.url, "--drain-notice", drainNotice.String()},
	})
	if err != nil {
		return err
	}

	if err := s.first(ctx); err != nil {
		s.fleet.Stop()

		return err
	}

	s.operators = newOperators(s.recorder, s.fleet)
	s.callers = newCallers(s.recorder, s.ledger, s.fleet, s.tree)
	s.watch = newWatch(s.recorder, s.fleet, s.operators)
	s.injector = newInjector(s.recorder, s.fleet)
	s.ledger.inTouch = s.injector.inTouch
	s.injector.ledger, s.injector.callers, s.injector.operators = s.ledger, s.callers, s.operators

	return nil
}

// first accepts the deployment's tree.
func (s *soak) first(ctx context.Context) error {
	file := filepath.Join(s.options.Deployment, "tree.jsonc")

	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}

	if s.tree, err = settings.Parse(file, data); err != nil {
		return err
	}

	v, err := s.fleet.Operator(0).Accept(ctx, operator.AcceptRequest{File: file, Tree: data, ID: ulid.Make().String()})
	if err != nil {
		return err
	}

	ctx, cancel := context.WithTimeout(ctx, s.options.Repair)
	defer cancel()

	if _, err := s.fleet.WaitVersion(ctx, v.Number); err != nil {
		return err
	}

	return s.fleet.WaitServing(ctx)
}

func (s *soak) play(ctx context.Context, rounds []Round) {
	ctx, stop := context.WithCancel(ctx)

	var wg sync.WaitGroup

	wg.Go(func() { s.callers.run(ctx, s.options.Rate) })
	wg.Go(func() { s.watch.run(ctx) })

	for _, h := range s.fleet.Hosts {
		wg.Go(func() { s.callers.keep(ctx, h) })
	}

	wg.Go(func() { s.injector.restartCrashed(ctx) })

	for i, r := range rounds {
		if ctx.Err() != nil {
			break
		}

		s.random(ctx, r.Random)
		s.heal(ctx, i+1)
		s.planned(ctx, r.Planned)
	}

	stop()
	wg.Wait()
}

// random plays the steps until the phase ends and takes all faults back.
func (s *soak) random(ctx context.Context, steps []Step) {
	phase, cancel := context.WithTimeout(ctx, s.options.Lengths.Random)
	defer cancel()

	start := time.Now()

	var wg sync.WaitGroup

	for _, step := range steps {
		wg.Go(func() {
			idle.For(phase, step.At-time.Since(start))

			if phase.Err() == nil {
				s.injector.run(phase, step)
			}
		})
	}

	wg.Wait()
}

// heal waits until the fleet has repaired itself, with nobody's help.
func (s *soak) heal(ctx context.Context, round int) {
	start := time.Now()

	s.injector.heal()

	ctx, cancel := context.WithTimeout(ctx, s.options.Repair)
	defer cancel()

	last := ""
	err := harness.Wait(ctx, "repair", func() bool {
		why, done := s.watch.repaired(ctx)
		if !done {
			last = why
		}

		return done
	})

	s.recorder.check(PromiseRepairs, err == nil, "round %d: %s", round, last)
	s.recorder.add(func(r *Report) { r.RepairMs = append(r.RepairMs, time.Since(start).Milliseconds()) })
}

func (s *soak) planned(ctx context.Context, steps []Step) {
	s.callers.planned.Store(true)
	defer s.callers.planned.Store(false)

	start := time.Now()

	var wg sync.WaitGroup

	for _, step := range steps {
		wg.Go(func() {
			idle.For(ctx, step.At-time.Since(start))
			s.injector.run(ctx, step)
		})
	}

	wg.Wait()
}

// settle checks what can be known only at the end.
func (s *soak) settle(ctx context.Context) {
	s.heal(ctx, s.options.Rounds+1)
	s.callers.settle()
	s.serves(ctx)

	now, err := s.fleet.Operator(0).Tree(ctx)
	if err != nil {
		s.recorder.check(PromiseNoLostUpdate, false, "%v", err)

		return
	}

	s.operators.settle(now.Tree, now.Version.Number)

	history, err := s.fleet.Operator(0).History(ctx)
	if err != nil {
		s.recorder.check(PromiseAcceptedOnce, false, "%v", err)

		return
	}

	s.operators.truthful(history)
}

// serves checks that each route is answered through each node.
func (s *soak) serves(ctx context.Context) {
	const calls = 20

	var wg sync.WaitGroup

	for _, h := range s.fleet.Hosts {
		wg.Go(func() {
			report := load.Run(ctx, load.Plan{
				Nodes: []string{h.Caller}, Requests: load.OfTree(s.tree), Rate: calls, Duration: time.Second,
			})
			s.recorder.check(PromiseServesAfterHeal, report.Total.Answered == report.Total.Sent,
				"%s: %d of %d answered, %v", h.ID, report.Total.Answered, report.Total.Sent, report.Total.Reasons)
		})
	}

	wg.Wait()
}

func number(n uint64) string { return strconv.FormatUint(n, 10) }
