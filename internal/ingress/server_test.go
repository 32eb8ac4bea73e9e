package ingress_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/ingress"
	"github.com/pollencart/pollencart/internal/route"
)

// waitLimit bounds waits for expected events; shortWait is how long tests look for unexpected
// ones.
const (
	waitLimit = 20 * time.Second
	shortWait = 50 * time.Millisecond
)

type handlerFunc func(ctx context.Context, r ingress.Request) ingress.Response

func (f handlerFunc) Serve(ctx context.Context, r ingress.Request) ingress.Response { return f(ctx, r) }

func serve(t *testing.T, h handlerFunc, opts ...ingress.Option) (*ingress.Server, net.Conn, *bufio.Reader) {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	s := ingress.New(h, opts...)

	go func() { _ = s.Serve(l) }()

	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})

	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, c.SetDeadline(time.Now().Add(waitLimit)))
	t.Cleanup(func() { _ = c.Close() })

	return s, c, bufio.NewReader(c)
}

func echo(_ context.Context, r ingress.Request) ingress.Response {
	return ingress.Response{
		Status: http.StatusOK, Header: []call.Field{{Name: "Uri", Value: r.URI}}, Body: append([]byte(r.Path+" "), r.Body...),
	}
}

func sendGet(t *testing.T, c io.Writer, path string) {
	t.Helper()

	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
	assert.NilError(t, err)
}

func readAnswer(t *testing.T, in *bufio.Reader) (*http.Response, string) {
	t.Helper()

	r, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)

	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)

	return r, string(body)
}

func TestReadsBodiesWithContentLengthAndChunked(t *testing.T) {
	_, c, in := serve(t, echo)

	fmt.Fprint(c, "POST /a?q=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")

	r, body := readAnswer(t, in)
	assert.Equal(t, body, "/a abc")
	assert.Equal(t, r.Header.Get("Uri"), "/a?q=1")

	fmt.Fprint(c, "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")

	_, body = readAnswer(t, in)
	assert.Equal(t, body, "/b abcde")
}

// If a pipelined call started only after the call before it ended, its caller would wait
// for both.
func TestPipelinedCallsRunTogetherAndAreAnsweredInOrder(t *testing.T) {
	second := make(chan struct{})
	_, c, in := serve(t, func(ctx context.Context, r ingress.Request) ingress.Response {
		if r.Path == "/first" {
			<-second
		} else {
			close(second)
		}

		return echo(ctx, r)
	})

	sendGet(t, c, "/first")
	sendGet(t, c, "/second")

	_, body := readAnswer(t, in)
	assert.Equal(t, body, "/first ")

	_, body = readAnswer(t, in)
	assert.Equal(t, body, "/second ")
}

// A caller disconnects while its call runs, after it has sent the next one. A server that
// stops reading at the next call's first byte does not detect the close, and the backend
// server continues work that has no recipient.
func TestClosingTheConnectionCancelsItsCalls(t *testing.T) {
	left := make(chan struct{}, 2)
	began := make(chan struct{}, 2)
	_, c, _ := serve(t, func(ctx context.Context, _ ingress.Request) ingress.Response {
		began <- struct{}{}

		<-ctx.Done()

		left <- struct{}{}

		return ingress.Response{Status: http.StatusOK}
	})

	sendGet(t, c, "/first")
	sendGet(t, c, "/second")
	<-began
	<-began
	assert.NilError(t, c.Close())

	for range 2 {
		select {
		case <-left:
		case <-time.After(waitLimit):
			t.Fatal("call still runs after its caller disconnected")
		}
	}
}

func limits(h time.Duration) ingress.Option {
	return func(o *ingress.Options) {
		o.Limits = func() route.Limits {
			return route.Limits{HeaderBytes: 1000, BodyBytes: 10, HeaderTimeout: h, IdleTimeout: waitLimit}
		}
	}
}

// A request over a limit closes its connection, since the rest of it may still arrive and
// would be read as the next request.
func TestRequestOverALimitIsRejectedAndClosesTheConnection(t *testing.T) {
	for text, status := range map[string]int{
		"GET / HTTP/1.1\r\nHost: a\r\nLong: " + strings.Repeat("x", 9000) + "\r\n\r\n":                  http.StatusRequestHeaderFieldsTooLarge,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n01234567890":                           http.StatusRequestEntityTooLarge,
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n": http.StatusRequestEntityTooLarge,
		"nonsense\r\n\r\n": http.StatusBadRequest,
	} {
		_, c, in := serve(t, echo, limits(waitLimit))

		fmt.Fprint(c, text)

		r, _ := readAnswer(t, in)
		assert.Equal(t, r.StatusCode, status, "%.30q", text)
		assert.Assert(t, r.Close)

		_, err := in.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
	}
}

