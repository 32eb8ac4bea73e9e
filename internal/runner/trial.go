package runner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/rollout/evidence"
)

// counting reports whether outcomes are counted for a comparison of versions.
func (r *Runner) counting() bool { return r.options.Trial != nil && r.options.Trial.Counting() }

// isBusy reports whether two thirds of the slots are in use. Some versions fail under load only.
func (r *Runner) isBusy() bool {
	if !r.counting() {
		return false
	}

	l := r.options.Queue.Load()

	return 3*l.Running >= 2*l.Slots
}

// count counts what a call came to. Calls that did not run or that their caller canceled say
// nothing of the version, and service times say nothing while the backend server is cold.
func (r *Runner) count(ctx context.Context, in *forward.Request, reply forward.Reply, serviceTime time.Duration, busy bool) {
	if !r.counting() {
		return
	}

	o := evidence.Outcome{Route: in.Route, Busy: busy, Took: serviceTime}

	if time.Now().Before(r.options.Host.State().Cold) {
		o.Took = 0
	}

	switch reply.Result {
	case forward.Answered:
		o.Failed = reply.Status >= http.StatusInternalServerError
	case forward.Lost:
		if errors.Is(ctx.Err(), context.Canceled) {
			return
		}

		// At the deadline, a call counts as failed if it had more time than it was meant to take.
		o.Failed = ctx.Err() == nil || serviceTime > in.Target()
	case forward.Refused, forward.Shed, forward.Suspected:
		return
	}

	r.options.Trial.Add(o)
}
