package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/internal/notice"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Instance sets the start of the backend server that calls go to from now on. What an earlier one said
// no longer holds.
func (r *Runner) Instance(instance string, started int64) {
	r.noticeChange.Lock()
	defer r.noticeChange.Unlock()

	r.notices.Reset(instance, started)

	if n := r.Notice(); n == nil || !n.Limited {
		r.options.Queue.ClearLimit()
	}
}

// Notice returns what the backend server says of itself, or nil if it is neither limited nor leaving.
func (r *Runner) Notice() *forward.Notice { return r.notices.Current(time.Now()) }

// listener returns a function that takes in what the backend server says in its answer to a call.
func (r *Runner) listener(id, instance string, sent time.Time) func(header.Signals) {
	return func(s header.Signals) {
		if s.Load.Slowness > 0 {
			r.options.Queue.SetSlowness(s.Load.Slowness)
		}

		if s.Invalid != "" {
			r.options.Recorder.Once(event.LimitInvalid, timeline.Entry{Call: id, Detail: instance + " limit " + s.Invalid})
		}

		r.follow(id, "answer", func() (notice.Change, bool) { return r.notices.Heard(instance, sent, time.Now(), s) })
	}
}

// told takes in what the sender of a call knows of the backend server.
func (r *Runner) told(in *forward.Request) {
	if in.Notice != nil {
		source := fmt.Sprintf("node, age ms %d", in.Notice.AgeMs)

		r.follow(in.ID, source, func() (notice.Change, bool) { return r.notices.Told(in.Notice, time.Now()) })
	}
}

// follow lets the queue and the host follow what was learned with a call.
func (r *Runner) follow(id, source string, learn func() (notice.Change, bool)) {
	r.noticeChange.Lock()

	change, ok := learn()
	if ok {
		r.limit(id, source, change.Before, change.After)
	}

	r.noticeChange.Unlock()

	if after := change.After; ok && after.Leaving && !change.Before.Leaving {
		r.options.Recorder.Record(event.LeavingLearned, timeline.Entry{Call: id, Detail: after.Instance + ", from " + source})
		r.options.Host.Withdraw(context.Background(), after.Instance, after.Started)
	}
}

// limit lets the queue follow a changed limit.
func (r *Runner) limit(id, source string, before, after forward.Notice) {
	switch {
	case after.Limited && (!before.Limited || after.Limit != before.Limit):
		r.options.Queue.SetLimit(after.Limit)
		r.options.Recorder.Record(event.LimitNamed, timeline.Entry{Call: id, Detail: fmt.Sprintf(
			"%s limit %g, before %g, from %s", after.Instance, after.Limit, before.Limit, source,
		)})
	case before.Limited && !after.Limited:
		limit := r.options.Queue.Limit()
		r.options.Queue.ClearLimit()
		r.options.Recorder.Record(event.LimitEnded, timeline.Entry{Call: id, Detail: fmt.Sprintf(
			"%s limit %g, after ms %d, started %d, from %s", after.Instance, before.Limit, time.Since(limit.Since).Milliseconds(), limit.Started, source,
		)})
	}
}
