package ingress_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/ingress"
	"github.com/pollencart/pollencart/internal/route"
)

// Guards against a call at work that is canceled, and left without its answer, by a bad call behind it on its connection.
func TestBadCallDoesNotCutOffTheCallBeforeIt(t *testing.T) {
	const post = "POST /bad HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

	for _, test := range []struct {
		name, behind string
		ends         bool
		status       int // of the bad call, 0 for no answer
	}{
		{"MalformedChunk", post + "5\r\nhello\r\nx\r\n", false, http.StatusBadRequest},
		{"ChunkWithoutEnd", post + "5\r\nhello!!\r\n", false, http.StatusBadRequest},
		{"MuchFraming", post + strings.Repeat("1;"+strings.Repeat("e", 30)+"\r\nx\r\n", 30_000) + "0\r\n\r\n", false, http.StatusBadRequest},
		{"LongTrailer", post + "0\r\nA: " + strings.Repeat("x", 100_000) + "\r\n\r\n", false, http.StatusBadRequest},
		{"MalformedHead", "BAD\r\n\r\n", false, http.StatusBadRequest},
		{"BodyCutShort", post + "5\r\nhel", true, 0},
		{"BodyWithLengthCutShort", "POST /bad HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhel", true, 0},
		{"HeadCutShort", "POST /bad HTT", true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, c, in := serve(t, func(ctx context.Context, r ingress.Request) ingress.Response {
				select {
				case <-time.After(4 * shortWait):
				case <-ctx.Done():
					t.Errorf("call was canceled: %v", context.Cause(ctx))
				}

				return echo(ctx, r)
			})

			_, err := fmt.Fprint(c, "POST /taken HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", test.behind)
			assert.NilError(t, err)

			if test.ends {
				assert.NilError(t, c.(*net.TCPConn).CloseWrite())
			}

			r, body := readAnswer(t, in)
			assert.Equal(t, r.StatusCode, http.StatusOK)
			assert.Equal(t, body, "/taken hi")

			if test.status != 0 {
				r, _ := readAnswer(t, in)
				assert.Equal(t, r.StatusCode, test.status)
				assert.Assert(t, r.Close)
			}

			_, err = in.ReadByte()
			assert.Error(t, err, "EOF")
		})
	}
}

// Guards against a body within the limit that is refused for the framing of its chunks.
func TestBodyInSmallChunksIsTaken(t *testing.T) {
	const size = 200_000

	_, c, in := serve(t, echo, func(o *ingress.Options) {
		o.Limits = func() route.Limits {
			return route.Limits{HeaderBytes: 1000, BodyBytes: size, HeaderTimeout: waitLimit, IdleTimeout: waitLimit}
		}
	})

	chunks := strings.Repeat("1\r\nx\r\n", size) + "0\r\n\r\n"
	_, err := fmt.Fprint(c, "POST /small HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", chunks)
	assert.NilError(t, err)

	r, body := readAnswer(t, in)
	assert.Equal(t, r.StatusCode, http.StatusOK)
	assert.Equal(t, len(body), len("/small ")+size)
}
