package sidecar

import (
	"context"
	"fmt"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// followEpoch tells of each change of the store's epoch until ctx ends.
func (n *Sidecar) followEpoch(ctx context.Context) {
	for changed := n.epoch.Changed(); ; {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}

		changed = n.epoch.Changed()
		now, before := n.epoch.Number(), n.epoch.Before()

		n.meter.Restored()
		n.recorder.Record(event.StoreRestored, timeline.Entry{
			Detail: fmt.Sprintf("epoch %d revision %d before %d revision %d", now, n.store.Reached(now), before, n.store.Reached(before)),
		})
	}
}
