package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kingpin/v2"
	"github.com/oklog/ulid/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/internal/propagation"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

var errScale = errs.New("scale", http.StatusInternalServerError, "the experiment did not finish")

// scale measures one change of one leaf on many nodes, and what they cost idle.
type scale struct {
	nodes, services, changes int
	gap, idle                time.Duration
	burst                    bool
	mode                     string
	binaries                 string

	fleet *harness.Fleet
	tree  settings.Tree
	head  settings.Version
	took  *hdrhistogram.Histogram
}

// ScaleReport is the last line of the output.
type ScaleReport struct {
	Nodes                     int     `json:"Nodes"`
	Mode                      string  `json:"Mode"`
	ConvergenceP50Ms          float64 `json:"ConvergenceP50Ms"`
	ConvergenceP99Ms          float64 `json:"ConvergenceP99Ms"`
	ConvergenceMaxMs          float64 `json:"ConvergenceMaxMs"`
	DeltaBytes                int     `json:"DeltaBytes"`
	ChangeBytesPerNode        float64 `json:"ChangeBytesPerNode"`
	IdleBytesPerNodePerSecond float64 `json:"IdleBytesPerNodePerSecond"`
	IdleCPUPercentPerNode     float64 `json:"IdleCpuPercentPerNode"` //nolint:tagliatelle // the name that was asked for
	RssMbPerNode              float64 `json:"RssMbPerNode"`
	PlatformCallsPerSecond    float64 `json:"PlatformCallsPerSecond"`
	PlatformCallsPerChange    float64 `json:"PlatformCallsPerChange"`
	// MovesPerChange are pushes, offers and pulls for each node and change.
	MovesPerChange float64 `json:"MovesPerChange"`
}

func addScale(app *kingpin.Application) {
	c := app.Command("scale", "Measure changes and idle cost on many nodes without backend servers.")
	s := &scale{}

	c.Flag("nodes", "How many nodes, over four failure domains.").Default("100").IntVar(&s.nodes)
	c.Flag("services", "Services in the tree.").Default("310").IntVar(&s.services)
	c.Flag("changes", "Changes of one leaf.").Default("20").IntVar(&s.changes)
	c.Flag("gap", "Pause after each change.").Default("400ms").DurationVar(&s.gap)
	c.Flag("burst", "Wait for the last change only, and measure only its convergence.").BoolVar(&s.burst)
	c.Flag("idle", "How long the fleet is watched idle.").Default("20s").DurationVar(&s.idle)
	c.Flag("mode", "Mode of the nodes.").Default("Fast").EnumVar(&s.mode, "Fast", "Frugal", "Poll", "FullPush")
	c.Flag("binaries", "Folder of the programs.").Default("bin").StringVar(&s.binaries)
	c.Action(func(*kingpin.ParseContext) error { return s.run() })
}

func (s *scale) run() error {
	const limit = 3 * time.Minute

	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()

	if err := s.start(ctx); err != nil {
		return err
	}
	defer s.fleet.Stop()

	report, err := s.measure(ctx)
	if err != nil {
		return err
	}

	return json.NewEncoder(os.Stdout).Encode(report)
}

func (s *scale) start(ctx context.Context) error {
	const maxMs, digits = 600_000, 3

	s.took = hdrhistogram.New(1, maxMs*1000, digits)
	d := harness.Deployment{
		Region: scaleRegion, Mode: config.Mode(s.mode), FailureDomains: scaleDomains,
		Services: []harness.Service{{Name: "node"}},
	}

	for i := range s.nodes {
		d.Services[0].Upstreams = append(d.Services[0].Upstreams, scaleDomains[i%len(scaleDomains)])
	}

	dir, err := os.MkdirTemp("", "pollencart-scale-")
	if err != nil {
		return err
	}

	fmt.Printf("starting %d nodes, mode %s, logs in %s\n", s.nodes, s.mode, dir)

	began := time.Now()

	s.fleet, err = harness.Start(ctx, d, harness.Options{Binaries: s.binaries, Dir: dir, NoBackends: true, LogLevel: "error"})
	if err != nil {
		return err
	}

	fmt.Printf("all answer after %.1f s\n", time.Since(began).Seconds())

	s.tree = scaleTree(s.services)

	if err := s.accept(ctx); err != nil {
		return err
	}

	if _, err := s.converged(ctx); err != nil {
		return err
	}

	fmt.Printf("first version in force everywhere after %.1f s\n", time.Since(began).Seconds())

	// Until the joins are over.
	const quiet = 5 * time.Second

	time.Sleep(quiet)

	return nil
}

func scaleTree(services int) settings.Tree {
	region := settings.Branch{
		Region:   &settings.Region{FailureDomains: scaleDomains},
		Branches: map[string]settings.Branch{},
	}

	for i := range services {
		name := fmt.Sprintf("service-%03d", i)
		deadline := settings.Duration(time.Second + time.Duration(i)*time.Millisecond)

		region.Branches[name] = settings.Branch{
			Service:   &settings.Service{Slots: 10, Connections: 100},
			Overrides: settings.Overrides{Deadline: &deadline},
			Routes: map[string]settings.Route{
				"open": {Match: settings.Match{Method: http.MethodGet, PathPrefix: "/" + name + "/"}},
				"save": {Match: settings.Match{Method: http.MethodPut, PathPrefix: "/" + name + "/"}},
			},
		}
	}

	t := settings.Tree{}
	t.Branches = map[string]settings.Branch{scaleRegion: region}

	return t
}

