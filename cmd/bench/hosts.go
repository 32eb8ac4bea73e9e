package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/soak/hosts"
)

func addHosts(app *kingpin.Application) {
	c := app.Command("hosts", "Soak of sidecars: faults at random on real processes, checked from outside.")
	first := c.Flag("seed", "First seed.").Default("1").Uint64()
	count := c.Flag("seeds", "How many seeds, one after the other.").Default("1").Uint64()
	length := c.Flag("length", "How long faults come, for each seed.").Default("20s").Duration()
	size := c.Flag("hosts", "How many processes.").Default("9").Int()
	rate := c.Flag("rate", "Calls a second.").Default("100").Int()
	work := c.Flag("work", "How long a call runs at a backend server.").Default("20ms").Duration()
	program := c.Flag("program", "The binary.").Default("bin/pollencart").String()
	rollout := c.Flag("rollout", "Order a roll-out of a version, which is bad for even seeds.").Bool()
	poison := c.Flag("poison", "Send requests that crash each backend server that runs them; all hosts have one service.").Bool()
	signals := c.Flag("signals", "Have backend servers name limits, and leave without an announcement.").Bool()
	versions := c.Flag("versions", "Have large versions come often beside slowed hosts, and check which one is active.").Bool()
	strain := c.Flag("strain", "Have endless answers, too few descriptors, logs without readers, odd entries in the store and bad calls.").Bool()
	answers := c.Flag("answers", "Have backend servers send broken answers, and answers to long uploads before they read them.").Bool()
	crowds := c.Flag("crowds", "Have crowds of clients hold what they can: heads, bodies, answers, connections, frames.").Bool()
	keep := c.Flag("keep", "Keep the logs of all seeds.").Bool()

	c.Action(func(*kingpin.ParseContext) error {
		ctx, stop := interrupted()
		defer stop()

		failed := 0

		for seed := *first; seed < *first+*count; seed++ {
			broken, err := oneSeed(ctx, hosts.Options{
				Seed: seed, Length: *length, Hosts: *size, Rate: *rate, Work: *work, Program: *program, Rollout: *rollout,
				Poison: *poison, Signals: *signals, Versions: *versions,
				Strain: *strain, Answers: *answers, Crowds: *crowds,
			}, *keep)
			if err != nil {
				return err
			}

			if broken {
				failed++
			}
		}

		if failed > 0 {
			return errBroken.With("%d of %d seeds", failed, *count)
		}

		return nil
	})
}

// oneSeed plays one seed and reports whether a promise was broken.
func oneSeed(ctx context.Context, o hosts.Options, keep bool) (bool, error) {
	var err error
	if o.Dir, err = os.MkdirTemp("", "pollencart-hosts-"); err != nil {
		return false, err
	}

	log, err := os.Create(filepath.Join(o.Dir, "schedule.log"))
	if err != nil {
		return false, err
	}

	o.Log = log

	report, err := hosts.Run(ctx, o)
	if err != nil {
		return false, err
	}

	return len(report.Broken) > 0, finish(report, o.Dir, log, keep)
}

// finish prints the report, and keeps the logs of a run that found something, or of any.
func finish(r *hosts.Report, dir string, log *os.File, keep bool) error {
	if err := r.Print(os.Stdout); err != nil {
		return err
	}

	if err := log.Close(); err != nil {
		return err
	}

	if len(r.Broken) == 0 && !keep {
		return os.RemoveAll(dir)
	}

	_, err := os.Stdout.WriteString("logs in " + dir + "\n")

	return err
}
