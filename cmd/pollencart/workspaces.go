package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/workspace/survey"
	"github.com/pollencart/pollencart/pkg/errs"
)

var errWorkspaces = errs.New("workspaces.answer", http.StatusBadGateway, "no report of workspaces")

// workspacesTimeout bounds the survey of all nodes.
const workspacesTimeout = 30 * time.Second

func addWorkspaces(app *kingpin.Application, out io.Writer) {
	c := app.Command("workspaces", "Show what workspaces use of their limits and of the backend servers, over all nodes.")
	address := c.Flag("metrics", "Metrics address of any node.").Default("127.0.0.1:9464").String()

	c.Action(action(func() error {
		r, err := fetchWorkspaces(*address)
		if err != nil {
			return err
		}

		return writeWorkspaces(out, r)
	}))
}

func fetchWorkspaces(address string) (survey.Report, error) {
	var out survey.Report

	if err := fetch("http://"+address+"/workspaces", workspacesTimeout, &out); err != nil {
		return survey.Report{}, errWorkspaces.With("%s", address).Wrap(err)
	}

	return out, nil
}

func writeWorkspaces(out io.Writer, r survey.Report) error {
	fmt.Fprintf(out, "%d nodes answered %s", r.Nodes, r.Node)

	if len(r.Missing) > 0 {
		fmt.Fprintf(out, ", %d did not: %s", len(r.Missing), strings.Join(r.Missing, " "))
	}

	fmt.Fprintln(out)

	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "WORKSPACE\tLIMIT\tBY VERSION\tGRANTED\tUSED\tSHARE\tCALLS\t429\tBELOW LIMIT\tSLOT SECONDS")

	for _, w := range r.Rows {
		limit, version, granted, used, share := "-", "-", "-", "-", "-"

		if w.Rate > 0 {
			most := w.Rate*r.WindowSeconds + w.Burst
			limit = fmt.Sprintf("%g/s + %g", w.Rate, w.Burst)
			version = strconv.FormatUint(w.Version, 10)
			granted = fmt.Sprintf("%d in %gs", w.Counted, r.WindowSeconds)
			used = fmt.Sprintf("%.0f%%", 100*float64(w.Counted)/most)
			share = fmt.Sprintf("%.2f", w.Share)
		}

		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.1f\n",
			w.Workspace, limit, version, granted, used, share, w.Calls, w.OverLimit, w.BelowLimit, w.SlotSeconds)
	}

	return t.Flush()
}
