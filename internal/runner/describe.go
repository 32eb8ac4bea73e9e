package runner

import (
	"strconv"
	"time"

	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/slots"
	"github.com/pollencart/pollencart/internal/timeline"
)

// shareDecimals is the precision of a workspace's share in lines.
const shareDecimals = 3

// describe formats the inputs and the outcome of a call as the Detail of its event.
func (r *Runner) describe(in *forward.Request, w slots.Work, reply forward.Reply, took time.Duration) string {
	const typicalSize = 128

	b := make([]byte, 0, typicalSize)
	b = append(b, reply.Result.String()...)
	b = timeline.AppendNumber(b, " status ", int64(reply.Status))
	b = timeline.AppendNumber(b, " rank ", int64(in.Rank))
	b = timeline.AppendNumber(b, " ms ", took.Milliseconds())
	b = timeline.AppendNumber(b, " held ", reply.HeldMs)
	b = timeline.AppendNumber(b, " remaining ", in.RemainingMs)
	b = timeline.AppendNumber(b, " target ", in.TargetMs)
	b = timeline.AppendNumber(b, " running ", int64(reply.Load.Running))
	b = timeline.AppendNumber(b, " waiting ", int64(reply.Load.Waiting))
	b = timeline.AppendNumber(b, " slots ", int64(reply.Load.Slots))

	if w.Nested {
		b = append(b, " nested"...)
	}

	if w.Workspace != "" {
		b = append(b, " workspace "+w.Workspace+" share "+strconv.FormatFloat(r.options.Queue.Share(w.Workspace), 'f', shareDecimals, 64)...)
	}

	if l := r.options.Queue.Limit(); l.Limited {
		b = append(b, " limit "+strconv.FormatFloat(l.PerSecond, 'g', -1, 64)...)
		b = timeline.AppendNumber(b, " limited ms ", time.Since(l.Since).Milliseconds())
		b = timeline.AppendNumber(b, " started ", int64(l.Started))
	}

	if s := r.options.Queue.Slowness(); s.Factor > 0 {
		b = append(b, " slowness "+strconv.FormatFloat(s.Factor, 'g', -1, 64)...)
		b = timeline.AppendNumber(b, " age ms ", s.Age.Milliseconds())
	}

	if reply.Reason != "" {
		b = append(b, " reason "...)
		b = append(b, reply.Reason...)
	}

	return string(b)
}
