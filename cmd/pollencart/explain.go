package main

import (
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/explain"
)

func addExplain(app *kingpin.Application, out io.Writer) {
	c := app.Command("explain", "Walk from the ID of a failed call to its cause, over log files of nodes or standard input.")
	id := c.Flag("request", "ID of the call. Without one: what all calls without success were lost to.").String()
	files := c.Arg("log", "Log files; standard input without any.").ExistingFiles()

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

		if *id == "" {
			return explain.Causes(out, logs...)
		}

		return explain.Call(out, *id, logs...)
	}))
}
