package gate

import (
	"context"
	"errors"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/once/attempt"
)

// Starts tracks attempts that must start at most once.
type Starts interface {
	Start(t call.Ticket) error
	Close(t call.Ticket) bool
}

// WithStarts sets the tracker of attempts.
func (g *Gate) WithStarts(s Starts) *Gate {
	g.starts = s

	return g
}

// closeUnstarted closes an attempt that is rejected before it starts. The refusal reports
// to the key's owner node that the attempt did not run, so the same attempt must not
// start later.
func (g *Gate) closeUnstarted(next call.Handler) call.Handler {
	return func(ctx context.Context, c call.Call) (call.Answer, error) {
		a, err := next(ctx, c)
		if err == nil || c.Ticket == nil {
			return a, err
		}

		var r *call.Refusal
		if errors.As(err, &r) && r.Ran == call.RanNo {
			g.starts.Close(*c.Ticket)
		}

		return a, err
	}
}

// startOnce starts each attempt at most once, and not after the key's owner node has
// closed it. It comes after the queue, so that an attempt can still be closed while it
// waits.
func (g *Gate) startOnce(next call.Handler) call.Handler {
	return func(ctx context.Context, c call.Call) (call.Answer, error) {
		if c.Ticket == nil {
			return next(ctx, c)
		}

		if err := g.starts.Start(*c.Ticket); err != nil {
			return call.Answer{}, call.Refuse(err, ranAfterRefusedStart(err), time.Second)
		}

		return next(ctx, c)
	}
}

// ranAfterRefusedStart returns whether the attempt may have run, from the error of its
// refused start.
func ranAfterRefusedStart(err error) call.Ran {
	if errors.Is(err, attempt.ErrEpoch) || errors.Is(err, attempt.ErrClosed) {
		return call.RanNo
	}

	return call.RanUnknown
}
