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

// A caller whose next call comes in as the last answer goes out must not hold a stop open.
func TestACallThatCrossesTheLastAnswerHoldsNoConnectionOpen(t *testing.T) {
	release := make(chan struct{})
	began := make(chan struct{}, 1)
	s, c, in := serve(t, func(ctx context.Context, r ingress.Request) ingress.Response {
		began <- struct{}{}

		<-release

		return echo(ctx, r)
	})

	get(t, c, "/taken")
	<-began
	s.Retire()

	_, err := fmt.Fprint(c, "GET /crosses HTTP/1.1\r\nHost: a\r\n")
	assert.NilError(t, err)
	time.Sleep(short) // its head is being read

	close(release)
	answer(t, in)

	_, err = fmt.Fprint(c, "\r\n")
	assert.NilError(t, err)

	for range 50 {
		if s.Busy() == 0 {
			return
		}

		time.Sleep(100 * time.Millisecond)
	}

	t.Errorf("still busy 5 s after the last answer: %v", s.Pending())
}

type undelivered chan ingress.Delivery

func (undelivered) Held(ingress.Delivery) {}

func (u undelivered) Undelivered(d ingress.Delivery) { u <- d }

// An answer that this node cuts off must be told.
func TestAnAnswerThatIsCutOffIsTold(t *testing.T) {
	told := make(undelivered, 1)
	s, c, in := serve(t, func(context.Context, ingress.Request) ingress.Response {
		return ingress.Response{Status: http.StatusOK, Body: make([]byte, 32<<20)}
	}, ingress.WithObserver(told))

	get(t, c, "/large")

	_, err := in.ReadByte()
	assert.NilError(t, err)

	s.Retire()
	time.Sleep(short)
	s.Close()

	select {
	case <-told:
	case <-time.After(time.Second):
		t.Error("no line tells of the answer that was cut off")
	}
}

// A caller sends its next call while it reads a large answer, and the server is retired.
func TestACallBehindALargeAnswerDoesNotCutItOff(t *testing.T) {
	const size = 32 << 20

	s, c, in := serve(t, func(context.Context, ingress.Request) ingress.Response {
		return ingress.Response{Status: http.StatusOK, Body: bytes.Repeat([]byte("a"), size)}
	})

	get(t, c, "/large")

	r, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)

	s.Retire()
	time.Sleep(short)
	get(t, c, "/next")

	// Slower than the server writes, so that a part is still in its socket when it closes.
	n, buf := 0, make([]byte, 256<<10)
	for err == nil {
		var k int

		k, err = r.Body.Read(buf)
		n += k

		time.Sleep(time.Millisecond)
	}

	assert.Equal(t, n, size, "%v", err)
}

// A caller whose next call comes in too slowly must still get the answers it waits for.
func TestACallThatComesInTooSlowlyDoesNotCutOffTheOneBefore(t *testing.T) {
	for _, part := range []string{"GET /half HT", "POST /half HTTP/1.1\r\nHost: a\r\nConte"} {
		_, c, in := serve(t, func(ctx context.Context, r ingress.Request) ingress.Response {
			select {
			case <-time.After(4 * short):
			case <-ctx.Done():
				t.Errorf("the call was given up: %v", context.Cause(ctx))
			}

			return echo(ctx, r)
		}, limits(short))

		get(t, c, "/taken")
		fmt.Fprint(c, part)

		r, body := answer(t, in)
		assert.Equal(t, body, "/taken ")
		assert.Assert(t, r.Close)
	}
}
