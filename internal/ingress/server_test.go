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

// patience bounds waits for what must come, short is for what must not.
const (
	patience = 20 * time.Second
	short    = 50 * time.Millisecond
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
	assert.NilError(t, c.SetDeadline(time.Now().Add(patience)))
	t.Cleanup(func() { _ = c.Close() })

	return s, c, bufio.NewReader(c)
}

func echo(_ context.Context, r ingress.Request) ingress.Response {
	return ingress.Response{
		Status: http.StatusOK, Header: []call.Field{{Name: "Uri", Value: r.URI}}, Body: append([]byte(r.Path+" "), r.Body...),
	}
}

func get(t *testing.T, c io.Writer, path string) {
	t.Helper()

	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
	assert.NilError(t, err)
}

func answer(t *testing.T, in *bufio.Reader) (*http.Response, string) {
	t.Helper()

	r, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)

	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)

	return r, string(body)
}

func TestBodiesByLengthAndInChunks(t *testing.T) {
	_, c, in := serve(t, echo)

	fmt.Fprint(c, "POST /a?q=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")

	r, body := answer(t, in)
	assert.Equal(t, body, "/a abc")
	assert.Equal(t, r.Header.Get("Uri"), "/a?q=1")

	fmt.Fprint(c, "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")

	_, body = answer(t, in)
	assert.Equal(t, body, "/b abcde")
}

// A caller sends a second call before the first was answered. If the second only
// began after the first had ended, its caller would wait for both.
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

	get(t, c, "/first")
	get(t, c, "/second")

	_, body := answer(t, in)
	assert.Equal(t, body, "/first ")

	_, body = answer(t, in)
	assert.Equal(t, body, "/second ")
}

// A caller goes away while its call runs, and had sent the next one already. A
// server that stops reading once it has the next call's first byte does not see the
// end, and the backend server works on for nobody.
func TestACallerThatLeavesIsNoticed(t *testing.T) {
	left := make(chan struct{}, 2)
	began := make(chan struct{}, 2)
	_, c, _ := serve(t, func(ctx context.Context, _ ingress.Request) ingress.Response {
		began <- struct{}{}

		<-ctx.Done()

		left <- struct{}{}

		return ingress.Response{Status: http.StatusOK}
	})

	get(t, c, "/first")
	get(t, c, "/second")
	<-began
	<-began
	assert.NilError(t, c.Close())

	for range 2 {
		select {
		case <-left:
		case <-time.After(patience):
			t.Fatal("the call still runs")
		}
	}
}

func limits(h time.Duration) ingress.Option {
	return func(o *ingress.Options) {
		o.Limits = func() route.Limits {
			return route.Limits{HeaderBytes: 1000, BodyBytes: 10, HeaderTimeout: h, IdleTimeout: patience}
		}
	}
}

// What is over a limit is refused and ends its connection, since the rest of it may
// still be on its way.
func TestLimits(t *testing.T) {
	for text, status := range map[string]int{
		"GET / HTTP/1.1\r\nHost: a\r\nLong: " + strings.Repeat("x", 9000) + "\r\n\r\n":                  http.StatusRequestHeaderFieldsTooLarge,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n01234567890":                           http.StatusRequestEntityTooLarge,
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n": http.StatusRequestEntityTooLarge,
		"nonsense\r\n\r\n": http.StatusBadRequest,
	} {
		_, c, in := serve(t, echo, limits(patience))

		fmt.Fprint(c, text)

		r, _ := answer(t, in)
		assert.Equal(t, r.StatusCode, status, "%.30q", text)
		assert.Assert(t, r.Close)

		_, err := in.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
	}
}

