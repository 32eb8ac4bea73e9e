package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/operator"
)

func addShow(app *kingpin.Application, f *common) {
	c := app.Command("show", "Print the tree in force on the node, or another accepted one.")
	number := c.Flag("version", "Accepted version to print.").Uint64()
	path := c.Flag("explain", "Print the values at this branch or route, and from which node of the tree each comes.").String()

	f.add(c)
	c.Action(action(func() error {
		shown, err := f.shown(context.Background(), *number)
		if err != nil {
			return err
		}

		if *path != "" {
			return f.explain(shown, *path)
		}

		return f.print(shown, func(w io.Writer) {
			fmt.Fprintf(w, "// version %d, accepted %s\n", shown.Version.Number, shown.Version.AcceptedAt.Format(time.RFC3339))

			enc := json.NewEncoder(w)
			enc.SetIndent("", "  ")
			_ = enc.Encode(shown.Tree)
		})
	}))
}

func (f *common) shown(ctx context.Context, number uint64) (operator.TreeText, error) {
	if number == 0 {
		return f.client().Tree(ctx)
	}

	return f.client().Version(ctx, number)
}

func (f *common) explain(shown operator.TreeText, path string) error {
	origins, err := shown.Tree.Explain(path)
	if err != nil {
		return err
	}

	return f.print(origins, func(w io.Writer) {
		fmt.Fprintln(w, "KEY\tVALUE\tFROM")

		for _, o := range origins {
			fmt.Fprintf(w, "%s\t%s\t%s\n", o.Key, o.Value, o.From)
		}
	})
}
