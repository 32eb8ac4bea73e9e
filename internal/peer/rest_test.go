package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A fleet at rest asks its neighbours many times a second, and each is answered in a moment.
// Were the connection looked at all the same a quarter of a second later, the process would
// wake once more for each question, only to find that nothing waits. Callers notice nothing;
// hosts lose processor time.
func TestAnAnswerEndsTheLooksAtItsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	hold := make(chan struct{})

	s := NewServer()
	s.Handle("Now", Typed(func(context.Context, struct{}) (struct{}, error) { return struct{}{}, nil }))
	s.Handle("Later", Typed(func(context.Context, struct{}) (struct{}, error) {
		<-hold

		return struct{}{}, nil
	}))

	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	t.Cleanup(func() { _ = l.Close() })

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	c := NewClient()
	t.Cleanup(c.Close)

	ask := func(method string) error {
		var out struct{}

		return c.Do(ctx, l.Addr().String(), LaneControl, method, struct{}{}, &out)
	}

	assert.NilError(t, ask("Now"))
	assert.Assert(t, !watched(c))

	// It goes on while another request waits.
	waiting := make(chan error, 1)

	go func() { waiting <- ask("Later") }()

	for !watched(c) {
		time.Sleep(time.Millisecond)
	}

	assert.NilError(t, ask("Now"))
	assert.Assert(t, watched(c))

	close(hold)
	assert.NilError(t, <-waiting)
	assert.Assert(t, !watched(c))
}

// watched reports whether any connection of the client is looked at.
func watched(c *Client) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, cc := range c.conns {
		cc.mu.Lock()
		on := cc.silence.watched
		cc.mu.Unlock()

		if on {
			return true
		}
	}

	return false
}
