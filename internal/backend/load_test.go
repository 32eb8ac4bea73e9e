package backend_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// A figure after the slots in the load header is taken for the slots.
func TestProbeReadsSlotsByPosition(t *testing.T) {
	for value, slots := range map[string]int{"3,0,8": 8, "3,0,8,100": 8, "3,0,8,250": 8, "3,0,8,250,7": 8, "8": 0, "3,0,x": 0} {
		p := serve(t, func(c *peerConn) {
			if _, _, err := c.request(); err == nil {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nPollencart-Instance: i-1\r\nPollencart-Load: %s\r\nContent-Length: 0\r\n\r\n", value)
			}
		})

		assert.Check(t, p.Probe(context.Background(), "/health").Slots == slots, "%q", value)
	}
}
