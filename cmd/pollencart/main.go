// Command pollencart runs a node and is the operators' command line.
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
	exitFault = 1 // the command was understood and did not succeed
	exitUsage = 2 // the command line was not understood
	// exitUnknown means that a version may have been accepted; the command is
	// repeated with the ID that it printed.
	exitUnknown = 3
	// exitConflict means that another version has changed the same branches.
	exitConflict = 4
)

func newApp() *kingpin.Application { return newAppTo(os.Stdout) }

// newAppTo returns the command line with its output elsewhere.
func newAppTo(out io.Writer) *kingpin.Application {
	app := kingpin.New("pollencart", "Configuration distribution for a service mesh.")
	app.HelpFlag.Short('h')

	// kingpin's own flag of this name would be in the way of "show --version 7".
	app.Command("version", "Print the version of the program; --version alone does the same.").
		Action(action(func() error {
			_, err := fmt.Fprintln(out, version)

			return err
		}))
	addNode(app)
	addSidecar(app)
	addOperator(app, out)
	addExplain(app, out)

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

// commandError tells a command that did not succeed from a command line that
// was not understood.
type commandError struct{ cause error }

// Error implements error.
func (e *commandError) Error() string { return e.cause.Error() }

// action makes a kingpin action of a command.
func action(run func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if err := run(); err != nil {
			return &commandError{cause: err}
		}

		return nil
	}
}

const version = "0.1.0"
