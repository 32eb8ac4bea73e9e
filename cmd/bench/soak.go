package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/soak"
	"github.com/pollencart/pollencart/pkg/errs"
)

var errBroken = errs.New("soak.broken", http.StatusInternalServerError, "a promise was broken")

func addSoak(app *kingpin.Application) {
	c := app.Command("soak", "Play faults of every kind at random under load, and check what must always hold.")
	o := soak.Options{Log: os.Stderr}

	var (
		minutes float64
		kinds   []string
	)

	c.Flag("seed", "Seed of the schedule.").Default("1").Uint64Var(&o.Seed)
	c.Flag("minutes", "How long, about.").Default("10").Float64Var(&minutes)
	c.Flag("rate", "Calls a second.").Default("120").IntVar(&o.Rate)
	c.Flag("deployment", "Folder of the deployment.").Default("examples/midlands").StringVar(&o.Deployment)
	c.Flag("binaries", "Folder of the programs.").Default("bin").StringVar(&o.Binaries)
	c.Flag("random", "Length of a random phase.").Default("20s").DurationVar(&o.Lengths.Random)
	c.Flag("planned", "Length of a phase of planned stops.").Default("12s").DurationVar(&o.Lengths.Planned)
	c.Flag("gap", "Mean time between two faults.").Default("700ms").DurationVar(&o.Lengths.Gap)
	c.Flag("stops", "Nodes and backend servers that are stopped in a planned phase.").Default("4").IntVar(&o.Lengths.Stops)
	c.Flag("kind", "A kind of fault to draw, as often as it is named; all kinds if none is.").EnumsVar(&kinds, soak.Kinds()...)
	c.Flag("log-level", "Log level of the nodes.").Default("Info").StringVar(&o.LogLevel)
	c.Flag("repair", "Longest time until the fleet has repaired itself.").Default("20s").DurationVar(&o.Repair)

	c.Action(func(*kingpin.ParseContext) error {
		for _, k := range kinds {
			o.Lengths.Kinds = append(o.Lengths.Kinds, soak.Kind(k))
		}

		round := o.Lengths.Random + o.Lengths.Planned
		o.Rounds = max(1, int(time.Duration(minutes*float64(time.Minute))/round))

		var err error
		if o.Dir, err = os.MkdirTemp("", "pollencart-soak-"); err != nil {
			return err
		}

		fmt.Fprintln(os.Stderr, "logs in", o.Dir)

		ctx, stop := interrupted()
		defer stop()

		return runSoak(ctx, o)
	})
}

func runSoak(ctx context.Context, o soak.Options) error {
	report, err := soak.Run(ctx, o)
	if err != nil {
		return err
	}

	report.Print(os.Stdout)

	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return err
	}

	if report.Broken > 0 {
		return errBroken.With("%d times", report.Broken)
	}

	return nil
}
