package backend_test

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/backend"
)

// cuts are the ways in which a backend server breaks off.
var cuts = map[string]func(c *peerConn){
	"Close":     func(*peerConn) {},
	"Reset":     func(c *peerConn) { _ = c.SetLinger(0) },
	"HalfClose": func(c *peerConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) },
}

// Guards against a backend server that counts as healthy, or as another instance, by a part of a health answer.
func TestCutHealthAnswerIsNotHealthy(t *testing.T) {
	t.Parallel()

	head := "HTTP/1.1 200 OK\r\nPollencart-Instance: i-1\r\nPollencart-Load: 0,0,4\r\n"

	for name, answer := range map[string]string{
		"Length": head + "Content-Length: 5\r\n\r\nhello",
		"Chunks": head + chunked + "5\r\nhello\r\n0\r\n\r\n",
	} {
		for how, cut := range cuts {
			t.Run(name+how, func(t *testing.T) {
				t.Parallel()

				var sent atomic.Int32

				p := serve(t, func(c *peerConn) {
					if _, _, err := c.request(); err != nil {
						return
					}

					_, _ = io.WriteString(c, answer[:sent.Load()])

					cut(c)
				})

				for i := range len(answer) {
					sent.Store(int32(i))
					assert.Equal(t, p.Probe(t.Context(), "/health"), backend.Health{}, "%d of %d bytes", i, len(answer))
				}

				sent.Store(int32(len(answer)))

				if how != "Reset" { // may take the answer away
					assert.Equal(t, p.Probe(t.Context(), "/health"), backend.Health{Instance: "i-1", Healthy: true, Slots: 4})
				}
			})
		}
	}
}

// Guards against a backend server that is left out since its health answer is long.
func TestLongHealthAnswerIsHealthy(t *testing.T) {
	p := serve(t, func(c *peerConn) {
		if _, _, err := c.request(); err == nil {
			c.answer("", strings.Repeat("x", 1<<20))
		}
	})

	assert.Assert(t, p.Probe(t.Context(), "/health").Healthy)
}

// Guards against a backend server that counts as healthy by an answer that is none.
func TestMalformedHealthAnswerIsNotHealthy(t *testing.T) {
	t.Parallel()

	for name, answer := range malformed {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			p := serve(t, func(c *peerConn) {
				if _, _, err := c.request(); err == nil {
					_, _ = io.WriteString(c, answer)
				}
			})

			assert.Assert(t, !p.Probe(t.Context(), "/health").Healthy)
		})
	}
}
