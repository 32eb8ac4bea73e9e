// Package process runs a sidecar as the main part of a program: log, signals and collector.
//
// # Usage
//
//	conf, err := config.Load(file)
//	err = process.Run(file, conf) // until SIGTERM, then drains
package process

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/pollencart/pollencart/internal/logsink"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/reload"
	"github.com/pollencart/pollencart/internal/sidecar"
	"github.com/pollencart/pollencart/internal/sidecar/config"
)

// Run runs a sidecar with the settings that were read from a file, until SIGTERM or SIGINT.
func Run(file string, conf config.Config) error {
	limitMemory(conf)

	sink, stopLogging := logsink.Start(os.Stdout)
	defer stopLogging()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	n := sidecar.New(conf, slog.New(sink.Handler(slog.LevelDebug)))
	go n.Follow(ctx, file, reload.Signals())

	return n.Run(ctx)
}

// limitMemory sets the collector as the settings ask for, and takes heap samples only for profiles. Near the memory of the
// machine the collector runs more often.
func limitMemory(conf config.Config) {
	if !conf.Profiles {
		runtime.MemProfileRate = 0
	}

	debug.SetGCPercent(conf.Collector())
	debug.SetMemoryLimit(membudget.CollectorLimit(conf.MemoryBytes()))
}
