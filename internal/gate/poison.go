package gate

import (
	"context"
	"errors"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/poison"
	"github.com/pollencart/pollencart/internal/upstream"
)

// Suspects evaluates requests that were in flight when a backend server crashed.
type Suspects interface {
	Freshen(ctx context.Context, service string)
	Refused(c call.Call) error
	Begin(ctx context.Context, c call.Call) (end func(poison.Result) []poison.Crash, err error)
}

// WithSuspects sets the evaluation of requests.
func (g *Gate) WithSuspects(s Suspects) *Gate {
	g.suspects = s

	return g
}

// noSuspects allows every request.
type noSuspects struct{}

func (noSuspects) Freshen(context.Context, string) {}

func (noSuspects) Refused(call.Call) error { return nil }

func (noSuspects) Begin(context.Context, call.Call) (func(poison.Result) []poison.Crash, error) {
	return func(poison.Result) []poison.Crash { return nil }, nil
}

// refuseSuspects comes before the queue, so that a call that waits for reports of other
// gates holds no slot, and a request that is refused anyway waits for none.
func (g *Gate) refuseSuspects(next call.Handler) call.Handler {
	return func(ctx context.Context, c call.Call) (call.Answer, error) {
		if !g.queue.Load().Leaving {
			g.suspects.Freshen(ctx, c.Service)
		}

		if err := g.suspects.Refused(c); err != nil {
			return call.Answer{}, err
		}

		return next(ctx, c)
	}
}

// runSuspects comes after the queue, so that reports received while the call waited
// count, and before the start of a keyed attempt, which can't be undone.
func (g *Gate) runSuspects(next call.Handler) call.Handler {
	return func(ctx context.Context, c call.Call) (call.Answer, error) {
		end, err := g.suspects.Begin(ctx, c)
		if err != nil {
			return call.Answer{}, err
		}

		pending := true

		defer func() {
			if pending { // a panic
				end(poison.Lost)
			}
		}()

		a, err := next(ctx, c)
		pending = false
		crashes := end(resultOf(err))

		var r *call.Refusal
		if errors.As(err, &r) && len(crashes) > 0 {
			err = r.WithCrashes(crashes)
		}

		return a, err
	}
}

func resultOf(err error) poison.Result {
	switch {
	case err == nil, errors.Is(err, upstream.ErrTooLarge):
		return poison.Finished
	case errors.Is(err, upstream.ErrCrashed):
		return poison.Crashed
	case errors.Is(err, upstream.ErrBrokenOff):
		return poison.BrokenOff
	case errors.Is(err, upstream.ErrUnreached):
		return poison.Down
	}

	return poison.Lost
}
