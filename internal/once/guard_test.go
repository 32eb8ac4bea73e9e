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

// closingGate is a gate whose connections broke; as many questions about the attempt as
// are given get no answer on them either.
type closingGate struct {
	breaks int
	asked  int
}

func (g *closingGate) Do(ctx context.Context, _ string, _ peer.Lane, method string, _, out any) error {
	switch method {
	case once.MethodEpoch:
		*out.(*once.Epoch) = once.Epoch{Epoch: "1"}

		return nil
	case once.MethodClose:
		if g.asked++; g.asked <= g.breaks {
			return peer.ErrBroken
		}

		*out.(*once.Closed) = once.Closed{Closed: true}

		return ctx.Err()
	}

	return peer.ErrBroken
}

// upload sends a call through a home to the gate.
func (g *closingGate) upload(t *testing.T) call.Ran {
	t.Helper()

	h := once.New("a", key.NewLife(1))
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

// The connections to a gate break all at once, that of the upload and the one on which the
// gate is then asked whether the upload was started. The gate is well and has not seen it;
// the caller was told that nobody knows, and could not send its upload again. The home's
// lines have 502 and 403 in one millisecond, the gate's 406 two milliseconds later.
func TestAGateIsAskedAgainWhetherItStartedAnAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &closingGate{breaks: 2}

		assert.Equal(t, g.upload(t), call.RanNo)
	})
}

// A gate that can't be asked at all is given up soon, and nobody knows.
func TestAGateThatNeverTellsLeavesAnAttemptUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &closingGate{breaks: 1 << 20}

		assert.Equal(t, g.upload(t), call.RanUnknown)
	})
}

// givenUp runs a key that hangs and is given up, and returns the refusal and how long it took.
func givenUp(t *testing.T, send func(ctx context.Context, peers once.Peers, c call.Call) error) (*call.Refusal, time.Duration) {
	t.Helper()

	h := once.New("a", key.NewLife(1))
	peers := h.Guard(&closingGate{breaks: 1 << 20})

	time.AfterFunc(time.Second, h.GiveUp)

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

// A key that hangs must not keep its caller waiting until the process is gone without a word.
func TestAKeyThatIsGivenUpIsAnsweredByWhatIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, took := givenUp(t, func(context.Context, once.Peers, call.Call) error { return context.Canceled })
		assert.ErrorIs(t, r, once.ErrNotSent)
		assert.Equal(t, r.Ran, call.RanNo)
		assert.Equal(t, took, time.Second)

		r, took = givenUp(t, func(ctx context.Context, peers once.Peers, c call.Call) error {
			var reply gate.Reply

			assert.NilError(t, peers.Do(ctx, "gate", peer.LaneCalls, gate.MethodRun, c, &reply))

			return reply.Refusal
		})
		assert.ErrorIs(t, r, once.ErrGivenUp)
		assert.Equal(t, r.Ran, call.RanUnknown)
		assert.Equal(t, took, time.Second)
	})
}
