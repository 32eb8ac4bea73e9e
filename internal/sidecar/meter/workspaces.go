package meter

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pollencart/pollencart/internal/quota"
)

// workspaces collects the calls of the largest workspaces and of the rest, so that the number of label
// values is bounded.
type workspaces struct {
	counts         func() []quota.Count
	calls, refused *prometheus.Desc
}

// Workspaces registers the counters of limited workspaces, which are read at each scrape.
func (m *Meter) Workspaces(counts func() []quota.Count) {
	m.registry.MustRegister(&workspaces{
		counts: counts,
		calls: prometheus.NewDesc(
			"pollencart_workspace_calls_total", "Calls of limited workspaces here: the largest, and the sum of the others.", []string{"Workspace"}, nil,
		),
		refused: prometheus.NewDesc(
			"pollencart_workspace_refused_total", "Those of the calls that were refused by the limit of the workspace.", []string{"Workspace"}, nil,
		),
	})
}

// Describe implements [prometheus.Collector].
func (w *workspaces) Describe(out chan<- *prometheus.Desc) {
	out <- w.calls

	out <- w.refused
}

// Collect implements [prometheus.Collector].
func (w *workspaces) Collect(out chan<- prometheus.Metric) {
	for _, c := range w.counts() {
		out <- prometheus.MustNewConstMetric(w.calls, prometheus.CounterValue, float64(c.Calls), c.Workspace)

		out <- prometheus.MustNewConstMetric(w.refused, prometheus.CounterValue, float64(c.Refused), c.Workspace)
	}
}
