package sidecar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/timeline"
)

// reportDelay is how long the report of an epoch change waits for a store response that has a
// revision. The change is often learned from another node or a rejected request, without a
// revision, and watchers read again at once.
const reportDelay = time.Second

// reportEpochChanges records each change of the store's epoch until ctx ends.
func (n *Sidecar) reportEpochChanges(ctx context.Context) {
	var reports sync.WaitGroup
	defer reports.Wait()

	for changed := n.epoch.Changed(); ; {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}

		changed = n.epoch.Changed()
		now, before := n.epoch.Number(), n.epoch.Before()
		reached := n.store.Reached(before)

		n.meter.Restored()
		reports.Go(func() {
			idle.For(ctx, reportDelay)
			n.recorder.Record(event.StoreRestored, timeline.Entry{
				Detail: fmt.Sprintf("epoch %d revision %d before %d revision %d", now, n.store.Reached(now), before, reached),
			})
		})
	}
}
