// Command pollencart runs a node and is the operators' command line.
//
//	pollencart node --settings node.jsonc
//	pollencart accept tree.jsonc --node 127.0.0.1:8001
//	pollencart status --node 127.0.0.1:8001
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Exit statuses.
const (
	exitFault = 1 // the command was understood and did not succeed
	exitUsage = 2 // the command line was not understood
)

func newApp() *kingpin.Application {
	app := kingpin.New("pollencart", "Configuration distribution for a service mesh.")
	app.Version(version)
	app.HelpFlag.Short('h')

	addNode(app)
	addOperator(app)

	return app
}

func main() {
	_, err := newApp().Parse(os.Args[1:])
	if err == nil {
		return
	}

	var failed *commandError
	if errors.As(err, &failed) {
		fmt.Fprintln(os.Stderr, "pollencart:", failed.cause)
		os.Exit(exitFault)
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
