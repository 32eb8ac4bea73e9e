// Command pollencart-sidecar runs a node beside a backend server, as "pollencart sidecar" does, in a
// program without the operators' commands: all pages of the program count as memory of the node.
//
//	pollencart-sidecar --settings node.jsonc
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/pollencart/pollencart/internal/sidecar/config"
	"github.com/pollencart/pollencart/internal/sidecar/process"
)

func main() {
	file := flag.String("settings", "", "Settings file, JSON with comments.")
	check := flag.Bool("check", false, "Check the settings file and exit.")
	flag.Parse()

	conf, err := config.Load(*file)
	if err == nil && !*check {
		err = process.Run(*file, conf)
	}

	if err != nil {
		fmt.Fprintln(os.Stderr, "pollencart-sidecar:", err)
		os.Exit(1)
	}
}
