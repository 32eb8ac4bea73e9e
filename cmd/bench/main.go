// Command bench runs the demonstration and the experiments against real
// processes on loopback addresses.
//
//	bench demo --deployment examples/midlands
//	bench scale --nodes 100
//	bench rolling
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("bench", "Demonstration and experiments on real processes.")
	addDemo(app)
	addScale(app)
	addSoak(app)
	addHosts(app)
	addLoad(app)
	addHerd(app)
	addRolling(app)
	addCost(app)
	addPlot(app)

	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
