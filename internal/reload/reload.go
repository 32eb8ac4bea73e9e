// Package reload receives SIGHUP, which asks a node to read its settings file again.
//
// Without a handler SIGHUP ends the process. The handler is therefore installed while the program
// is initialized, before main, and a signal that comes before somebody receives from the channel
// is kept.
//
// # Usage
//
//	go node.Follow(ctx, file, reload.Signals())
package reload

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// commands are the first words of command lines that run a node. For other commands SIGHUP, as from a
// terminal that closes, ends the program as usual.
var commands = []string{"node", "sidecar", "--settings"}

var signals = install(os.Args[1:])

// Signals returns the channel of the process for SIGHUP.
func Signals() <-chan os.Signal { return signals }

func install(args []string) chan os.Signal {
	c := make(chan os.Signal, 1)
	if len(args) > 0 && slices.Contains(commands, args[0]) {
		signal.Notify(c, syscall.SIGHUP)
	}

	return c
}
