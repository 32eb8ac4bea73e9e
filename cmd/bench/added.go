package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/pollencart/pollencart/internal/standin/load"
)

func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// added measures what the mesh adds to a call, against going straight to the
// backend server, in one run.
func (d *demo) added(ctx context.Context) {
	const rate = 400

	route := load.OfTree(d.tree)[:1]
	host := d.fleet.Hosts[0]
	plan := load.Plan{Requests: route, Rate: rate, Duration: 3 * time.Second}

	plan.Nodes = []string{host.Backend}
	straight := load.Run(ctx, plan).Total

	plan.Nodes = []string{host.Caller}
	mesh := load.Run(ctx, plan).Total

	fmt.Printf("\nadded by the mesh to %s at %d calls a second\n", route[0].Name, rate)
	fmt.Printf("  p50 %.2f ms straight, %.2f ms through the mesh, %+.2f ms, ratio %.2f\n",
		straight.P50Ms, mesh.P50Ms, mesh.P50Ms-straight.P50Ms, mesh.P50Ms/straight.P50Ms)
	fmt.Printf("  p99 %.2f ms straight, %.2f ms through the mesh, %+.2f ms, ratio %.2f\n",
		straight.P99Ms, mesh.P99Ms, mesh.P99Ms-straight.P99Ms, mesh.P99Ms/straight.P99Ms)
}
