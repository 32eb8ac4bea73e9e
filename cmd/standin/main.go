// Command standin runs the small fakes: a platform, a backend server, a caller
// that makes load.
//
//	standin platform --listen 127.0.0.1:2379
//	standin backend --name browse-1 --service browse --listen 127.0.0.1:9000 --node 127.0.0.1:8001
//	standin load --node 127.0.0.1:8000 --tree tree.jsonc --rate 200 --duration 5s
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/standin/backend"
	"github.com/pollencart/pollencart/internal/standin/load"
	"github.com/pollencart/pollencart/internal/standin/platform"
	"github.com/pollencart/pollencart/pkg/settings"
)

func main() {
	app := kingpin.New("standin", "Small fakes for tests and experiments.")
	addPlatform(app)
	addBackend(app)
	addLoad(app)

	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func signals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

func addPlatform(app *kingpin.Application) {
	c := app.Command("platform", "Run a platform.")
	listen := c.Flag("listen", "Address; repeat it for an address per failure domain.").Required().Strings()

	c.Action(func(*kingpin.ParseContext) error {
		ctx, stop := signals()
		defer stop()

		p := platform.New()

		return serve(ctx, *listen, p.Handler())
	})
}

func serve(ctx context.Context, addresses []string, h http.Handler) error {
	const headerTime = 5 * time.Second

	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTime}
	failed := make(chan error, len(addresses))

	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return err
		}

		go func() { failed <- s.Serve(l) }()
	}

	select {
	case <-ctx.Done():
		_ = s.Close()

		return nil
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}

		return err
	}
}

func addBackend(app *kingpin.Application) {
	c := app.Command("backend", "Run a backend server.")
	listen := c.Flag("listen", "Address.").Required().String()
	node := c.Flag("node", "Control address of the node on this host.").Required().String()

	var config backend.Config

	c.Flag("name", "Name.").Required().StringVar(&config.Name)
	c.Flag("service", "Service.").Required().StringVar(&config.Service)
	c.Flag("slots", "Calls at once.").Default("10").IntVar(&config.Slots)
	c.Flag("connections", "Connections.").Default("100").IntVar(&config.Connections)
	c.Flag("work", "Time of a call.").Default("2ms").DurationVar(&config.Work)
	c.Flag("cold-start", "Time until warm.").Default("0s").DurationVar(&config.ColdStart)

	c.Flag("drain-notice", "Least time between the word that it leaves and its end.").
		Default("500ms").DurationVar(&config.DrainNotice)
	c.Flag("ledger", "URL that is told of each call before it runs.").StringVar(&config.Ledger)

	c.Action(func(*kingpin.ParseContext) error {
		ctx, stop := signals()
		defer stop()

		b := backend.New(config)
		served, end := context.WithCancel(context.Background())

		go func() {
			b.Announce(ctx, *node, *listen)
			end()
		}()

		return serve(served, []string{*listen}, b.Handler())
	})
}

func addLoad(app *kingpin.Application) {
	c := app.Command("load", "Make load.")

	var plan load.Plan

	c.Flag("node", "Caller address of a node; repeat it for more.").Required().StringsVar(&plan.Nodes)
	c.Flag("rate", "Calls a second.").Default("100").IntVar(&plan.Rate)
	c.Flag("duration", "How long.").Default("5s").DurationVar(&plan.Duration)
	tree := c.Flag("tree", "File of the tree whose routes are called.").Required().ExistingFile()

	c.Action(func(*kingpin.ParseContext) error {
		data, err := os.ReadFile(*tree)
		if err != nil {
			return err
		}

		t, err := settings.Parse(*tree, data)
		if err != nil {
			return err
		}

		ctx, stop := signals()
		defer stop()

		plan.Requests = load.OfTree(t)
		report := load.Run(ctx, plan)
		report.Print(os.Stdout)

		return json.NewEncoder(os.Stdout).Encode(report.Total)
	})
}
