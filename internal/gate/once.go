package gate

import (
	"context"
	"errors"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/once/attempt"
)

// Starts is the gate's memory of attempts that must start at most once.
type Starts interface {
	Start(t call.Ticket) error
	Close(t call.Ticket) bool
}

// WithStarts sets the memory of attempts.
func (g *Gate) WithStarts(s Starts) *Gate {
	g.starts = s

	return g
}

// settled closes an attempt that is turned away before it started: its home is
// told that it did not run, so that it must not start when it comes again.
func (g *Gate) settled(next call.Handler) call.Handler {
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

// start lets an attempt through once, and not after its home closed it. It comes
// after the queue, so that an attempt that still waits there can be closed.
func (g *Gate) start(next call.Handler) call.Handler {
	return func(ctx context.Context, c call.Call) (call.Answer, error) {
		if c.Ticket == nil {
			return next(ctx, c)
		}

		if err := g.starts.Start(*c.Ticket); err != nil {
			return call.Answer{}, call.Refuse(err, ranBefore(err), time.Second)
		}

		return next(ctx, c)
	}
}

// ranBefore says what a refused start means for the attempt.
func ranBefore(err error) call.Ran {
	if errors.Is(err, attempt.ErrEpoch) || errors.Is(err, attempt.ErrClosed) {
		return call.RanNo
	}

	return call.RanUnknown
}
