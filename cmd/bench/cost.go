package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollencart/pollencart/internal/standin/load"
)

// cost measures the processor time that the nodes spend on a call.
type cost struct {
	demo     demo
	rate     int
	duration time.Duration
}

// CostReport is the last line of the output.
type CostReport struct {
	Calls      int     `json:"Calls"`
	Answered   int     `json:"Answered"`
	Rate       int     `json:"Rate"`
	IdleCPUUs  float64 `json:"IdleCPUUsPerNodePerSecond"`
	CPUUs      float64 `json:"CPUUsPerCall"`
	RssMb      float64 `json:"RssMbPerNode"`
	PeerBytes  float64 `json:"PeerBytesPerCall"`
	LatencyP99 float64 `json:"P99Ms"`
}

func addCost(app *kingpin.Application) {
	c := app.Command("cost", "Measure the processor time of the nodes for each call.")
	m := &cost{}

	c.Flag("deployment", "Folder of the deployment.").Default("examples/midlands").StringVar(&m.demo.dir)
	c.Flag("binaries", "Folder of the programs.").Default("bin").StringVar(&m.demo.binaries)
	c.Flag("rate", "Calls a second.").Default("800").IntVar(&m.rate)
	c.Flag("duration", "How long.").Default("8s").DurationVar(&m.duration)
	c.Action(func(*kingpin.ParseContext) error { return m.run() })
}

func (m *cost) run() error {
	const limit = time.Minute

	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()

	if err := m.demo.start(ctx); err != nil {
		return err
	}
	defer m.demo.fleet.Stop()

	if err := m.demo.first(ctx); err != nil {
		return err
	}

	s := &scale{fleet: m.demo.fleet}

	before, err := s.usage(ctx)
	if err != nil {
		return err
	}

	time.Sleep(m.duration)

	idle, err := s.usage(ctx)
	if err != nil {
		return err
	}

	report := load.Run(ctx, load.Plan{
		Nodes: m.demo.fleet.Callers(), Requests: load.OfTree(m.demo.tree), Rate: m.rate, Duration: m.duration,
	})

	busy, err := s.usage(ctx)
	if err != nil {
		return err
	}

	return json.NewEncoder(os.Stdout).Encode(m.report(report.Total, before, idle, busy))
}

// report takes the idle cost of the same time off.
func (m *cost) report(total load.Row, before, idle, busy usage) CostReport {
	n, calls := float64(len(m.demo.fleet.Hosts)), float64(total.Sent)
	quiet := idle.at.Sub(before.at).Seconds()
	share := busy.at.Sub(idle.at).Seconds() / quiet
	micros := func(d time.Duration) float64 { return float64(d.Microseconds()) }

	idleCPU := micros(idle.cpu - before.cpu)
	idleBytes := idle.bytes - before.bytes

	return CostReport{
		Calls: total.Sent, Answered: total.Answered, Rate: m.rate,
		IdleCPUUs: round(idleCPU / quiet / n),
		CPUUs:     round((micros(busy.cpu-idle.cpu) - idleCPU*share) / calls),
		RssMb:     round(busy.rssMb / n),
		PeerBytes: round((busy.bytes - idle.bytes - idleBytes*share) / calls),

		LatencyP99: total.P99Ms,
	}
}
