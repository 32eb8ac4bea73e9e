// Package meter collects the metrics of a sidecar and serves them over HTTP.
//
//	m := meter.New()
//	http.Handle("/metrics", m.Handler())
package meter

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/pollencart/pollencart/internal/dispatch"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/invariant"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/workspace/usage"
	"github.com/pollencart/pollencart/pkg/errs"
)

// buckets returns histogram buckets in seconds around the latency targets and timeouts of calls.
func buckets() []float64 {
	return []float64{0.005, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.8, 1.2, 2, 3}
}

// Meter holds the metrics of one process.
type Meter struct {
	registry  *prometheus.Registry
	calls     *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	sends     prometheus.Counter
	contacted prometheus.Counter
	// undelivered counts responses that could not be sent to a caller that still waited.
	undelivered  prometheus.Counter
	runs         *prometheus.CounterVec
	queueTime    prometheus.Histogram
	serviceTime  *prometheus.HistogramVec
	storeCalls   *prometheus.HistogramVec
	epochChanges prometheus.Counter
	retries      *prometheus.CounterVec
	messages     *prometheus.CounterVec
	bytes        *prometheus.CounterVec
	versionRuns  *prometheus.CounterVec
	unknownKeys  prometheus.Counter
	dropped      prometheus.Counter
	workspaces   *usage.Usage
}

// New returns a meter with its metrics registered and all counters at zero.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(), workspaces: usage.New(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollencart_calls_total", Help: "Calls of callers by route, status and reason of an own answer.",
		}, []string{"Route", "Status", "Own"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pollencart_call_seconds", Help: "Time from a call's last byte to its answer, in seconds.", Buckets: buckets(),
		}, []string{"Route"}),
		sends:     prometheus.NewCounter(prometheus.CounterOpts{Name: "pollencart_sends_total", Help: "Times calls reached a backend server."}),
		contacted: prometheus.NewCounter(prometheus.CounterOpts{Name: "pollencart_asks_total", Help: "Times a node was asked to run a call."}),
		undelivered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollencart_undelivered_total", Help: "Answers that could not be sent to callers that waited for them.",
		}),
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollencart_runs_total", Help: "Calls of any node for the backend server here, by result.",
		}, []string{"Result"}),
		queueTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "pollencart_queue_seconds", Help: "Time that calls waited for a slot here, in seconds.", Buckets: buckets(),
		}),
		serviceTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pollencart_run_seconds", Help: "Time that the backend server here took, in seconds.", Buckets: buckets(),
		}, []string{"Route"}),
		storeCalls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pollencart_store_seconds", Help: "Calls to the platform's store by kind and outcome, in seconds.", Buckets: buckets(),
		}, []string{"Call", "Outcome"}),
		epochChanges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollencart_store_epoch_changes_total", Help: "Times that the platform's store came back from an older copy.",
		}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollencart_repeats_total", Help: "Calls that another backend server might have answered, by whether the budget allowed it.",
		}, []string{"Service", "Allowed"}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollencart_messages_total", Help: "Requests to other nodes that were answered, by method and whether in the own failure domain.",
		}, []string{"Method", "Near"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollencart_message_bytes_total", Help: "Bytes of the bodies of these requests and their answers, both ways.",
		}, []string{"Method", "Near"}),
		versionRuns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollencart_version_runs_total", Help: "Calls that the backend server here ran during a roll-out of its service, by version.",
		}, []string{"Version", "Failed"}),
		unknownKeys: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollencart_unknown_keys_total", Help: "Calls that were refused because their key is not known.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollencart_answers_dropped_total", Help: "Answers of other nodes that were dropped for lack of memory.",
		}),
	}
	m.registry.MustRegister(m.calls, m.latency, m.sends, m.contacted, m.undelivered, m.runs, m.queueTime, m.serviceTime, m.storeCalls,
		m.epochChanges, m.retries, m.messages, m.bytes, m.versionRuns, m.unknownKeys, m.dropped, workspaces{m.workspaces},
		invariant.Collector{}, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))

	return m
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *Meter) Gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// Answered records the outcome of a call from a caller.
func (m *Meter) Answered(o dispatch.Outcome) {
	m.calls.WithLabelValues(o.Route, strconv.Itoa(o.Status), strconv.FormatBool(o.Reason != "")).Inc()
	m.latency.WithLabelValues(o.Route).Observe(o.Took.Seconds())
	m.sends.Add(float64(o.Sent))
	m.contacted.Add(float64(o.Asked))

	if o.KeyRefused {
		m.unknownKeys.Inc()
	}

	if o.Workspace != "" {
		m.workspaces.Add(usage.Call{Workspace: o.Workspace, OverLimit: o.OverLimit, BelowLimit: o.BelowLimit, Held: o.Held})
	}
}

// AnswerDropped counts an answer of another node that was dropped for lack of memory.
func (m *Meter) AnswerDropped() { m.dropped.Inc() }

// Undelivered counts a response that could not be sent to a caller that still waited.
func (m *Meter) Undelivered() { m.undelivered.Inc() }

// Ran records a call to the local backend server.
func (m *Meter) Ran(route string, r forward.Result, queueTime, serviceTime time.Duration) {
	m.runs.WithLabelValues(r.String()).Inc()
	m.queueTime.Observe(queueTime.Seconds())

	if r == forward.Answered {
		m.serviceTime.WithLabelValues(route).Observe(serviceTime.Seconds())
	}
}

// RanVersion records a call to the local backend server during a roll-out of its service.
func (m *Meter) RanVersion(version string, failed bool) {
	m.versionRuns.WithLabelValues(version, strconv.FormatBool(failed)).Inc()
}

// Exchanged records a request to another node and its response; near means the same failure domain.
func (m *Meter) Exchanged(e peer.Exchange, near bool) {
	nearLabel := strconv.FormatBool(near)
	m.messages.WithLabelValues(e.Method, nearLabel).Inc()
	m.bytes.WithLabelValues(e.Method, nearLabel).Add(float64(e.Sent + e.Got))
}

// StoreCalled records a call to the store.
func (m *Meter) StoreCalled(call string, took time.Duration, err error) {
	m.storeCalls.WithLabelValues(call, outcomeLabel(err)).Observe(took.Seconds())
}

// Restored counts a store restored from an older copy.
func (m *Meter) Restored() { m.epochChanges.Inc() }

// outcomeLabel returns the ID of an error. IDs come from a fixed set, so the number of label values is
// bounded.
func outcomeLabel(err error) string {
	var known *errs.Error

	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &known):
		return known.ID
	}

	return "other"
}

// Repeated counts a call that could be retried on another backend server, and whether the retry
// budget allowed the retry.
func (m *Meter) Repeated(service string, allowed bool) {
	m.retries.WithLabelValues(service, strconv.FormatBool(allowed)).Inc()
}

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
