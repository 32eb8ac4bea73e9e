package runner_test

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/internal/slots"
	"github.com/pollencart/pollencart/internal/timeline"
)

// The slowness that an answer states does not reach the queue, the reply or the line of the call, or
// calls of backend servers that state none change.
func TestAnswersStateSlowness(t *testing.T) {
	s, queue, recorder := &signalingServer{}, slots.New(), timeline.New()
	r := newRunnerWithQueue(t, s.ServeHTTP, recorder, noSuspects{}, queue)

	detail := func(id string) string {
		entries := recorder.Entries(timeline.Filter{Call: id})
		assert.Equal(t, len(entries), 1)

		return entries[0].Detail
	}

	for _, test := range []struct {
		id, load string
		want     float64
	}{{"id-1", "1,0,4", 0}, {"id-2", "1,0,4,250", 2.5}, {"id-3", "1,0,4,x", 2.5}} {
		s.set(header.Default().Load, test.load)

		call := request()
		call.ID = test.id

		reply, err := r.Serve(context.Background(), call)
		assert.NilError(t, err)
		assert.Equal(t, reply.Result, forward.Answered)
		assert.Equal(t, reply.Slowness, test.want)
		assert.Equal(t, queue.Slowness().Factor, test.want)
		assert.Equal(t, strings.Contains(detail(test.id), "slowness 2.5 age ms"), test.want > 0)
	}
}
