package runner

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/pollencart/pollencart/internal/announce"
	"github.com/pollencart/pollencart/internal/backend"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/poison"
	"github.com/pollencart/pollencart/internal/timeline"
)

// classify returns the reply for the call with the ID, which was sent to the backend server.
func (r *Runner) classify(ctx context.Context, id string, s announce.State, a backend.Answer, err error) (forward.Reply, poison.Result) {
	switch {
	case errors.Is(err, backend.ErrDown):
		r.options.Host.Down(s.Instance)

		return refused(forward.ReasonNone, downRetryAfter), poison.Down
	case errors.Is(err, backend.ErrBusy):
		return refused(err.Error(), downRetryAfter), poison.Lost
	case errors.Is(err, backend.ErrTooLarge):
		r.options.Recorder.Record(event.AnswerTooLarge, timeline.Entry{Call: id, Detail: err.Error()})

		return forward.Reply{Result: forward.Lost, Reason: err.Error()}, poison.Lost
	case err != nil:
		return r.classifyLost(ctx, s, err)
	case a.Other:
		r.options.Pool.CloseIdle()
		r.options.Host.Replaced(s.Instance)

		return refused(forward.ReasonNone, downRetryAfter), poison.Down
	case a.NotRun:
		return forward.Reply{Result: forward.Shed, Reason: "the backend server turned it away", RetryMs: retryAfter(a).Milliseconds()}, poison.Lost
	}

	return forward.Reply{Result: forward.Answered, Status: a.Status, Header: a.Header, Body: a.Body}, poison.Finished
}

// retryAfter returns the retry delay after the backend server shed a call: the one that its answer
// names in seconds, if any.
func retryAfter(a backend.Answer) time.Duration {
	for _, f := range a.Header {
		if seconds, err := strconv.ParseFloat(f.Value, 64); err == nil && seconds > 0 && strings.EqualFold(f.Name, "Retry-After") {
			return max(time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)), shedRetryAfter)
		}
	}

	return shedRetryAfter
}

// classifyLost determines whether the backend server crashed while it ran the call. If its
// address refuses connections, the process has terminated. After a canceled call, or a broken
// connection while the address accepts new ones, a crash shows only later.
func (r *Runner) classifyLost(ctx context.Context, s announce.State, err error) (forward.Reply, poison.Result) {
	reply := forward.Reply{Result: forward.Lost, Reason: err.Error()}

	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return reply, poison.BrokenOff
	case ctx.Err() != nil:
		return reply, poison.Lost
	case r.options.Pool.Listens(ctx):
		return reply, poison.BrokenOff
	}

	r.options.Host.Down(s.Instance)

	return reply, poison.Crashed
}
