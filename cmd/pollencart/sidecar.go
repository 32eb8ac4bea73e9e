package main

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/sidecar/config"
	"github.com/pollencart/pollencart/internal/sidecar/process"
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

		return process.Run(*file, conf)
	}))
}