// A caller sends the head of a request byte by byte and holds a connection for good.
func TestASlowHeadEndsItsConnection(t *testing.T) {
	_, c, in := serve(t, echo, limits(short))

	fmt.Fprint(c, "GET / HT")

	_, err := in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// The node stops. A connection that waits for its next call ends; one with calls in
// flight ends with its last answer, and says so in that one only.
func TestRetire(t *testing.T) {
	release := make(chan struct{})
	began := make(chan struct{}, 2)
	s, c, in := serve(t, func(ctx context.Context, r ingress.Request) ingress.Response {
		began <- struct{}{}

		<-release

		return echo(ctx, r)
	})

	get(t, c, "/first")
	get(t, c, "/second")
	<-began
	<-began
	s.Retire()
	close(release)

	r, _ := answer(t, in)
	assert.Assert(t, !r.Close)

	r, body := answer(t, in)
	assert.Assert(t, r.Close)
	assert.Equal(t, body, "/second ")

	_, err := in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)

	// What comes behind the last answer counts as not read.
	get(t, c, "/third")

	select {
	case <-began:
		t.Fatal("a call behind the last answer runs")
	case <-time.After(short):
	}
}

func TestRetireEndsIdleConnections(t *testing.T) {
	s, c, in := serve(t, echo)

	get(t, c, "/")
	answer(t, in)

	for s.Connections() == 0 {
		time.Sleep(time.Millisecond)
	}

	time.Sleep(short)
	s.Retire()

	_, err := in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// A caller that gets the answer that ends its connection sends what came behind it
// again, also what must not run twice. So nothing behind it may have run.
func TestNothingBehindTheLastAnswerRuns(t *testing.T) {
	var ran []string

	_, c, in := serve(t, func(ctx context.Context, r ingress.Request) ingress.Response {
		ran = append(ran, r.Path)

		return echo(ctx, r)
	})

	fmt.Fprint(c, "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /behind HTTP/1.1\r\nHost: a\r\n\r\n")

	r, _ := answer(t, in)
	assert.Assert(t, r.Close)

	_, err := in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.DeepEqual(t, ran, []string{"/last"})
}

// A caller that keeps a call open at any time must not hold a retired connection open.
func TestARetiredConnectionTakesNoMoreCalls(t *testing.T) {
	release := make(chan struct{})
	began := make(chan string, 3)
	s, c, in := serve(t, func(ctx context.Context, r ingress.Request) ingress.Response {
		began <- r.Path

		<-release

		return echo(ctx, r)
	})

	get(t, c, "/taken")
	assert.Equal(t, <-began, "/taken")
	s.Retire()
	get(t, c, "/behind")

	select {
	case path := <-began:
		t.Errorf("%s runs on a retired connection", path)
	case <-time.After(short):
	}

	close(release)

	r, body := answer(t, in)
	assert.Equal(t, body, "/taken ")
	assert.Assert(t, r.Close)

	_, err := in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// A caller that connects to a node which is being stopped must not be reset.
func TestACallOnANewConnectionIsAnsweredAfterRetire(t *testing.T) {
	s, c, _ := serve(t, echo)
	s.Retire()

	late, err := net.Dial("tcp", c.RemoteAddr().String())
	assert.NilError(t, err)
	assert.NilError(t, late.SetDeadline(time.Now().Add(patience)))

	defer func() { _ = late.Close() }()

	get(t, late, "/late")

	r, body := answer(t, bufio.NewReader(late))
	assert.Equal(t, body, "/late ")
	assert.Assert(t, r.Close)
}

// A stop must not take a connection for done while its answer is still being written.
func TestAnAnswerThatIsBeingWrittenIsWaitedFor(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 32<<20) // more than sockets hold
	s, c, in := serve(t, func(context.Context, ingress.Request) ingress.Response {
		return ingress.Response{Status: http.StatusOK, Body: body}
	})

	get(t, c, "/large")

	_, err := in.Peek(1) // the answer is on its way
	assert.NilError(t, err)
	time.Sleep(short)

	s.Retire()
	time.Sleep(short)
	assert.Equal(t, s.Busy(), 1)

	_, read := answer(t, in)
	assert.Equal(t, len(read), len(body))

	for s.Busy() > 0 {
		time.Sleep(time.Millisecond)
	}

	_, err = in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}
