package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/settings"
)

// common holds the flags of all operator commands.
type common struct {
	node   string
	output string
	out    io.Writer
}

func (f *common) add(c *kingpin.CmdClause) {
	c.Flag("node", "Control address of any node.").Envar("POLLENCART_NODE").Default("127.0.0.1:8001").StringVar(&f.node)
	c.Flag("output", "Form of the output.").Short('o').Default("text").EnumVar(&f.output, "text", "json")
}

func (f *common) client() *operator.Client { return operator.NewClient(f.node) }

// print writes v as JSON, or by the function as text.
func (f *common) print(v any, text func(w io.Writer)) error {
	if f.output == "json" {
		enc := json.NewEncoder(f.out)
		enc.SetIndent("", "  ")

		return enc.Encode(v)
	}

	t := tabwriter.NewWriter(f.out, 0, 0, 2, ' ', 0)
	text(t)

	return t.Flush()
}

func addOperator(app *kingpin.Application) {
	f := &common{out: os.Stdout}

	for _, add := range []func(*kingpin.Application, *common){
		addCheck, addDiff, addAccept, addShow, addHistory, addStatus, addTimeline,
	} {
		add(app, f)
	}
}

func addCheck(app *kingpin.Application, f *common) {
	c := app.Command("check", "Check a tree and print every fault.")
	file := c.Arg("file", "Tree, JSON with comments.").Required().String()

	f.add(c)
	c.Action(action(func() error {
		tree, err := loadTree(*file)
		if err != nil {
			return err
		}

		faults := tree.Check()

		err = f.print(faults, func(w io.Writer) {
			for _, fault := range faults {
				fmt.Fprintln(w, fault)
			}
		})
		if err == nil && len(faults) > 0 {
			return settings.ErrInvalid.With("%d faults", len(faults))
		}

		return err
	}))
}

func loadTree(file string) (settings.Tree, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return settings.Tree{}, err
	}

	return settings.Parse(file, data)
}

func addDiff(app *kingpin.Application, f *common) {
	c := app.Command("diff", "Show what accepting a tree would change.")
	file := c.Arg("file", "Tree, JSON with comments.").Required().String()

	f.add(c)
	c.Action(action(func() error {
		tree, err := loadTree(*file)
		if err != nil {
			return err
		}

		now, err := f.client().Tree(context.Background())
		if err != nil {
			return err
		}

		changes := settings.Diff(now.Tree, tree)

		return f.print(changes, func(w io.Writer) {
			for _, change := range changes {
				fmt.Fprintln(w, change)
			}
		})
	}))
}

func addAccept(app *kingpin.Application, f *common) {
	c := app.Command("accept", "Make a tree the accepted version.")

	var r operator.AcceptRequest

	c.Arg("file", "Tree, JSON with comments.").Required().StringVar(&r.File)
	c.Flag("base", "Version that the tree was edited from; by default the one in force on the node.").Uint64Var(&r.Base)
	c.Flag("id", "Acceptance ID; repeat a command with the ID that it printed to settle a lost answer.").StringVar(&r.ID)
	c.Flag("message", "What this version is for.").Short('m').StringVar(&r.Message)
	f.add(c)
	c.Action(action(func() error {
		data, err := os.ReadFile(r.File)
		if err != nil {
			return err
		}

		r.Tree = data
		if r.ID == "" {
			r.ID = ulid.Make().String()
		}

		if u, err := user.Current(); err == nil {
			r.Operator = u.Username
		}

		if r.Base == 0 {
			r.Base = inForce(f.client())
		}

		v, err := f.client().Accept(context.Background(), r)
		if err != nil {
			return fmt.Errorf("acceptance ID %s: %w", r.ID, err)
		}

		return f.print(v, func(w io.Writer) { fmt.Fprintf(w, "accepted version %d, ID %s\n", v.Number, v.AcceptanceID) })
	}))
}

