package sidecar

import (
	"context"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// waitForFirstVersion waits for the first configuration version, which contains the health path, and
// then looks for a running backend server.
func (n *Sidecar) waitForFirstVersion(ctx context.Context) {
	const interval = 20 * time.Millisecond

	for n.holder.Number() == 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}

	n.recorder.Record(event.NodeReady, timeline.Entry{Version: n.holder.Number()})
	n.discovery.Retry()
	n.host.Find(ctx)
}
