package gate_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/gate"
	"github.com/pollencart/pollencart/pkg/settings"
)

// slow takes a fixed time for each call and counts calls.
type slow struct {
	takes time.Duration
	ran   int
}

func (s *slow) Run(ctx context.Context, _ call.Call) (call.Answer, error) {
	s.ran++

	select {
	case <-ctx.Done():
		return call.Answer{}, ctx.Err()
	case <-time.After(s.takes):
		return call.Answer{Status: http.StatusOK, Ran: call.RanYes}, nil
	}
}

// When a node drains, calls that wait at its gate and calls that arrive later must be
// refused at once as not run.
func TestDrainingGateFinishesRunningCallsAndRefusesOthersAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := admission.New(admission.Slots(1))
		backend := &slow{takes: 5 * time.Second}
		g := gate.New("a", backend, queue)
		start := time.Now()

		serve := func(id string) <-chan gate.Reply {
			out := make(chan gate.Reply, 1)

			go func() {
				reply, err := g.Serve(t.Context(), call.Call{ID: id, Queue: 4, Remaining: settings.Duration(time.Minute)})
				assert.Check(t, err == nil)

				out <- reply
			}()

			synctest.Wait()

			return out
		}

		running := serve("runs")
		refused := []<-chan gate.Reply{serve("waits"), serve("waits too")}

		time.Sleep(time.Second)
		queue.Close()

		for _, r := range append(refused, serve("late")) {
			reply := <-r
			assert.ErrorIs(t, reply.Refusal, admission.ErrClosed)
			assert.Equal(t, reply.Refusal.Ran, call.RanNo)
			assert.Assert(t, reply.Refusal.RetryAfter > 0)
			assert.Assert(t, reply.Refusal.Load.Leaving)
		}

		assert.Equal(t, time.Since(start), time.Second)
		assert.Equal(t, (<-running).Answer.Status, http.StatusOK)
		assert.Equal(t, backend.ran, 1)
		assert.Equal(t, g.Running(), int64(0))
	})
}