const scaleRegion = "midlands"

var scaleDomains = []string{"nottm-a", "nottm-b", "derby", "leic"}

// change edits one leaf.
func (s *scale) change(i int) {
	deadline := settings.Duration(2*time.Second + time.Duration(i)*time.Millisecond)
	b := s.tree.Branches[scaleRegion].Branches["service-000"]
	b.Routes["open"] = settings.Route{
		Match: b.Routes["open"].Match, Overrides: settings.Overrides{Deadline: &deadline},
	}
}

func (s *scale) accept(ctx context.Context) error {
	data, err := s.tree.Text()
	if err != nil {
		return err
	}

	s.head, err = s.fleet.Operator(0).Accept(ctx, operator.AcceptRequest{
		File: "scale.jsonc", Tree: data, Base: s.head.Number, ID: ulid.Make().String(), Operator: "bench",
	})

	return err
}

// converged waits until the accepted version is in force on every node, and
// returns what they tell then.
func (s *scale) converged(ctx context.Context) ([]nodeMetrics, error) {
	for {
		all, err := scrapeAll(ctx, s.fleet)
		if err != nil {
			return nil, err
		}

		behind := 0

		for _, m := range all {
			if m.version < float64(s.head.Number) {
				behind++
			}
		}

		if behind == 0 {
			return all, nil
		}

		const pause = 200 * time.Millisecond

		select {
		case <-ctx.Done():
			return nil, errScale.With("version %d is not in force on %d of %d nodes", s.head.Number, behind, len(all))
		case <-time.After(pause):
		}
	}
}

func (s *scale) measure(ctx context.Context) (ScaleReport, error) {
	report := ScaleReport{Nodes: s.nodes, Mode: s.mode}

	if err := s.measureIdle(ctx, &report); err != nil {
		return report, err
	}

	if err := s.measureChanges(ctx, &report); err != nil {
		return report, err
	}

	var err error
	report.DeltaBytes, err = s.deltaBytes()

	return report, err
}

func (s *scale) measureIdle(ctx context.Context, r *ScaleReport) error {
	before, err := s.usage(ctx)
	if err != nil {
		return err
	}

	time.Sleep(s.idle)

	after, err := s.usage(ctx)
	if err != nil {
		return err
	}

	seconds := after.at.Sub(before.at).Seconds()
	n := float64(s.nodes)
	r.IdleBytesPerNodePerSecond = round((after.bytes - before.bytes) / n / seconds)
	r.IdleCPUPercentPerNode = round(100 * (after.cpu - before.cpu).Seconds() / n / seconds)
	r.RssMbPerNode = round(after.rssMb / n)
	r.PlatformCallsPerSecond = round(float64(after.calls-before.calls) / seconds)

	return nil
}

func (s *scale) measureChanges(ctx context.Context, r *ScaleReport) error {
	before, err := s.usage(ctx)
	if err != nil {
		return err
	}

	for i := range s.changes {
		s.change(i)

		if err := s.accept(ctx); err != nil {
			return err
		}

		time.Sleep(s.gap)

		if s.burst && i < s.changes-1 {
			continue
		}

		all, err := s.converged(ctx)
		if err != nil {
			return err
		}

		for _, m := range all {
			_ = s.took.RecordValue(m.since.Sub(s.head.AcceptedAt).Microseconds())
		}
	}

	after, err := s.usage(ctx)
	if err != nil {
		return err
	}

	const p50, p99, perMs = 50, 99, 1000.0

	seconds, total := after.at.Sub(before.at).Seconds(), float64(s.nodes*s.changes)
	idle := r.IdleBytesPerNodePerSecond * seconds / float64(s.changes)

	r.ChangeBytesPerNode = round((after.bytes-before.bytes)/total - idle)
	r.PlatformCallsPerChange = round((float64(after.calls-before.calls) - r.PlatformCallsPerSecond*seconds) / float64(s.changes))
	r.MovesPerChange = round((after.moves - before.moves) / total)
	r.ConvergenceP50Ms = round(float64(s.took.ValueAtQuantile(p50)) / perMs)
	r.ConvergenceP99Ms = round(float64(s.took.ValueAtQuantile(p99)) / perMs)
	r.ConvergenceMaxMs = round(float64(s.took.Max()) / perMs)

	return nil
}

// deltaBytes is the size of the message that leads from one version to the next.
func (s *scale) deltaBytes() (int, error) {
	h := propagation.NewHolder(timeline.New())

	for i := range 2 {
		s.change(s.changes + i)

		records, err := s.tree.Records()
		if err != nil {
			return 0, err
		}

		v := s.head
		v.Number += uint64(i)
		v.Digest = settings.TreeDigest(records.Digests())
		v.AcceptanceID += fmt.Sprint(i)

		snapshot, err := settings.NewSnapshot(v, records)
		if err != nil {
			return 0, err
		}

		h.Offer(snapshot)
	}

	d, err := h.Delta(s.head.Number, "")
	if err != nil {
		return 0, err
	}

	data, err := msgpack.Marshal(d)

	return len(data), err
}
