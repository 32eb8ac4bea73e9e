package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pollencart/pollencart/internal/workspace/usage"
)

// workspaces exports the counts of the workspaces with the most calls, and the sum of the others. A workspace that
// joins the largest takes its counts out of that sum.
type workspaces struct{ *usage.Usage }

// byWorkspace are the labels of all of them.
var byWorkspace = []string{"Workspace"}

var (
	workspaceCalls = prometheus.NewDesc("pollencart_workspace_calls_total",
		"Calls of callers for a workspace; the largest ones, and the others as (rest).", byWorkspace, nil)
	workspaceRefused = prometheus.NewDesc("pollencart_workspace_refused_total",
		"Those of the calls that were refused by the limit of the workspace.", byWorkspace, nil)
	workspaceBelow = prometheus.NewDesc("pollencart_workspace_refused_below_limit_total",
		"Those of the refused calls for which the limit as a whole was not known to be used up.", byWorkspace, nil)
	workspaceSlots = prometheus.NewDesc("pollencart_workspace_slot_seconds_total",
		"Time that backend servers worked on calls of a workspace, in seconds.", byWorkspace, nil)
)

// Describe implements [prometheus.Collector].
func (w workspaces) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{workspaceCalls, workspaceRefused, workspaceBelow, workspaceSlots} {
		out <- d
	}
}

// Collect implements [prometheus.Collector].
func (w workspaces) Collect(out chan<- prometheus.Metric) {
	counter := func(d *prometheus.Desc, value float64, workspace string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, value, workspace)
	}

	for _, c := range w.Largest() {
		counter(workspaceCalls, float64(c.Calls), c.Workspace)
		counter(workspaceRefused, float64(c.OverLimit), c.Workspace)
		counter(workspaceBelow, float64(c.BelowLimit), c.Workspace)
		counter(workspaceSlots, (time.Duration(c.HeldMs) * time.Millisecond).Seconds(), c.Workspace)
	}
}

// Workspaces returns the counts of the workspaces with the most calls, and the sum of the others.
func (m *Meter) Workspaces() []usage.Count { return m.workspaces.Largest() }