func inForce(c *operator.Client) uint64 {
	now, err := c.Tree(context.Background())
	if err != nil {
		return 0
	}

	return now.Version.Number
}

func addShow(app *kingpin.Application, f *common) {
	c := app.Command("show", "Print the tree in force on the node.")

	f.add(c)
	c.Action(action(func() error {
		now, err := f.client().Tree(context.Background())
		if err != nil {
			return err
		}

		return f.print(now, func(w io.Writer) {
			fmt.Fprintf(w, "// version %d, accepted %s\n", now.Version.Number, now.Version.AcceptedAt.Format(time.RFC3339))

			enc := json.NewEncoder(w)
			enc.SetIndent("", "  ")
			_ = enc.Encode(now.Tree)
		})
	}))
}

func addHistory(app *kingpin.Application, f *common) {
	c := app.Command("history", "List the accepted versions, newest first.")

	f.add(c)
	c.Action(action(func() error {
		versions, err := f.client().History(context.Background())
		if err != nil {
			return err
		}

		return f.print(versions, func(w io.Writer) {
			fmt.Fprintln(w, "VERSION\tACCEPTED\tOPERATOR\tID\tMESSAGE")

			for _, v := range versions {
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n",
					v.Number, v.AcceptedAt.Format(time.RFC3339), v.Operator, v.AcceptanceID, v.Message)
			}
		})
	}))
}

func addStatus(app *kingpin.Application, f *common) {
	c := app.Command("status", "Show which version each node holds, and since when.")

	f.add(c)
	c.Action(action(func() error {
		s, err := f.client().Status(context.Background())
		if err != nil {
			return err
		}

		return f.print(s, func(w io.Writer) {
			fmt.Fprintf(w, "version %d in force on %d of %d nodes\n", s.Newest, s.InForce, len(s.Nodes))
			fmt.Fprintln(w, "NODE\tDOMAIN\tBELIEF\tVERSION\tIN FORCE SINCE\tSERVICE\tUPSTREAM\tKNOWS\tIN FLIGHT\tERROR")

			for _, n := range s.Nodes {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\t%d\t%s\n", n.ID, n.FailureDomain, n.Belief, n.Version,
					n.InForceSince.Format(time.RFC3339Nano), n.Upstream.Service, n.Upstream.State, n.Known, n.InFlight, n.Error)
			}
		})
	}))
}

func addTimeline(app *kingpin.Application, f *common) {
	c := app.Command("timeline", "Print the merged events of all nodes.")

	var (
		filter timeline.Filter
		since  time.Duration
	)

	c.Flag("call", "Only this call.").StringVar(&filter.Call)
	c.Flag("key", "Only this idempotency key.").StringVar(&filter.Key)
	c.Flag("of", "Only this version.").Uint64Var(&filter.Version)
	c.Flag("on", "Only this node.").StringVar(&filter.Node)
	c.Flag("since", "Only the last while.").DurationVar(&since)
	f.add(c)
	c.Action(action(func() error {
		if since > 0 {
			filter.SinceMs = time.Now().Add(-since).UnixMilli()
		}

		entries, err := f.client().Timeline(context.Background(), filter)
		if err != nil {
			return err
		}

		return f.print(entries, func(w io.Writer) {
			for _, e := range entries {
				fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", time.UnixMilli(e.Stamp.WallMs).UTC().Format("15:04:05.000"),
					e.Node, e.Number, e.Name, details(e))
			}
		})
	}))
}

func details(e timeline.Entry) string {
	var out string

	if e.Version > 0 {
		out += fmt.Sprintf("version=%d ", e.Version)
	}

	for _, f := range []struct{ name, value string }{
		{"call", e.Call}, {"key", e.Key}, {"peer", e.Peer}, {"detail", e.Detail},
	} {
		if f.value != "" {
			out += f.name + "=" + f.value + " "
		}
	}

	return out
}
