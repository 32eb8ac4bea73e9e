package propagation

import (
	"context"
	"time"

	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/idle"
)

// pollInterval of the baseline.
const pollInterval = time.Second

// poll is the baseline in which every node reads the head from the platform.
func (s *Spreader) poll(ctx context.Context) {
	for ctx.Err() == nil {
		if e, err := s.store.Get(ctx, acceptance.HeadKey); err == nil {
			_ = s.takeHead(ctx, e.Value)
		}

		idle.For(ctx, pollInterval/2+jitter(pollInterval))
	}
}
