package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/quota"
	"github.com/pollencart/pollencart/internal/quota/ledger"
)

// limitsTimeout bounds the question to one node.
const limitsTimeout = 2 * time.Second

func addLimits(app *kingpin.Application, out io.Writer) {
	c := app.Command("limits", "Print how much of the workspaces' limits is used, over all nodes.")
	addresses := c.Arg("address", "Metrics addresses of the nodes; those of all nodes for the whole use.").Required().Strings()

	c.Action(action(func() error {
		total, silent := map[string]ledger.Use{}, 0

		for _, address := range *addresses {
			uses, err := fetchUses(address)
			if err != nil {
				fmt.Fprintf(out, "%s: %v\n", address, err)

				silent++
			}

			for _, u := range uses {
				addUse(total, u)
			}
		}

		return writeUses(out, total, len(*addresses)-silent, len(*addresses))
	}))
}

// fetchUses returns the use of the limits that one node is the home of.
func fetchUses(address string) ([]ledger.Use, error) {
	var uses []ledger.Use

	err := fetch("http://"+address+quota.UsesPath, limitsTimeout, &uses)

	return uses, err
}

// addUse adds the use at one home to that at the others. The limit is that of the newest version.
func addUse(total map[string]ledger.Use, u ledger.Use) {
	t, ok := total[u.Workspace]
	if !ok {
		total[u.Workspace] = u

		return
	}

	if u.Version > t.Version {
		t.Rate, t.Burst, t.Version = u.Rate, u.Burst, u.Version
	}

	t.Share, t.Granted, t.Room = t.Share+u.Share, t.Granted+u.Granted, t.Room+u.Room
	total[u.Workspace] = t
}

// use returns the granted calls as a part of what the limit allows in a window.
func use(u ledger.Use) float64 {
	return float64(u.Granted) / max(u.Rate*u.WindowSeconds+u.Burst, 1)
}

func writeUses(out io.Writer, total map[string]ledger.Use, answered, asked int) error {
	rows := make([]ledger.Use, 0, len(total))
	for _, u := range total {
		rows = append(rows, u)
	}

	slices.SortFunc(rows, func(a, b ledger.Use) int {
		if c := cmp.Compare(use(b), use(a)); c != 0 {
			return c
		}

		return cmp.Compare(a.Workspace, b.Workspace)
	})

	const padding = 2

	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	fmt.Fprintf(w, "%d of %d nodes answered\n", answered, asked)
	fmt.Fprintln(w, "workspace\trate\tburst\tversion\tgranted\tuse\troom\tdelegated")

	for _, u := range rows {
		fmt.Fprintf(w, "%s\t%g\t%g\t%d\t%d in %gs\t%.2f\t%d\t%.2f\n",
			u.Workspace, u.Rate, u.Burst, u.Version, u.Granted, u.WindowSeconds, use(u), u.Room, u.Share)
	}

	return w.Flush()
}
