package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/internal/timeline/page"
)

// defaultLimit is the default number of entries per node.
const defaultLimit = "1000"

func addTimeline(app *kingpin.Application, f *commonFlags) {
	c := app.Command("timeline", "Print the merged events of all nodes.")

	var (
		filter timeline.Filter
		since  time.Duration
		all    bool
		html   string
	)

	c.Flag("call", "Only events of the call with this ID.").StringVar(&filter.Call)
	c.Flag("key", "Only events of this idempotency key.").StringVar(&filter.Key)
	c.Flag("of", "Only events of this version.").Uint64Var(&filter.Version)
	c.Flag("on", "Only events that this node reports or that other nodes report about it.").StringVar(&filter.Node)
	c.Flag("event", "Only events of this kind, by name or number.").StringVar(&filter.Event)
	c.Flag("since", "Only events of this last period, such as 10m.").DurationVar(&since)
	c.Flag("limit", "Maximum number of events per node; the newest are printed.").Default(defaultLimit).IntVar(&filter.Limit)
	c.Flag("all", "Don't merge entries in which several nodes report the same event.").BoolVar(&all)
	c.Flag("html", "Write an HTML page with one lane per node to this file.").StringVar(&html)
	f.register(c)
	c.Action(action(func() error {
		if since > 0 {
			filter.SinceMs = time.Now().Add(-since).UnixMilli()
		}

		entries, err := f.client().Timeline(context.Background(), filter)
		if err != nil {
			return err
		}

		if html != "" {
			return writePage(html, f.node, entries)
		}

		if !all && f.output != "json" {
			entries = timeline.Collapse(entries)
		}

		return f.print(entries, func(w io.Writer) { printEntries(w, entries) })
	}))
}

func printEntries(w io.Writer, entries []timeline.Entry) {
	for _, e := range entries {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", time.UnixMilli(e.Stamp.WallMs).UTC().Format("15:04:05.000"),
			e.Node, e.Number, e.Name, page.Describe(e))
	}
}

func writePage(file, node string, entries []timeline.Entry) error {
	out, err := os.Create(file)
	if err != nil {
		return err
	}

	if err := page.Write(out, "seen from "+node, entries); err != nil {
		_ = out.Close()

		return err
	}

	return out.Close()
}
