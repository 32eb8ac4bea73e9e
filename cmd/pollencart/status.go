package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/operator"
)

// statusReport is the status of all nodes with the slowest nodes.
type statusReport struct {
	operator.Status

	Slowest []operator.Delay `json:"Slowest"`
}

func addStatus(app *kingpin.Application, f *commonFlags) {
	c := app.Command("status", "Show on how many nodes the newest version is active, and which nodes are slowest and why.")
	slowest := c.Flag("slowest", "Number of slowest nodes to print.").Default("3").Int()

	f.register(c)
	c.Action(action(func() error {
		s, err := f.client().Status(context.Background())
		if err != nil {
			return err
		}

		report := statusReport{Status: s, Slowest: s.Slowest(*slowest)}

		return f.print(report, func(w io.Writer) { writeStatus(w, report) })
	}))
}

func writeStatus(w io.Writer, s statusReport) {
	fmt.Fprintf(w, "version %d in force on %d of %d nodes\n", s.Newest, s.ActiveNodes, s.Running())

	for _, d := range s.Slowest {
		if d.Behind {
			fmt.Fprintf(w, "  behind: %s %s\n", d.Node, d.Why)
		} else {
			fmt.Fprintf(w, "  slowest: %s after %s, %s\n", d.Node, d.After.Round(time.Millisecond/10), d.Why)
		}
	}

	fmt.Fprintln(w, "NODE\tDOMAIN\tBELIEF\tVERSION\tIN FORCE SINCE\tSERVICE\tUPSTREAM\tKNOWS\tIN FLIGHT\tERROR")

	for _, n := range s.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\t%d\t%s\n", n.ID, n.FailureDomain, n.MemberState, n.Version,
			n.ActiveSince.Format(time.RFC3339Nano), n.Upstream.Service, n.Upstream.State, n.ReadyBackends, n.InFlight, n.Error)
	}
}
