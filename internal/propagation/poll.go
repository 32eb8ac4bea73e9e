package propagation

import (
	"context"
	"time"

	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/idle"
)

// pollInterval is the mean interval of StrategyPoll.
const pollInterval = time.Second

// poll implements StrategyPoll: every node reads the head from the platform.
func (s *Propagator) poll(ctx context.Context) {
	for ctx.Err() == nil {
		if e, err := s.store.Get(ctx, acceptance.HeadKey); err == nil {
			_ = s.applyHead(ctx, e.Value)
		}

		idle.For(ctx, pollInterval/2+jitter(pollInterval))
	}
}
