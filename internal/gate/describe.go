package gate

import (
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/settings"
)

// usualDetail is as long as most details are.
const usualDetail = 192

// answered tells the inputs of the decision on a call that ran, and its outcome.
func answered(c call.Call, a call.Answer, took time.Duration) string {
	b := make([]byte, 0, usualDetail)
	b = timeline.AppendNumber(b, "answered status ", int64(a.Status))

	return string(describe(b, c, a.Load, took))
}

// refused tells the same of a call that was turned away, or of which nobody knows.
func refused(c call.Call, r *call.Refusal, took time.Duration) string {
	b := make([]byte, 0, usualDetail)
	b = append(b, "refused "...)
	b = append(b, r.Ran...)
	b = describe(b, c, r.Load, took)
	b = append(b, " reason "...)

	return string(append(b, r.Fault.Error()...))
}

// describe appends how long the call waited and ran, of the time that it had, and what
// else ran and waited at its end.
func describe(b []byte, c call.Call, l call.Load, took time.Duration) []byte {
	b = append(b, " class "...)
	b = append(b, c.Class...)
	b = timeline.AppendNumber(b, " attempt ", int64(c.Attempt))
	b = timeline.AppendNumber(b, " ms ", took.Milliseconds())
	b = timeline.AppendNumber(b, " waited ", ms(l.Waited))
	b = timeline.AppendNumber(b, " held ", ms(l.Held))
	b = timeline.AppendNumber(b, " remaining ", ms(c.Remaining))
	b = timeline.AppendNumber(b, " running ", int64(l.InFlight))
	b = timeline.AppendNumber(b, " waiting ", int64(l.Queued))
	b = timeline.AppendNumber(b, " slots ", int64(l.Slots))

	if l.Leaving {
		b = append(b, " leaving"...)
	}

	return b
}

func ms(d settings.Duration) int64 { return time.Duration(d).Milliseconds() }