// A caller that sends a request head byte by byte must not occupy a connection indefinitely.
func TestSlowRequestHeadClosesTheConnection(t *testing.T) {
	_, c, in := serve(t, echo, limits(shortWait))

	fmt.Fprint(c, "GET / HT")

	_, err := in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// When the node stops, a connection with calls in flight closes after its last answer, and
// only that answer carries "Connection: close".
func TestRetireAnswersCallsInFlightAndClosesTheConnection(t *testing.T) {
	release := make(chan struct{})
	began := make(chan struct{}, 2)
	s, c, in := serve(t, func(ctx context.Context, r ingress.Request) ingress.Response {
		began <- struct{}{}

		<-release

		return echo(ctx, r)
	})

	sendGet(t, c, "/first")
	sendGet(t, c, "/second")
	<-began
	<-began
	s.Retire()
	close(release)

	r, _ := readAnswer(t, in)
	assert.Assert(t, !r.Close)

	r, body := readAnswer(t, in)
	assert.Assert(t, r.Close)
	assert.Equal(t, body, "/second ")

	_, err := in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)

	// A call behind the last answer must not run, because the caller sends it again.
	sendGet(t, c, "/third")

	select {
	case <-began:
		t.Fatal("call behind the last answer was run")
	case <-time.After(shortWait):
	}
}

func TestRetireClosesIdleConnections(t *testing.T) {
	s, c, in := serve(t, echo)

	sendGet(t, c, "/")
	readAnswer(t, in)

	for s.Connections() == 0 {
		time.Sleep(time.Millisecond)
	}

	time.Sleep(shortWait)
	s.Retire()

	_, err := in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// After an answer with "Connection: close", a caller resends the calls that it pipelined
// behind it, including non-idempotent ones, so none of them may have run.
func TestCallPipelinedBehindConnectionCloseDoesNotRun(t *testing.T) {
	var ran []string

	_, c, in := serve(t, func(ctx context.Context, r ingress.Request) ingress.Response {
		ran = append(ran, r.Path)

		return echo(ctx, r)
	})

	fmt.Fprint(c, "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /behind HTTP/1.1\r\nHost: a\r\n\r\n")

	r, _ := readAnswer(t, in)
	assert.Assert(t, r.Close)

	_, err := in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.DeepEqual(t, ran, []string{"/last"})
}

// A caller that always has a call in flight must not keep a retired connection open.
func TestRetiredConnectionAcceptsNoMoreCalls(t *testing.T) {
	release := make(chan struct{})
	began := make(chan string, 3)
	s, c, in := serve(t, func(ctx context.Context, r ingress.Request) ingress.Response {
		began <- r.Path

		<-release

		return echo(ctx, r)
	})

	sendGet(t, c, "/taken")
	assert.Equal(t, <-began, "/taken")
	s.Retire()
	sendGet(t, c, "/behind")

	select {
	case path := <-began:
		t.Errorf("call to %s runs on a retired connection", path)
	case <-time.After(shortWait):
	}

	close(release)

	r, body := readAnswer(t, in)
	assert.Equal(t, body, "/taken ")
	assert.Assert(t, r.Close)

	_, err := in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// A caller that connects to a draining node gets an answer, not a connection reset.
func TestCallOnANewConnectionIsAnsweredAfterRetire(t *testing.T) {
	s, c, _ := serve(t, echo)
	s.Retire()

	late, err := net.Dial("tcp", c.RemoteAddr().String())
	assert.NilError(t, err)
	assert.NilError(t, late.SetDeadline(time.Now().Add(waitLimit)))

	defer func() { _ = late.Close() }()

	sendGet(t, late, "/late")

	r, body := readAnswer(t, bufio.NewReader(late))
	assert.Equal(t, body, "/late ")
	assert.Assert(t, r.Close)
}

// A graceful shutdown must not consider a connection done while its answer is being written.
func TestConnectionIsBusyWhileItsAnswerIsWritten(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 32<<20) // more than the socket buffers hold
	s, c, in := serve(t, func(context.Context, ingress.Request) ingress.Response {
		return ingress.Response{Status: http.StatusOK, Body: body}
	})

	sendGet(t, c, "/large")

	_, err := in.Peek(1) // the answer has begun to arrive
	assert.NilError(t, err)
	time.Sleep(shortWait)

	s.Retire()
	time.Sleep(shortWait)
	assert.Equal(t, s.Busy(), 1)

	_, read := readAnswer(t, in)
	assert.Equal(t, len(read), len(body))

	for s.Busy() > 0 {
		time.Sleep(time.Millisecond)
	}

	_, err = in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}
