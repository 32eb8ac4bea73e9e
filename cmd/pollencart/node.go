package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/internal/logsink"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/node"
	"github.com/pollencart/pollencart/internal/reload"
)

func addNode(app *kingpin.Application) {
	c := app.Command("node", "Run a node on this host; SIGTERM drains and stops it.")
	file := c.Flag("settings", "Settings file, JSON with comments.").Required().String()

	c.Action(action(func() error {
		conf, err := config.Load(*file)
		if err != nil {
			return err
		}

		var level slog.Level
		if err := level.UnmarshalText([]byte(conf.LogLevel)); err != nil {
			return config.ErrConfig.With("%s: key LogLevel: %s", *file, err)
		}

		sink, stopLogging := logsink.Start(os.Stderr)
		defer stopLogging()

		logger := slog.New(sink.Handler(level))

		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()

		debug.SetMemoryLimit(membudget.CollectorLimit(conf.MemoryBytes()))

		n := node.New(conf, logger)
		go n.Follow(ctx, reload.Signals(), func() (config.Config, error) { return config.Load(*file) })

		return n.Run(ctx)
	}))
}
