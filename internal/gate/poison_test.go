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

// refuseAll refuses every request.
type refuseAll struct{}

func (refuseAll) Freshen(context.Context, string) {}

func (refuseAll) Refused(call.Call) error {
	return call.Refuse(poison.ErrRefused, call.RanNo, time.Minute)
}

func (p refuseAll) Begin(_ context.Context, c call.Call) (func(poison.Result) []poison.Crash, error) {
	return nil, p.Refused(c)
}

// A poison request arrives while the queue is closed. The refusal must be the final one
// for the request; a refusal for the closed queue would let the caller and other nodes
// retry it.
func TestPoisonRequestIsRefusedWithClosedQueue(t *testing.T) {
	queue := admission.New(admission.Slots(1))
	queue.Close()

	g := gate.New("a", idle{}, queue).WithSuspects(refuseAll{})

	reply, err := g.Serve(t.Context(), call.Call{ID: "1", Remaining: 1e9})
	assert.NilError(t, err)
	assert.ErrorIs(t, reply.Refusal, poison.ErrRefused)
}
