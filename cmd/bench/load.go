package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/internal/standin/backend"
	"github.com/pollencart/pollencart/internal/standin/load"
	"github.com/pollencart/pollencart/pkg/errs"
)

var errTarget = errs.New("load.target", http.StatusInternalServerError, "a target was missed")

// experiments plays patterns of load against real processes.
type experiments struct {
	dir      string
	binaries string
	only     string
	strict   bool

	fleet  *harness.Fleet
	report loadReport
}

// loadReport is the last line that the command prints.
type loadReport struct {
	Targets []target `json:"Targets"`
	Missed  int      `json:"Missed"`
}

// target is one figure and its bound.
type target struct {
	Name   string  `json:"Name"`
	Value  float64 `json:"Value"`
	Bound  float64 `json:"Bound"`
	AtMost bool    `json:"AtMost"`
	Met    bool    `json:"Met"`
}

func addLoad(app *kingpin.Application) {
	c := app.Command("load", "Play patterns of load against real processes and check what callers get.")
	e := &experiments{}

	c.Flag("deployment", "Folder of the deployment.").Default("examples/load").StringVar(&e.dir)
	c.Flag("binaries", "Folder of the programs.").Default("bin").StringVar(&e.binaries)
	c.Flag("only", "Play only the patterns whose name contains this.").StringVar(&e.only)
	c.Flag("strict", "End with non-zero if a target was missed.").BoolVar(&e.strict)
	c.Action(func(*kingpin.ParseContext) error { return e.run() })
}

func (e *experiments) run() error {
	const limit = 2 * time.Minute

	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()

	if err := e.start(ctx); err != nil {
		return err
	}
	defer e.fleet.Stop()

	for _, p := range e.patterns() {
		if !strings.Contains(p.name, e.only) {
			continue
		}

		fmt.Printf("\n%s\n", p.name)

		if err := p.play(ctx); err != nil {
			return err
		}

		time.Sleep(pause)
	}

	return e.print()
}

// pause lets averages of the pattern before fade.
const pause = 1500 * time.Millisecond

func (e *experiments) start(ctx context.Context) error {
	d, err := harness.LoadDeployment(filepath.Join(e.dir, "deployment.jsonc"))
	if err != nil {
		return err
	}

	dir, err := os.MkdirTemp("", "pollencart-load-")
	if err != nil {
		return err
	}

	fmt.Printf("starting a platform and %s on loopback; logs in %s\n", e.dir, dir)

	e.fleet, err = harness.Start(ctx, d, harness.Options{Binaries: e.binaries, Dir: dir, Work: work})
	if err != nil {
		return err
	}

	return e.accept(ctx)
}

func (e *experiments) accept(ctx context.Context) error {
	file := filepath.Join(e.dir, "tree.jsonc")

	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}

	v, err := e.fleet.Operator(0).Accept(ctx, operator.AcceptRequest{
		File: file, Tree: data, ID: ulid.Make().String(), Operator: "load",
	})
	if err != nil {
		return err
	}

	if _, err := e.fleet.WaitVersion(ctx, v.Number); err != nil {
		return err
	}

	return e.fleet.WaitServing(ctx)
}

// atMost and atLeast note a figure against its target.
func (e *experiments) atMost(name string, value, bound float64) {
	e.note(target{Name: name, Value: value, Bound: bound, AtMost: true, Met: value <= bound})
}

func (e *experiments) atLeast(name string, value, bound float64) {
	e.note(target{Name: name, Value: value, Bound: bound, Met: value >= bound})
}

func (e *experiments) note(t target) {
	e.report.Targets = append(e.report.Targets, t)

	if !t.Met {
		e.report.Missed++
	}
}

func (e *experiments) print() error {
	fmt.Println()

	for _, t := range e.report.Targets {
		sign, verdict := ">=", "met"
		if t.AtMost {
			sign = "<="
		}

		if !t.Met {
			verdict = "MISSED"
		}

		fmt.Printf("%-64s %9.3f  %s %.3f  %s\n", t.Name, t.Value, sign, t.Bound, verdict)
	}

	if err := json.NewEncoder(os.Stdout).Encode(e.report); err != nil {
		return err
	}

	if e.strict && e.report.Missed > 0 {
		return errTarget.With("%d of %d", e.report.Missed, len(e.report.Targets))
	}

	return nil
}

// fault changes what goes wrong in the backend server of a host.
func (e *experiments) fault(ctx context.Context, host int, f backend.Faults) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}

	url := "http://" + e.fleet.Hosts[host].Backend + "/standin/faults"

	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(data)))
	if err != nil {
		return err
	}

	req.Header.Set("Content-Type", "application/json")

	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}

	return resp.Body.Close()
}

// play sends one mix through all nodes.
func (e *experiments) play(ctx context.Context, rate int, d time.Duration, requests ...load.Request) load.Report {
	r := load.Run(ctx, load.Plan{Nodes: e.fleet.Callers(), Requests: requests, Rate: rate, Duration: d})
	r.Print(os.Stdout)

	return r
}
