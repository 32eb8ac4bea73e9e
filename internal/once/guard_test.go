package once_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/gate"
	"github.com/pollencart/pollencart/internal/once"
	"github.com/pollencart/pollencart/internal/once/key"
	"github.com/pollencart/pollencart/internal/peer"
)

// brokenGate is a gate whose connections break on each attempt and on the first requests to close
// it.
type brokenGate struct {
	failures   int
	closeCalls int
}

func (g *brokenGate) Do(ctx context.Context, _ string, _ peer.Lane, method string, _, out any) error {
	switch method {
	case once.MethodEpoch:
		*out.(*once.Epoch) = once.Epoch{Epoch: "1"}

		return nil
	case once.MethodClose:
		if g.closeCalls++; g.closeCalls <= g.failures {
			return peer.ErrBroken
		}

		*out.(*once.Closed) = once.Closed{Closed: true}

		return ctx.Err()
	}

	return peer.ErrBroken
}

// upload runs one keyed call against the gate and returns what its refusal says about the run.
func (g *brokenGate) upload(t *testing.T) call.Ran {
	t.Helper()

	h := once.New("a", key.NewBootID(1))
	peers := h.Guard(g)

	_, err := h.Run(t.Context(), keyedCall(h, 1), func(ctx context.Context, c call.Call) (call.Answer, error) {
		var reply gate.Reply
		if err := peers.Do(ctx, "gate", peer.LaneCalls, gate.MethodRun, c, &reply); err != nil {
			return call.Answer{}, err
		}

		return call.Answer{}, reply.Refusal
	})

	var refusal *call.Refusal

	assert.Assert(t, errors.As(err, &refusal), "%v", err)

	return refusal.Ran
}

// All connections to a gate break at once: the one that carries the attempt and the one that
// carries the close request. The gate is alive and never received the attempt, so the outcome must
// be not-run rather than unknown, which would keep the caller from retrying its upload. In the
// timeline the owner records events 502 and 403 within 1 ms and the gate records event 406 2 ms
// later.
func TestCloseRequestIsRetriedAfterBrokenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &brokenGate{failures: 2}

		assert.Equal(t, g.upload(t), call.RanNo)
	})
}

// A gate that stays unreachable leaves the outcome unknown once the close timeout has passed.
func TestOutcomeIsUnknownIfGateNeverConfirmsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &brokenGate{failures: 1 << 20}

		assert.Equal(t, g.upload(t), call.RanUnknown)
	})
}

// runCancelledKey runs a key that hangs until it is cancelled, and returns the refusal and the
// elapsed time.
func runCancelledKey(t *testing.T, send func(ctx context.Context, peers once.Peers, c call.Call) error) (*call.Refusal, time.Duration) {
	t.Helper()

	h := once.New("a", key.NewBootID(1))
	peers := h.Guard(&brokenGate{failures: 1 << 20})

	time.AfterFunc(time.Second, h.CancelRuns)

	start := time.Now()
	_, err := h.Run(t.Context(), keyedCall(h, 1), func(ctx context.Context, c call.Call) (call.Answer, error) {
		err := send(ctx, peers, c)
		<-ctx.Done()

		return call.Answer{}, err
	})

	var refusal *call.Refusal

	assert.Assert(t, errors.As(err, &refusal), "%v", err)

	return refusal, time.Since(start)
}

// A key that hangs during shutdown must not keep its caller waiting until the process exits without
// a reply.
func TestCancelledKeyIsAnsweredWithKnownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, took := runCancelledKey(t, func(context.Context, once.Peers, call.Call) error { return context.Canceled })
		assert.ErrorIs(t, r, once.ErrNotSent)
		assert.Equal(t, r.Ran, call.RanNo)
		assert.Equal(t, took, time.Second)

		r, took = runCancelledKey(t, func(ctx context.Context, peers once.Peers, c call.Call) error {
			var reply gate.Reply

			assert.NilError(t, peers.Do(ctx, "gate", peer.LaneCalls, gate.MethodRun, c, &reply))

			return reply.Refusal
		})
		assert.ErrorIs(t, r, once.ErrGivenUp)
		assert.Equal(t, r.Ran, call.RanUnknown)
		assert.Equal(t, took, time.Second)
	})
}
