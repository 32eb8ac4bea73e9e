// Package meter counts what a sidecar does, for the metrics address.
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
	"github.com/pollencart/pollencart/pkg/errs"
)

// buckets of latencies in seconds, around the targets and timeouts of calls.
func buckets() []float64 {
	return []float64{0.005, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.8, 1.2, 2, 3}
}

// Meter holds the counters of one process.
type Meter struct {
	registry *prometheus.Registry
	calls    *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	sent     prometheus.Counter
	asked    prometheus.Counter
	// undelivered counts answers that callers waited for and did not get.
	undelivered prometheus.Counter
	ran         *prometheus.CounterVec
	waited      prometheus.Histogram
	held        *prometheus.HistogramVec
	store       *prometheus.HistogramVec
	epochs      prometheus.Counter
	repeats     *prometheus.CounterVec
	messages    *prometheus.CounterVec
	bytes       *prometheus.CounterVec
}

// New returns a meter that has counted nothing.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollencart_calls_total", Help: "Calls of callers by route, status and reason of an own answer.",
		}, []string{"Route", "Status", "Own"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pollencart_call_seconds", Help: "Time from a call's last byte to its answer, in seconds.", Buckets: buckets(),
		}, []string{"Route"}),
		sent:  prometheus.NewCounter(prometheus.CounterOpts{Name: "pollencart_sends_total", Help: "Times calls reached a backend server."}),
		asked: prometheus.NewCounter(prometheus.CounterOpts{Name: "pollencart_asks_total", Help: "Times a node was asked to run a call."}),
		undelivered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollencart_undelivered_total", Help: "Answers that could not be sent to callers that waited for them.",
		}),
		ran: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollencart_runs_total", Help: "Calls of any node for the backend server here, by result.",
		}, []string{"Result"}),
		waited: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "pollencart_queue_seconds", Help: "Time that calls waited for a slot here, in seconds.", Buckets: buckets(),
		}),
		held: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pollencart_run_seconds", Help: "Time that the backend server here took, in seconds.", Buckets: buckets(),
		}, []string{"Route"}),
		store: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pollencart_store_seconds", Help: "Calls to the platform's store by kind and outcome, in seconds.", Buckets: buckets(),
		}, []string{"Call", "Outcome"}),
		epochs: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pollencart_store_epoch_changes_total", Help: "Times that the platform's store came back from an older copy.",
		}),
		repeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollencart_repeats_total", Help: "Calls that another backend server might have answered, by whether the budget allowed it.",
		}, []string{"Service", "Allowed"}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollencart_messages_total", Help: "Requests to other nodes that were answered, by method and whether in the own failure domain.",
		}, []string{"Method", "Near"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollencart_message_bytes_total", Help: "Bytes of the bodies of these requests and their answers, both ways.",
		}, []string{"Method", "Near"}),
	}
	m.registry.MustRegister(m.calls, m.latency, m.sent, m.asked, m.undelivered, m.ran, m.waited, m.held, m.store, m.epochs,
		m.repeats, m.messages, m.bytes, invariant.Collector{}, collectors.NewGoCollector())

	return m
}

// Gauge adds a value that is asked for when the metrics are read.
func (m *Meter) Gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// Answered counts what a caller got.
func (m *Meter) Answered(o dispatch.Outcome) {
	m.calls.WithLabelValues(o.Route, strconv.Itoa(o.Status), strconv.FormatBool(o.Reason != "")).Inc()
	m.latency.WithLabelValues(o.Route).Observe(o.Took.Seconds())
	m.sent.Add(float64(o.Sent))
	m.asked.Add(float64(o.Asked))
}

// Undelivered counts an answer that a caller waited for and did not get.
func (m *Meter) Undelivered() { m.undelivered.Inc() }

// Ran counts a call for the backend server of this host.
func (m *Meter) Ran(route string, r forward.Result, waited, held time.Duration) {
	m.ran.WithLabelValues(r.String()).Inc()
	m.waited.Observe(waited.Seconds())

	if r == forward.Answered {
		m.held.WithLabelValues(route).Observe(held.Seconds())
	}
}

// Exchanged counts a request to another node, and its answer.
func (m *Meter) Exchanged(e peer.Exchange, near bool) {
	where := strconv.FormatBool(near)
	m.messages.WithLabelValues(e.Method, where).Inc()
	m.bytes.WithLabelValues(e.Method, where).Add(float64(e.Sent + e.Got))
}

// Called counts a call to the store.
func (m *Meter) Called(call string, took time.Duration, err error) {
	m.store.WithLabelValues(call, outcome(err)).Observe(took.Seconds())
}

// Restored counts that the store came back from an older copy.
func (m *Meter) Restored() { m.epochs.Inc() }

// outcome names an error by its ID: there are few of them.
func outcome(err error) string {
	var known *errs.Error

	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &known):
		return known.ID
	}

	return "other"
}

// Repeated counts a call that might be sent to another backend server.
func (m *Meter) Repeated(service string, allowed bool) {
	m.repeats.WithLabelValues(service, strconv.FormatBool(allowed)).Inc()
}

// Handler serves the metrics as text.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
