package upstream_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/upstream"
)

// longUpload doesn't fit into the buffers of a connection.
var longUpload = strings.Repeat("x", 16<<20)

// answer makes the server read the head of each request, and its body unless it is long, and then run the script.
func answer(t *testing.T, script func(c *net.TCPConn)) *server {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	s := &server{listener: l}

	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}

			go func() {
				defer func() { _ = raw.Close() }()

				r, err := http.ReadRequest(bufio.NewReader(raw))
				if err != nil {
					return
				}

				if r.ContentLength < int64(len(longUpload)) {
					_, _ = io.Copy(io.Discard, r.Body)
				}

				s.requests.Add(1)
				script(raw.(*net.TCPConn))
			}()
		}
	}()

	return s
}

// Guards against a part of an answer that counts as whole, wherever and however the backend server breaks off.
func TestCutAnswerIsNeverReturnedInPart(t *testing.T) {
	t.Parallel()

	for name, whole := range map[string]string{
		"Length":   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"Chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
		"Trailers": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: v\r\n\r\n",
		"NoLength": "HTTP/1.1 200 OK\r\n\r\nhello",
	} {
		for how, cut := range map[string]func(c *net.TCPConn){
			"Close": func(*net.TCPConn) {},
			"Reset": func(c *net.TCPConn) { _ = c.SetLinger(0) },
		} {
			for size, body := range map[string]string{"Short": "body", "Long": longUpload} {
				if name == "NoLength" && how == "Close" && size == "Short" {
					continue // an orderly end of the connection ends the answer
				}

				t.Run(name+how+size, func(t *testing.T) {
					t.Parallel()

					var sent atomic.Int32

					s := answer(t, func(c *net.TCPConn) {
						_, _ = io.WriteString(c, whole[:sent.Load()])

						cut(c)
					})
					h := newHost(t, s)

					for i := range len(whole) {
						sent.Store(int32(i))

						before := s.requests.Load()
						a, err := h.Run(t.Context(), upload(strconv.Itoa(i), body))
						assert.ErrorContains(t, err, "", "%d of %d bytes: %q", i, len(whole), a.Body)

						var r *call.Refusal

						assert.Assert(t, errors.As(err, &r))
						assert.Equal(t, r.Ran, call.RanUnknown)
						assert.Equal(t, s.requests.Load(), before+1) // never repeated
					}
				})
			}
		}
	}
}

// Guards against a malformed answer that is passed on, or whose bytes are in the text of the failure.
func TestMalformedAnswerIsAFailure(t *testing.T) {
	const secret = "b3c0ffee"

	for name, text := range map[string]string{
		"NoResponse":       secret + "\r\n\r\n",
		"BlankInName":      "HTTP/1.1 200 OK\r\nX " + secret + ": v\r\nContent-Length: 5\r\n\r\nhello",
		"BlankBeforeColon": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello" + secret,
		"ControlInName":    "HTTP/1.1 200 OK\r\nX\x01" + secret + ": v\r\nContent-Length: 5\r\n\r\nhello",
		"NoColon":          "HTTP/1.1 200 OK\r\n" + secret + "\r\nContent-Length: 5\r\n\r\nhello",
		"Status000":        "HTTP/1.1 000 " + secret + "\r\nContent-Length: 5\r\n\r\nhello",
		"Status099":        "HTTP/1.1 099 " + secret + "\r\nContent-Length: 5\r\n\r\nhello",
		"Status101":        "HTTP/1.1 101 " + secret + "\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nhello",
		"Status999":        "HTTP/1.1 999 " + secret + "\r\nContent-Length: 5\r\n\r\nhello",
		"Version2":         "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"BlankInTrailer":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX " + secret + ": v\r\n\r\n",
		"ControlInTrailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX\x01" + secret + ": v\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, answer(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, text) }))

			a, err := h.Run(t.Context(), upload("1", "body"))
			assert.ErrorIs(t, err, upstream.ErrNoAnswer)
			assert.Equal(t, len(a.Body), 0)
			assert.Assert(t, !strings.Contains(err.Error(), secret), "%v", err)
		})
	}
}

// Guards against an early answer to a long upload that is lost since the upload was still being written.
func TestEarlyAnswerToALongUploadIsReturned(t *testing.T) {
	for name, rest := range map[string]string{
		"Length": "Content-Length: 5\r\n\r\nlarge",
		"Chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nlarge\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, answer(t, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, "HTTP/1.1 413 Content Too Large\r\n"+rest)
				_ = c.CloseWrite()

				time.Sleep(20 * time.Millisecond)
			}))

			for i := range 20 {
				a, err := h.Run(t.Context(), upload(strconv.Itoa(i), longUpload))
				assert.NilError(t, err)
				assert.Equal(t, a.Status, http.StatusRequestEntityTooLarge)
				assert.Equal(t, string(a.Body), "large")
			}
		})
	}
}

// Guards against an early answer that is lost since the backend server reads nothing more, which resets the connection.
func TestEarlyAnswerBeforeAResetIsReturned(t *testing.T) {
	h := newHost(t, answer(t, func(c *net.TCPConn) {
		_, _ = io.CopyN(io.Discard, c, 64<<10)
		_, _ = io.WriteString(c, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\nlarge")
	}))

	for i := range 50 {
		a, err := h.Run(t.Context(), upload(strconv.Itoa(i), longUpload))
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "large")
	}
}
