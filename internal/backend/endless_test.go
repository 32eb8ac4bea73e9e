package backend_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/backend"
)

// maxHeap bounds the heap, in bytes, while a backend server sends without end.
const maxHeap = 40 << 20

const answerHead = "HTTP/1.1 200 OK\r\nPollencart-Call: id-1\r\nPollencart-Signature: s\r\n"

// repeat writes a text until the connection is closed, which it reports to ended.
func repeat(c *peerConn, text string, ended chan<- error) {
	block := []byte(strings.Repeat(text, (64<<10)/len(text)+1))

	for {
		if _, err := c.Write(block); err != nil {
			ended <- err

			return
		}
	}
}

// heapPeak returns the largest heap, in bytes, while f runs.
func heapPeak(f func()) uint64 {
	done := make(chan struct{})

	runtime.GC() // what earlier tests left

	go func() {
		defer close(done)

		f()
	}()

	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}

	for peak := uint64(0); ; {
		metrics.Read(sample)
		peak = max(peak, sample[0].Value.Uint64())

		select {
		case <-done:
			return peak
		case <-time.After(time.Millisecond):
		}
	}
}

// Guards against a process that ends for its memory, with the calls of all its callers, since a backend server sends without end.
func TestAnswerWithoutEndIsGivenUpInBoundedMemory(t *testing.T) {
	for _, test := range []struct{ name, head, rest string }{
		{"NoAnswer", "", "x"},
		{"StatusLine", "HTTP/1.1 200 ", "x"},
		{"HeadLine", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"HeadLines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"Informational", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"OtherAnswers", "", "HTTP/1.1 200 OK\r\nPollencart-Call: id-2\r\nContent-Length: 1\r\n\r\nx"},
		{"BodyWithoutLength", answerHead + "\r\n", "x"},
		{"BodyInChunks", answerHead + "Transfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"},
		{"ChunkLine", answerHead + "Transfer-Encoding: chunked\r\n\r\n8;", "x"},
		{"Trailer", answerHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		{"BodyWithLength", answerHead + "Content-Length: 1000000000000\r\n\r\n", "x"},
	} {
		t.Run(test.name, func(t *testing.T) {
			ended := make(chan error, 1)
			p := serve(t, func(c *peerConn) {
				if _, _, err := c.request(); err != nil {
					return
				}

				_, _ = io.WriteString(c, test.head) // the next write fails too
				repeat(c, test.rest, ended)
			})

			var err error

			peak := heapPeak(func() { _, err = do(t, p, "id-1", "") })

			assert.Assert(t, errors.Is(err, backend.ErrTooLarge) || errors.Is(err, backend.ErrLost), "%v", err)
			assert.Assert(t, peak < maxHeap, "%d MB of heap", peak>>20)

			select {
			case <-ended:
			case <-time.After(waitLimit / 2):
				t.Fatal("the backend server is not freed before the call's deadline")
			}
		})
	}
}

// Guards against a process that ends for its memory since a health check is answered without end.
func TestHealthCheckWithoutEndIsGivenUpInBoundedMemory(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\nInstance-Id: i\r\n\r\n"} {
		ended := make(chan error, 1)
		p := serve(t, func(c *peerConn) {
			if _, _, err := c.request(); err != nil {
				return
			}

			_, _ = io.WriteString(c, head)
			repeat(c, "x", ended)
		})

		began := time.Now()
		peak := heapPeak(func() { p.Probe(context.Background(), "/health") })
		<-ended

		assert.Assert(t, peak < maxHeap, "%d MB of heap", peak>>20)
		assert.Assert(t, time.Since(began) < waitLimit)
	}
}

// Guards against sound answers that are cut off by the limits.
func TestLargeAnswersAreDelivered(t *testing.T) {
	sizes := []int{0, 1, 64<<10 - 1, 64 << 10, 64<<10 + 1, 320 << 10, 320<<10 + 1, backend.MaxBodyBytes}

	p := serve(t, func(c *peerConn) {
		for i := 0; ; i++ {
			r, _, err := c.request()
			if err != nil {
				return
			}

			size := len(r.URL.Query().Get("y")) // 1
			size *= sizes[i%len(sizes)]
			c.answer(r.Header.Get("Pollencart-Call"), strings.Repeat("b", size))
		}
	})

	for i, size := range sizes {
		a, err := do(t, p, fmt.Sprintf("id-%d", i), "")
		assert.NilError(t, err)
		assert.Equal(t, a.Status, http.StatusOK)
		assert.Equal(t, len(a.Body), size)
	}
}
