package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/standin/load"
)

// rolling stops and starts the node of every host in turn, under load through the
// others, and counts what callers lose.
type rolling struct {
	demo
	rate int
}

func addRolling(app *kingpin.Application) {
	c := app.Command("rolling", "Restart every node in turn under load.")
	r := &rolling{}

	c.Flag("deployment", "Folder of the deployment.").Default("examples/midlands").StringVar(&r.dir)
	c.Flag("binaries", "Folder of the programs.").Default("bin").StringVar(&r.binaries)
	c.Flag("rate", "Calls a second.").Default("200").IntVar(&r.rate)
	c.Action(func(*kingpin.ParseContext) error { return r.run() })
}

func (r *rolling) run() error {
	const limit = 85 * time.Second

	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()

	if err := r.start(ctx); err != nil {
		return err
	}
	defer r.fleet.Stop()

	if err := r.first(ctx); err != nil {
		return err
	}

	lost := 0

	for i := range r.fleet.Hosts {
		n, err := r.restart(ctx, i)
		if err != nil {
			return err
		}

		lost += n
	}

	if lost > 0 {
		return errPromise.With("%d idempotent calls were lost", lost)
	}

	fmt.Println("no idempotent call was lost")

	return nil
}

// restart restarts one node and returns how many idempotent calls were lost.
func (r *rolling) restart(ctx context.Context, i int) (int, error) {
	const (
		during = 4 * time.Second
		stop   = 20 * time.Second
	)

	h := r.fleet.Hosts[i]
	callers := slices.Delete(r.fleet.Callers(), i, i+1)

	var (
		wg     sync.WaitGroup
		report load.Report
	)

	wg.Go(func() {
		report = load.Run(ctx, load.Plan{Nodes: callers, Requests: load.OfTree(r.tree), Rate: r.rate, Duration: during})
	})

	graceful := r.fleet.Process(harness.NodeName(h.ID)).Terminate(stop)

	if err := r.fleet.StartNode(i); err != nil {
		return 0, err
	}

	err := harness.WaitOK(ctx, "http://"+h.Control+"/readyz")

	wg.Wait()
	fmt.Printf("\n%s restarted, graceful: %v\n", h.ID, graceful)
	report.Print(os.Stdout)

	return r.lost(report), err
}

// lost counts calls without an answer on routes that are idempotent.
func (r *rolling) lost(report load.Report) int {
	lost := 0

	for _, route := range r.tree.Resolve() {
		for _, row := range report.Rows {
			if row.Name == route.Path && (route.Values.Idempotent || route.Match.Method == http.MethodGet) {
				lost += row.Sent - row.Answered
			}
		}
	}

	return lost
}
