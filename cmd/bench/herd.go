package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/harness"
)

// herd measures what the platform and the peers are asked for when most of the
// fleet dies at once and comes back at once.
type herd struct {
	scale scale
	back  int
}

// HerdReport is the last line of the output.
type HerdReport struct {
	Nodes         int     `json:"Nodes"`
	Back          int     `json:"Back"`
	PlatformCalls int64   `json:"PlatformCalls"`
	PeerBytes     float64 `json:"PeerBytesPerNodeBack"`
	InForceMs     int64   `json:"InForceMs"`
}

func addHerd(app *kingpin.Application) {
	c := app.Command("herd", "Measure what most of the fleet asks for when it comes back at once.")
	h := &herd{}

	c.Flag("nodes", "How many nodes, over four failure domains.").Default("100").IntVar(&h.scale.nodes)
	c.Flag("back", "How many die and come back.").Default("90").IntVar(&h.back)
	c.Flag("services", "Services in the tree.").Default("310").IntVar(&h.scale.services)
	c.Flag("binaries", "Folder of the programs.").Default("bin").StringVar(&h.scale.binaries)
	c.Action(func(*kingpin.ParseContext) error { return h.run() })
}

func (h *herd) run() error {
	const limit = 2 * time.Minute

	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()

	h.scale.mode = "Fast"
	if err := h.scale.start(ctx); err != nil {
		return err
	}
	defer h.scale.fleet.Stop()

	report, err := h.measure(ctx)
	if err != nil {
		return err
	}

	return json.NewEncoder(os.Stdout).Encode(report)
}

func (h *herd) measure(ctx context.Context) (HerdReport, error) {
	calls, err := h.scale.platformCalls(ctx)
	if err != nil {
		return HerdReport{}, err
	}

	// The first nodes stay, so that there is somebody to ask.
	stay := h.scale.nodes - h.back
	for i := stay; i < h.scale.nodes; i++ {
		h.scale.fleet.Process(harness.NodeName(h.scale.fleet.Hosts[i].ID)).Kill()
	}

	start := time.Now()

	for i := stay; i < h.scale.nodes; i++ {
		if err := h.scale.fleet.StartNode(i); err != nil {
			return HerdReport{}, err
		}
	}

	all, err := h.held(ctx)
	if err != nil {
		return HerdReport{}, err
	}

	took := time.Since(start)

	// What joins late still counts.
	const quiet = 5 * time.Second

	time.Sleep(quiet)

	after, err := h.scale.platformCalls(ctx)
	r := HerdReport{Nodes: h.scale.nodes, Back: h.back, PlatformCalls: after - calls, InForceMs: took.Milliseconds()}

	for _, m := range all[stay:] {
		r.PeerBytes += round(m.sent / float64(h.back))
	}

	return r, err
}

// held waits until every node listens and holds the version.
func (h *herd) held(ctx context.Context) ([]nodeMetrics, error) {
	for _, host := range h.scale.fleet.Hosts {
		if err := harness.WaitOK(ctx, fmt.Sprintf("http://%s/healthz", host.Control)); err != nil {
			return nil, err
		}
	}

	return h.scale.converged(ctx)
}
