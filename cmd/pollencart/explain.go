package main

import (
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/explain"
)

func addExplain(app *kingpin.Application, out io.Writer) {
	c := app.Command("explain", "Find the cause of a failed call in the log files of nodes.")
	id := c.Flag("request", "ID of the call; without it, a summary of the causes of all failed calls.").String()
	service := c.Flag("rollout", "Service whose roll-outs are to be explained.").String()
	files := c.Arg("log", "Log files; standard input if none is given.").ExistingFiles()

	c.Action(action(func() error {
		logs := []io.Reader{os.Stdin}
		if len(*files) > 0 {
			logs = nil
		}

		for _, name := range *files {
			f, err := os.Open(name)
			if err != nil {
				return err
			}
			defer func() { _ = f.Close() }()

			logs = append(logs, f)
		}

		switch {
		case *service != "":
			return explain.Rollout(out, *service, logs...)
		case *id == "":
			return explain.Causes(out, logs...)
		}

		return explain.Call(out, *id, logs...)
	}))
}
