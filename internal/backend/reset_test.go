package backend_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/backend"
)

// longUpload, in bytes, doesn't fit into the buffers of a connection.
const longUpload = 16 << 20

// Guards against a part of an answer that counts as whole since the write of the request takes the error of the reset.
func TestResetDuringAnUploadIsNotTakenForTheEndOfAnAnswer(t *testing.T) {
	p := serve(t, func(c *peerConn) {
		r, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}

		_, _ = io.CopyN(io.Discard, r.Body, 64<<10)
		fmt.Fprint(c, answerHead+"Connection: close\r\n\r\npart")
		time.Sleep(time.Millisecond)
		_ = c.SetLinger(0)
	})

	upload := strings.Repeat("x", longUpload)

	for range 50 {
		a, err := do(t, p, "id-1", upload)
		assert.ErrorIs(t, err, backend.ErrLost)
		assert.Equal(t, len(a.Body), 0)
	}
}

// Guards against an early answer to a long upload that is lost since the upload was still being written.
func TestEarlyAnswerToALongUploadIsDelivered(t *testing.T) {
	upload := strings.Repeat("x", longUpload)
	hold := func(*peerConn) { time.Sleep(20 * time.Millisecond) }

	for name, test := range map[string]struct {
		rest string
		end  func(c *peerConn)
	}{
		"Length":             {"Content-Length: 5\r\n\r\nlarge", hold},
		"Chunks":             {"Transfer-Encoding: chunked\r\n\r\n5\r\nlarge\r\n0\r\n\r\n", hold},
		"LengthReadsOn":      {"Content-Length: 5\r\n\r\nlarge", func(c *peerConn) { _, _ = io.Copy(io.Discard, c) }},
		"NoLengthAndReadsOn": {"Connection: close\r\n\r\nlarge", func(c *peerConn) { _, _ = io.Copy(io.Discard, c) }},
	} {
		t.Run(name, func(t *testing.T) {
			for n := range 20 {
				p := serve(t, func(c *peerConn) {
					r, err := http.ReadRequest(c.in)
					if err != nil {
						return
					}

					_, _ = io.CopyN(io.Discard, r.Body, int64(n)<<16)
					fmt.Fprint(c, "HTTP/1.1 413 Content Too Large\r\nPollencart-Call: id-1\r\nPollencart-Signature: s\r\n"+test.rest)
					_ = c.CloseWrite()

					test.end(c)
				})

				a, err := do(t, p, "id-1", upload)
				assert.NilError(t, err)
				assert.Equal(t, a.Status, http.StatusRequestEntityTooLarge)
				assert.Equal(t, string(a.Body), "large")
			}
		})
	}
}

// Guards against an early answer that is lost since the backend server reads nothing more, which resets the connection.
func TestEarlyAnswerBeforeAResetIsDelivered(t *testing.T) {
	upload := strings.Repeat("x", longUpload)
	p := serve(t, func(c *peerConn) {
		r, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}

		_, _ = io.CopyN(io.Discard, r.Body, 64<<10)
		c.answer("id-1", "large")
	})

	for range 50 {
		a, err := do(t, p, "id-1", upload)
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "large")
	}
}
