package sidecar

import (
	"time"

	"github.com/pollencart/pollencart/internal/slots"
)

func (n *Sidecar) registerGauges() {
	n.registerVersionGauges()
	n.registerCallerGauges()

	for _, g := range []struct {
		name, help string
		value      func() float64
	}{
		{"pollencart_settings_version", "Version in force on this node.", func() float64 { return float64(n.holder.Number()) }},
		{"pollencart_members_live", "Nodes thought to run.", func() float64 { return float64(n.table.CountLive()) }},
		{"pollencart_slots", "Slots of the backend server here.", func() float64 { return float64(n.queue.Load().Slots) }},
		{"pollencart_busy", "Calls that run or wait here.", func() float64 { return float64(n.queue.Busy()) }},
		{
			"pollencart_backend_slowness", "How long work takes on this host at this moment, as a multiple of the usual time; 0 if it is not known.",
			func() float64 { return n.queue.Slowness().Factor },
		},
		{"pollencart_links_down", "Nodes to which no connection can be made now.", func() float64 { return float64(n.client.Down()) }},
		{"pollencart_store_epoch", "Epoch of the platform's store that was heard of last.", func() float64 { return float64(n.epoch.Number()) }},
		{"pollencart_backend_connections_opened", "Connections opened to the backend server.", func() float64 { return float64(n.pool.Opened()) }},
		{
			"pollencart_backend_answers_too_large", "Answers of the backend server that exceeded a limit.",
			func() float64 { return float64(n.pool.TooLarge()) },
		},
		{
			"pollencart_backend_limit", "Limit that the backend server here names, in calls a second; -1 for none.",
			func() float64 { return n.limitOr(-1, func(l slots.Limit) float64 { return l.PerSecond }) },
		},
		{
			"pollencart_backend_limit_seconds", "Time since the backend server here first named a limit; 0 for none.",
			func() float64 {
				return n.limitOr(0, func(l slots.Limit) float64 { return time.Since(l.Since).Seconds() })
			},
		},
		{
			"pollencart_backend_limit_age_seconds", "Time since the newest answer with the limit; 0 for none.",
			func() float64 {
				if notice := n.runner.Notice(); notice != nil && notice.Limited {
					return notice.Age().Seconds()
				}

				return 0
			},
		},
		{
			"pollencart_backend_limit_starts", "Calls started since the backend server here first named a limit; 0 for none.",
			func() float64 { return n.limitOr(0, func(l slots.Limit) float64 { return float64(l.Started) }) },
		},
		{
			"pollencart_backend_limit_rejections", "Calls rejected here because of a limit.",
			func() float64 { return float64(n.queue.Limit().Rejected) },
		},
		{
			"pollencart_fair_share_passed_over", "Calls that others passed here because their workspace was above its fair share.",
			func() float64 { return float64(n.queue.PassedOver()) },
		},
	} {
		n.meter.Gauge(g.name, g.help, g.value)
	}
}

func (n *Sidecar) registerCallerGauges() {
	n.meter.Gauge("pollencart_caller_connections", "Open connections of callers.", func() float64 { return float64(n.ingress.Connections()) })
	n.meter.Gauge("pollencart_body_bytes", "Bytes of the bodies of callers' calls that are not answered.", func() float64 {
		held, _ := n.ingress.Bodies()

		return float64(held)
	})
	n.meter.Gauge("pollencart_bodies_refused", "Calls refused since the bodies of others left no memory for theirs.", func() float64 {
		_, refused := n.ingress.Bodies()

		return float64(refused)
	})
}

func (n *Sidecar) registerVersionGauges() {
	fresh := n.configsync.Freshness()

	n.meter.Gauge("pollencart_settings_missing_version", "Newest version that other nodes have and this one lacks; 0 for none.", func() float64 {
		gap, _ := fresh.Gap()

		return float64(gap.Version)
	})
	n.meter.Gauge("pollencart_settings_missing_seconds", "Time for which this node has lacked a version; 0 for none.", func() float64 {
		if gap, lacks := fresh.Gap(); lacks {
			return time.Since(gap.Since).Seconds()
		}

		return 0
	})
	n.meter.Gauge(
		"pollencart_settings_age_seconds", "Time since the version in force was known to be the store's newest; -1 if it is not known to be.",
		func() float64 {
			if age, ok := fresh.Age(); ok {
				return age.Seconds()
			}

			return -1
		},
	)
}

// limitOr returns a value of the backend server's limit, or another one if there is no limit.
func (n *Sidecar) limitOr(none float64, value func(slots.Limit) float64) float64 {
	if l := n.queue.Limit(); l.Limited {
		return value(l)
	}

	return none
}
