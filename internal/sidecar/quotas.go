package sidecar

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/pollencart/pollencart/internal/quota"
	"github.com/pollencart/pollencart/internal/quota/ledger"
	"github.com/pollencart/pollencart/internal/sidecar/config"
)

// initQuotas creates the component that keeps the limits of workspaces.
func (n *Sidecar) initQuotas() {
	b := n.config.Bounds
	if b.QuotaWindowSeconds == 0 {
		return
	}

	n.quotas = quota.New(quota.Options{
		Bound:  ledger.Bound{Window: config.Seconds(b.QuotaWindowSeconds), Overage: b.QuotaOverage, Slack: b.QuotaSlack},
		Tables: n.holder, Members: n.table, Peers: n.client, Recorder: n.recorder, Leaving: n.draining.Leaving,
		Search: n.discovery,
	})
	n.quotas.Register(n.server)
	n.meter.Gauge("pollencart_quota_homes_lost", "Homes of limits that do not answer this node.", func() float64 {
		return float64(n.quotas.Lost())
	})
}

// registerLimits serves the use of the limits that this node is the home of.
func (n *Sidecar) registerLimits(e *echo.Echo) {
	if n.quotas == nil {
		return
	}

	e.GET(quota.UsesPath, func(c echo.Context) error { return c.JSON(http.StatusOK, n.quotas.Uses()) })
}
