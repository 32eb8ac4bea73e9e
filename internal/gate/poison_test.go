package gate_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/gate"
	"github.com/pollencart/pollencart/internal/poison"
)

// idle runs nothing.
type idle struct{}

func (idle) Run(context.Context, call.Call) (call.Answer, error) { return call.Answer{}, nil }

// poisoned refuses every request.
type poisoned struct{}

func (poisoned) Freshen(context.Context, string) {}

func (poisoned) Refused(call.Call) error {
	return call.Refuse(poison.ErrRefused, call.RanNo, time.Minute)
}

func (p poisoned) Begin(_ context.Context, c call.Call) (func(poison.Result) []poison.Crash, error) {
	return nil, p.Refused(c)
}

// A request has ended two backend servers, and its caller presses the button again while
// the others are full or just starting. The node knows that it will not run it; told only
// that there is no slot, the caller came back after a moment, and other nodes were asked.
func TestAPoisonRequestIsRefusedBesideAClosedQueue(t *testing.T) {
	queue := admission.New(admission.Slots(1))
	queue.Close()

	g := gate.New("a", idle{}, queue).WithSuspects(poisoned{})

	reply, err := g.Serve(t.Context(), call.Call{ID: "1", Remaining: 1e9})
	assert.NilError(t, err)
	assert.ErrorIs(t, reply.Refusal, poison.ErrRefused)
}
