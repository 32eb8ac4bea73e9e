package gate

import (
	"context"
	"errors"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/poison"
	"github.com/pollencart/pollencart/internal/upstream"
)

// Suspects judges requests that were running when a backend server crashed.
type Suspects interface {
	Freshen(ctx context.Context, service string)
	Refused(c call.Call) error
	Begin(ctx context.Context, c call.Call) (end func(poison.Result) []poison.Crash, err error)
}

// WithSuspects sets who judges requests.
func (g *Gate) WithSuspects(s Suspects) *Gate {
	g.suspects = s

	return g
}

// noSuspects lets every request through.
type noSuspects struct{}

func (noSuspects) Freshen(context.Context, string) {}

func (noSuspects) Refused(call.Call) error { return nil }

func (noSuspects) Begin(context.Context, call.Call) (func(poison.Result) []poison.Crash, error) {
	return func(poison.Result) []poison.Crash { return nil }, nil
}

// refuseSuspects comes before the queue, so that no slot is held by a call that waits for
// what other gates know, and no request that is refused in any case waits for one.
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

// judge comes after the queue, so that what was learned while the call waited
// counts, and before the start of a keyed attempt, which can't be taken back.
func (g *Gate) judge(next call.Handler) call.Handler {
	return func(ctx context.Context, c call.Call) (call.Answer, error) {
		end, err := g.suspects.Begin(ctx, c)
		if err != nil {
			return call.Answer{}, err
		}

		a, err := next(ctx, c)
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
