package node

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/pollencart/pollencart/internal/credentials"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/invariant"
	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// controlHandler serves operators, the local backend server and metrics.
func (n *Node) controlHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.Use(n.authorize)

	operator.New(
		operator.Acceptor(n.acceptor),
		operator.WithSnapshots(n.holder),
		operator.Fleet(n),
		operator.Host(n.host),
		operator.OnAccepted(n.onAccepted),
	).Register(e)

	if n.config.FaultInjection {
		e.POST("/v1/faults", n.setFaults)
	}

	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", n.readyz)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(n.metrics(), promhttp.HandlerOpts{})))

	return e
}

// errToken rejects requests without a valid operators' token.
var errToken = errs.New("operator.token", http.StatusUnauthorized, "the operators' token is missing or wrong")

// authorize requires the operators' token for paths under /v1/. Health, readiness and
// metrics need no token, nor do announcements of a backend server from this host.
func (n *Node) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		open := !strings.HasPrefix(c.Request().URL.Path, "/v1/")
		announcement := c.Request().URL.Path == "/v1/upstream" && n.fromThisHost(c.Request().RemoteAddr)

		if n.config.OperatorTokenFile == "" || open || announcement ||
			credentials.NewToken(n.config.OperatorTokenFile).Allows(c.Request().Header.Get("Authorization")) {
			return next(c)
		}

		return errToken
	}
}

// fromThisHost reports whether a remote address belongs to this host.
func (n *Node) fromThisHost(remote string) bool {
	from, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}

	own, _, _ := net.SplitHostPort(n.config.ControlAddress)

	return from == own || net.ParseIP(from).IsLoopback()
}

// Faults are the faults that an experiment injects into this node.
type Faults struct {
	// Blocked are peer addresses that this node sends nothing to.
	Blocked []string `json:"Blocked"`
}

func (n *Node) setFaults(c echo.Context) error {
	var in Faults
	if err := c.Bind(&in); err != nil {
		return operator.ErrRequest.Wrap(err)
	}

	n.faults.Block(in.Blocked...)
	n.recorder.Record(event.FaultsInjected, timeline.Entry{Detail: strings.Join(in.Blocked, " ")})

	return c.NoContent(http.StatusNoContent)
}

func (n *Node) onAccepted(v settings.Version) {
	n.recorder.Record(event.VersionAccepted, timeline.Entry{Version: v.Number, Detail: v.AcceptanceID})
	n.propagator.Refresh(context.Background())
}

func (n *Node) readyz(c echo.Context) error {
	if n.draining.Leaving() {
		return c.String(http.StatusServiceUnavailable, "leaving\n")
	}

	if n.holder.Number() == 0 {
		return c.String(http.StatusServiceUnavailable, "no settings held yet\n")
	}

	return c.String(http.StatusOK, "ready\n")
}

func (n *Node) metrics() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(invariant.Collector{})
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))

	for _, m := range []struct {
		name, help string
		value      func() float64
	}{
		{"pollencart_settings_version", "Version in force on this node.", func() float64 { return float64(n.holder.Number()) }},
		{"pollencart_settings_in_force_since_seconds", "When the version came into force here, in Unix time.", func() float64 {
			return float64(n.holder.Active().Since.UnixNano()) / float64(time.Second)
		}},
		{"pollencart_members_live", "Nodes thought to run.", func() float64 { return float64(len(n.table.Live())) }},
		{"pollencart_gate_slots", "Slots of the backend server.", func() float64 { return float64(n.queue.Load().Slots) }},
		{"pollencart_gate_in_flight", "Calls that hold a slot.", func() float64 { return float64(n.queue.Load().InFlight) }},
		{"pollencart_gate_queued", "Calls that wait for a slot.", func() float64 { return float64(n.queue.Load().Queued) }},
		{"pollencart_peer_sent_bytes", "Bytes sent to other nodes.", func() float64 {
			return float64(n.client.Sent.Load() + n.server.Sent.Load())
		}},
		{"pollencart_peer_received_bytes", "Bytes received from other nodes.", func() float64 {
			return float64(n.client.Received.Load() + n.server.Received.Load())
		}},
		{"pollencart_settings_pushes", "Deltas pushed to other nodes.", func() float64 { return float64(n.propagator.Pushes.Load()) }},
		{"pollencart_settings_offers", "Version numbers offered to other nodes.", func() float64 { return float64(n.propagator.Offers.Load()) }},
		{"pollencart_settings_pulls", "Deltas and trees asked of other nodes.", func() float64 { return float64(n.propagator.Pulls.Load()) }},
		{"pollencart_platform_calls", "Calls made to the platform.", func() float64 { return float64(n.store.Calls.Load()) }},
	} {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: m.name, Help: m.help}, m.value))
	}

	for _, g := range n.memory.Gauges() {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: g.Name, Help: g.Help}, g.Value))
	}

	return r
}
