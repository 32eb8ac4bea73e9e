package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/internal/standin/load"
	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

var errPromise = errs.New("demo.promise", http.StatusInternalServerError, "a promise was broken")

// demo shows the main job on one deployment of the brief.
type demo struct {
	dir      string
	binaries string
	keep     bool

	fleet *harness.Fleet
	tree  settings.Tree
}

func addDemo(app *kingpin.Application) {
	c := app.Command("demo", "Show the main job on a deployment.")
	d := &demo{}

	c.Flag("deployment", "Folder of the deployment.").Default("examples/midlands").StringVar(&d.dir)
	c.Flag("binaries", "Folder of the programs.").Default("bin").StringVar(&d.binaries)
	c.Flag("keep", "Leave the processes running until interrupted.").Envar("KEEP").BoolVar(&d.keep)
	c.Action(func(*kingpin.ParseContext) error { return d.run() })
}

func (d *demo) run() error {
	const limit = 50 * time.Second

	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()

	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.fleet.Stop()

	if err := d.steps(ctx); err != nil {
		return err
	}

	fmt.Println("\nevery promise held")

	if d.keep {
		d.wait()
	}

	return nil
}

// steps stops at the first one that fails.
func (d *demo) steps(ctx context.Context) error {
	for _, step := range []func(context.Context) error{d.first, d.calls, d.second, d.leave} {
		if err := step(ctx); err != nil {
			return err
		}
	}

	d.added(ctx)

	return nil
}

func (d *demo) start(ctx context.Context) error {
	deployment, err := harness.LoadDeployment(filepath.Join(d.dir, "deployment.jsonc"))
	if err != nil {
		return err
	}

	dir, err := os.MkdirTemp("", "pollencart-demo-")
	if err != nil {
		return err
	}

	fmt.Printf("starting a platform and %s on loopback; logs in %s\n", d.dir, dir)

	d.fleet, err = harness.Start(ctx, deployment, harness.Options{Binaries: d.binaries, Dir: dir})

	return err
}

// first accepts the deployment's tree.
func (d *demo) first(ctx context.Context) error {
	file := filepath.Join(d.dir, "tree.jsonc")

	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}

	if d.tree, err = settings.Parse(file, data); err != nil {
		return err
	}

	if err := d.accept(ctx, file, data, 0, "first version"); err != nil {
		return err
	}

	return d.fleet.WaitServing(ctx)
}

func (d *demo) accept(ctx context.Context, file string, data []byte, base uint64, message string) error {
	v, err := d.fleet.Operator(0).Accept(ctx, operator.AcceptRequest{
		File: file, Tree: data, Base: base, ID: ulid.Make().String(), Operator: "demo", Message: message,
	})
	if err != nil {
		return err
	}

	s, err := d.fleet.WaitVersion(ctx, v.Number)
	if err != nil {
		return err
	}

	fmt.Printf("\nversion %d accepted; in force on %d of %d nodes\n", v.Number, s.ActiveNodes, len(s.Nodes))

	for _, n := range s.Nodes {
		fmt.Printf("  %-24s %-12s after %6.1f ms\n", n.ID, n.FailureDomain,
			float64(n.ActiveSince.Sub(v.AcceptedAt).Microseconds())/1000)
	}

	return nil
}

// calls sends calls of every route through every node.
func (d *demo) calls(ctx context.Context) error {
	const rate = 300

	report := load.Run(ctx, load.Plan{
		Nodes: d.fleet.Callers(), Requests: load.OfTree(d.tree), Rate: rate, Duration: 4 * time.Second,
	})

	fmt.Println("\ncalls of every route through every node")
	report.Print(os.Stdout)

	return allAnswered("steady load", report)
}

func allAnswered(what string, r load.Report) error {
	if r.Total.Answered != r.Total.Sent {
		return errPromise.With("%s: %d of %d calls answered", what, r.Total.Answered, r.Total.Sent)
	}

	return nil
}

// second accepts a change of one value.
func (d *demo) second(ctx context.Context) error {
	now, err := d.fleet.Operator(0).Tree(ctx)
	if err != nil {
		return err
	}

	next := now.Tree
	deadline := settings.Duration(2500 * time.Millisecond) //nolint:mnd // any other value
	next.Overrides.Deadline = &deadline

	data, err := next.Text()
	if err != nil {
		return err
	}

	return d.accept(ctx, "second.jsonc", data, now.Version.Number, "a longer deadline")
}

// leave stops one backend server under load.
func (d *demo) leave(ctx context.Context) error {
	const rate = 300

	host := d.fleet.Hosts[len(d.fleet.Hosts)-1]
	clean := make(chan bool, 1)

	time.AfterFunc(time.Second, func() {
		const within = 10 * time.Second

		clean <- d.fleet.Process(harness.BackendName(host.ID)).Terminate(within)
	})

	report := load.Run(ctx, load.Plan{
		Nodes: d.fleet.Callers(), Requests: load.OfTree(d.tree), Rate: rate, Duration: 4 * time.Second,
	})

	fmt.Printf("\nbackend server on %s stopped gracefully under load\n", host.ID)
	report.Print(os.Stdout)

	if !<-clean {
		return errPromise.With("the backend server did not stop gracefully")
	}

	return allAnswered("graceful stop", report)
}

func (d *demo) wait() {
	fmt.Println("\nleft running; try these, and interrupt to end:")
	fmt.Printf("  %s/pollencart status --node %s\n", d.binaries, d.fleet.Hosts[0].Control)

	for _, r := range load.OfTree(d.tree) {
		fmt.Printf("  curl -i -X %s http://%s%s1\n", r.Method, d.fleet.Hosts[0].Caller, r.Path)
	}

	ctx, stop := interrupted()
	defer stop()

	<-ctx.Done()
}
