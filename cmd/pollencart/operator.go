package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/credentials"
	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/pkg/settings"
)

// commonFlags holds the flags that all operator commands share.
type commonFlags struct {
	node   string
	output string

	token     string
	authority string

	out io.Writer
}

func (f *commonFlags) register(c *kingpin.CmdClause) {
	c.Flag("node", "Control address of any node.").Envar("POLLENCART_NODE").Default("127.0.0.1:8001").StringVar(&f.node)
	c.Flag("token", "Operators' token.").Envar("POLLENCART_TOKEN").StringVar(&f.token)
	c.Flag("authority", "File with the CA certificates; connect with TLS and verify the certificate of the node.").
		Envar("POLLENCART_AUTHORITY").StringVar(&f.authority)
	c.Flag("output", "Output format.").Short('o').Default("text").EnumVar(&f.output, "text", "json")
}

func (f *commonFlags) client() *operator.Client {
	var opts []operator.ClientOption

	if f.token != "" {
		opts = append(opts, operator.WithToken(f.token))
	}

	if f.authority != "" {
		pool := x509.NewCertPool()
		if data, err := os.ReadFile(f.authority); err == nil {
			pool.AppendCertsFromPEM(data) // with an empty pool, verification fails for every node
		}

		opts = append(opts, operator.WithTLS(&tls.Config{
			MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: credentials.Name,
		}))
	}

	return operator.NewClient(f.node, opts...)
}

// print writes v as JSON or calls text, depending on the output flag.
func (f *commonFlags) print(v any, text func(w io.Writer)) error {
	if f.output == "json" {
		enc := json.NewEncoder(f.out)
		enc.SetIndent("", "  ")

		return enc.Encode(v)
	}

	t := tabwriter.NewWriter(f.out, 0, 0, 2, ' ', 0)
	text(t)

	return t.Flush()
}

func addOperator(app *kingpin.Application, out io.Writer) {
	f := &commonFlags{out: out}

	for _, add := range []func(*kingpin.Application, *commonFlags){
		addCheck, addDiff, addAccept, addEdit, addShow, addHistory, addStatus, addTimeline,
	} {
		add(app, f)
	}
}

func addCheck(app *kingpin.Application, f *commonFlags) {
	c := app.Command("check", "Check a tree and print all faults.")
	file := c.Arg("file", "Tree, JSON with comments.").Required().String()

	f.register(c)
	c.Action(action(func() error {
		tree, err := loadTree(*file)
		if err != nil {
			return err
		}

		faults := tree.Check()
		if len(faults) == 0 {
			return f.print([]settings.Fault{}, func(io.Writer) {})
		}

		return f.printFaults(faults)
	}))
}

func loadTree(file string) (settings.Tree, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return settings.Tree{}, err
	}

	return settings.Parse(file, data)
}

func addHistory(app *kingpin.Application, f *commonFlags) {
	c := app.Command("history", "List the accepted versions, newest first.")

	f.register(c)
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
