package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Idle nodes send requests to their neighbours many times a second, and each is answered at once.
// A check that stayed scheduled for 250 ms after each answer would wake the process for every
// request without effect and cost processor time on each host.
func TestAnswerStopsChecksOfItsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	release := make(chan struct{})

	s := NewServer()
	s.Handle("Now", Typed(func(context.Context, struct{}) (struct{}, error) { return struct{}{}, nil }))
	s.Handle("Later", Typed(func(context.Context, struct{}) (struct{}, error) {
		<-release

		return struct{}{}, nil
	}))

	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	t.Cleanup(func() { _ = l.Close() })

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	c := NewClient()
	t.Cleanup(c.Close)

	request := func(method string) error {
		var out struct{}

		return c.Do(ctx, l.Addr().String(), LaneControl, method, struct{}{}, &out)
	}

	assert.NilError(t, request("Now"))
	assert.Assert(t, !checksActive(c))

	// Checks continue while another request is pending.
	pending := make(chan error, 1)

	go func() { pending <- request("Later") }()

	for !checksActive(c) {
		time.Sleep(time.Millisecond)
	}

	assert.NilError(t, request("Now"))
	assert.Assert(t, checksActive(c))

	close(release)
	assert.NilError(t, <-pending)
	assert.Assert(t, !checksActive(c))
}

// checksActive reports whether checks are scheduled for any connection of the client.
func checksActive(c *Client) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, cc := range c.conns {
		cc.mu.Lock()
		on := cc.liveness.checksActive
		cc.mu.Unlock()

		if on {
			return true
		}
	}

	return false
}
