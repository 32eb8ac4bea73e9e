package main

import (
	"os"
	"path/filepath"
	"time"

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
	program := c.Flag("program", "The binary.").Default("bin/pollencart").String()

	c.Action(func(*kingpin.ParseContext) error {
		ctx, stop := interrupted()
		defer stop()

		failed := 0

		for seed := *first; seed < *first+*count; seed++ {
			dir, err := os.MkdirTemp("", "pollencart-hosts-")
			if err != nil {
				return err
			}

			log, err := os.Create(filepath.Join(dir, "schedule.log"))
			if err != nil {
				return err
			}

			report, err := hosts.Run(ctx, hosts.Options{
				Seed: seed, Length: *length, Hosts: *size, Rate: *rate, Program: *program, Dir: dir, Log: log,
			})
			if err != nil {
				return err
			}

			if err := finish(report, dir, log); err != nil {
				return err
			}

			if len(report.Broken) > 0 {
				failed++
			}

			time.Sleep(time.Second) // sockets of the last seed end
		}

		if failed > 0 {
			return errBroken.With("%d of %d seeds", failed, *count)
		}

		return nil
	})
}

// finish prints the report, and keeps the logs of a run that found something.
func finish(r *hosts.Report, dir string, log *os.File) error {
	if err := r.Print(os.Stdout); err != nil {
		return err
	}

	if err := log.Close(); err != nil {
		return err
	}

	if len(r.Broken) == 0 {
		return os.RemoveAll(dir)
	}

	_, err := os.Stdout.WriteString("logs in " + dir + "\n")

	return err
}
