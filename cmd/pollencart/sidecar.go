package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/logsink"
	"github.com/pollencart/pollencart/internal/reload"
	"github.com/pollencart/pollencart/internal/sidecar"
	"github.com/pollencart/pollencart/internal/sidecar/config"
)

func addSidecar(app *kingpin.Application) {
	c := app.Command("sidecar", "Run a sidecar node on the host of a backend server; SIGTERM drains and stops it.")
	file := c.Flag("settings", "Settings file, JSON with comments.").Required().String()
	check := c.Flag("check", "Check the settings file and exit.").Bool()

	c.Action(action(func() error {
		conf, err := config.Load(*file)
		if err != nil || *check {
			return err
		}

		return runSidecar(*file, conf)
	}))
}

func runSidecar(file string, conf config.Config) error {
	sink := logsink.New(os.Stdout)
	logging, stopLogging := context.WithCancel(context.Background())
	written := make(chan struct{})

	go func() {
		defer close(written)

		sink.Run(logging)
	}()

	defer func() {
		stopLogging()
		<-written
	}()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	n := sidecar.New(conf, slog.New(sink.Handler(slog.LevelDebug)))
	go n.Follow(ctx, file, reload.Signals())

	return n.Run(ctx)
}
