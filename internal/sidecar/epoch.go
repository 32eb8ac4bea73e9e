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

// tellAfter is how long the line of a change waits for an answer that has a revision: the
// first word of it is often another node's, or a refusal, and watchers read anew at once.
const tellAfter = time.Second

// followEpoch tells of each change of the store's epoch until ctx ends.
func (n *Sidecar) followEpoch(ctx context.Context) {
	var telling sync.WaitGroup
	defer telling.Wait()

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
		telling.Go(func() {
			idle.For(ctx, tellAfter)
			n.recorder.Record(event.StoreRestored, timeline.Entry{
				Detail: fmt.Sprintf("epoch %d revision %d before %d revision %d", now, n.store.Reached(now), before, reached),
			})
		})
	}
}
