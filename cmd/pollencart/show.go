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

func addShow(app *kingpin.Application, f *commonFlags) {
	c := app.Command("show", "Print the active tree of the node, or the tree of an accepted version.")
	number := c.Flag("version", "Accepted version to print.").Uint64()
	path := c.Flag("explain", "Print the values of this branch or route and the branch from which each is inherited.").String()

	f.register(c)
	c.Action(action(func() error {
		versionTree, err := f.versionTree(context.Background(), *number)
		if err != nil {
			return err
		}

		if *path != "" {
			return f.printOrigins(versionTree, *path)
		}

		return f.print(versionTree, func(w io.Writer) {
			fmt.Fprintf(w, "// version %d, accepted %s\n", versionTree.Version.Number, versionTree.Version.AcceptedAt.Format(time.RFC3339))

			enc := json.NewEncoder(w)
			enc.SetIndent("", "  ")
			_ = enc.Encode(versionTree.Tree)
		})
	}))
}

func (f *commonFlags) versionTree(ctx context.Context, number uint64) (operator.TreeText, error) {
	if number == 0 {
		return f.client().Tree(ctx)
	}

	return f.client().Version(ctx, number)
}

func (f *commonFlags) printOrigins(versionTree operator.TreeText, path string) error {
	origins, err := versionTree.Tree.Explain(path)
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
