package ingress_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/ingress"
)

// A caller whose next call arrives while the last answer is written must not delay a shutdown.
func TestCallThatArrivesDuringTheLastAnswerDoesNotKeepTheConnectionBusy(t *testing.T) {
	release := make(chan struct{})
	began := make(chan struct{}, 1)
	s, c, in := serve(t, func(ctx context.Context, r ingress.Request) ingress.Response {
		began <- struct{}{}

		<-release

		return echo(ctx, r)
	})

	sendGet(t, c, "/taken")
	<-began
	s.Retire()

	_, err := fmt.Fprint(c, "GET /crosses HTTP/1.1\r\nHost: a\r\n")
	assert.NilError(t, err)
	time.Sleep(shortWait) // the server is reading the request head

	close(release)
	readAnswer(t, in)

	_, err = fmt.Fprint(c, "\r\n")
	assert.NilError(t, err)

	for range 50 {
		if s.Busy() == 0 {
			return
		}

		time.Sleep(100 * time.Millisecond)
	}

	t.Errorf("connection still busy 5 s after the last answer: %v", s.Pending())
}

type undelivered chan ingress.Delivery

func (undelivered) Held(ingress.Delivery) {}

func (u undelivered) Undelivered(d ingress.Delivery) { u <- d }

// An answer that this node truncates by closing the connection is reported to the observer.
func TestTruncatedAnswerIsReported(t *testing.T) {
	observed := make(undelivered, 1)
	s, c, in := serve(t, func(context.Context, ingress.Request) ingress.Response {
		return ingress.Response{Status: http.StatusOK, Body: make([]byte, 32<<20)}
	}, ingress.WithObserver(observed))

	sendGet(t, c, "/large")

	_, err := in.ReadByte()
	assert.NilError(t, err)

	s.Retire()
	time.Sleep(shortWait)
	s.Close()

	select {
	case <-observed:
	case <-time.After(time.Second):
		t.Error("truncated answer was not reported")
	}
}

// A retired server that closes a socket with unread input resets it, and the caller loses the
// rest of a large answer that it is still reading.
func TestCallBehindALargeAnswerDoesNotTruncateIt(t *testing.T) {
	const size = 32 << 20

	s, c, in := serve(t, func(context.Context, ingress.Request) ingress.Response {
		return ingress.Response{Status: http.StatusOK, Body: bytes.Repeat([]byte("a"), size)}
	})

	sendGet(t, c, "/large")

	r, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)

	s.Retire()
	time.Sleep(shortWait)
	sendGet(t, c, "/next")

	// Reads slower than the server writes, so that the server closes the socket with data left to send.
	n, buf := 0, make([]byte, 256<<10)
	for err == nil {
		var k int

		k, err = r.Body.Read(buf)
		n += k

		time.Sleep(time.Millisecond)
	}

	assert.Equal(t, n, size, "%v", err)
}

// When the next call is received too slowly, the calls before it are still answered.
func TestSlowRequestDoesNotCancelTheCallBeforeIt(t *testing.T) {
	for _, part := range []string{"GET /half HT", "POST /half HTTP/1.1\r\nHost: a\r\nConte"} {
		_, c, in := serve(t, func(ctx context.Context, r ingress.Request) ingress.Response {
			select {
			case <-time.After(4 * shortWait):
			case <-ctx.Done():
				t.Errorf("call was canceled: %v", context.Cause(ctx))
			}

			return echo(ctx, r)
		}, limits(shortWait))

		sendGet(t, c, "/taken")
		fmt.Fprint(c, part)

		r, body := readAnswer(t, in)
		assert.Equal(t, body, "/taken ")
		assert.Assert(t, r.Close)
	}
}
