// Command pollencart runs a node and provides the commands for operators.
//
//	pollencart node --settings node.jsonc
//	pollencart accept tree.jsonc --node 127.0.0.1:8001
//	pollencart status --node 127.0.0.1:8001
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Exit statuses.
const (
	exitFailure = 1 // the command failed
	exitUsage   = 2 // the command line is invalid
	// exitUnknown means that the version may have been accepted; running the
	// command again with the ID that it printed gives the outcome.
	exitUnknown = 3
	// exitConflict means that another accepted version changed the same branches.
	exitConflict = 4
)

func newApp() *kingpin.Application { return newAppWithOutput(os.Stdout) }

// newAppWithOutput returns an application that prints to out.
func newAppWithOutput(out io.Writer) *kingpin.Application {
	app := kingpin.New("pollencart", "Configuration distribution for a service mesh.")
	app.HelpFlag.Short('h')

	// A command, because kingpin's version flag would conflict with "show --version 7".
	app.Command("version", "Print the version of the program, as the flag --version does.").
		Action(action(func() error {
			_, err := fmt.Fprintln(out, version)

			return err
		}))
	addNode(app)
	addSidecar(app)
	addOperator(app, out)
	addExplain(app, out)
	addWorkspaces(app, out)
	addLimits(app, out)

	return app
}

func main() {
	args := os.Args[1:]
	if len(args) == 1 && args[0] == "--version" {
		args = []string{"version"}
	}

	_, err := newApp().Parse(args)
	if err == nil {
		return
	}

	var failed *commandError
	if errors.As(err, &failed) {
		fmt.Fprintln(os.Stderr, "pollencart:", failed.cause)
		os.Exit(exitStatus(failed.cause))
	}

	fmt.Fprintf(os.Stderr, "pollencart: usage: %v; try --help\n", err)
	os.Exit(exitUsage)
}

// commandError marks the error of a command that ran and failed, as opposed to
// an invalid command line.
type commandError struct{ cause error }

// Error implements error.
func (e *commandError) Error() string { return e.cause.Error() }

// action returns a kingpin action that wraps the error of run in a commandError.
func action(run func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if err := run(); err != nil {
			return &commandError{cause: err}
		}

		return nil
	}
}

const version = "0.1.0"
