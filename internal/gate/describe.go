package gate

import (
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/settings"
)

// detailCapacity fits most details without another allocation.
const detailCapacity = 192

// describeAnswer returns the log detail of a call that ran.
func describeAnswer(c call.Call, a call.Answer, took time.Duration) string {
	b := make([]byte, 0, detailCapacity)
	b = timeline.AppendNumber(b, "answered status ", int64(a.Status))

	return string(appendCall(b, c, a.Load, took))
}

// describeRefusal returns the log detail of a call that was rejected or whose outcome is
// unknown.
func describeRefusal(c call.Call, r *call.Refusal, took time.Duration) string {
	b := make([]byte, 0, detailCapacity)
	b = append(b, "refused "...)
	b = append(b, r.Ran...)
	b = appendCall(b, c, r.Load, took)
	b = append(b, " reason "...)

	return string(append(b, r.Fault.Error()...))
}

// appendCall appends the times of the call and the load of the gate at its end.
func appendCall(b []byte, c call.Call, l call.Load, took time.Duration) []byte {
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
