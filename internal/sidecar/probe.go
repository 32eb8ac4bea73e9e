package sidecar

import (
	"context"

	"github.com/pollencart/pollencart/internal/backend"
)

// probe checks the health of the backend server, which reports its instance and the slowness of the host.
func (n *Sidecar) probe(ctx context.Context) backend.Health {
	h := n.pool.Probe(ctx, n.healthPath())
	if h.Slowness > 0 {
		n.queue.SetSlowness(h.Slowness)
	}

	return h
}

// defaultHealthPath is used if the active version names no health path for the service, or no version
// is stored.
const defaultHealthPath = "/health"

func (n *Sidecar) healthPath() string {
	if t := n.holder.Load(); t != nil {
		if s, ok := t.Service(n.config.Service); ok && s.HealthPath != "" {
			return s.HealthPath
		}
	}

	return defaultHealthPath
}
