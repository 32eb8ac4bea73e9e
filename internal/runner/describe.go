package runner

import (
	"strconv"
	"time"

	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/slots"
)

// describe tells the inputs of the decision on a call, and its outcome.
func describe(in *forward.Request, w slots.Work, reply forward.Reply, took time.Duration) string {
	const usual = 128

	b := make([]byte, 0, usual)
	b = append(b, reply.Result.String()...)
	b = number(b, " status ", int64(reply.Status))
	b = number(b, " rank ", int64(in.Rank))
	b = number(b, " ms ", took.Milliseconds())
	b = number(b, " held ", reply.HeldMs)
	b = number(b, " remaining ", in.RemainingMs)
	b = number(b, " target ", in.TargetMs)
	b = number(b, " running ", int64(reply.Load.Running))
	b = number(b, " waiting ", int64(reply.Load.Waiting))
	b = number(b, " slots ", int64(reply.Load.Slots))

	if w.Nested {
		b = append(b, " nested"...)
	}

	if reply.Reason != "" {
		b = append(b, " reason "...)
		b = append(b, reply.Reason...)
	}

	return string(b)
}

func number(b []byte, name string, value int64) []byte {
	return strconv.AppendInt(append(b, name...), value, 10)
}
