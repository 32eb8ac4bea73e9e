package ingress_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/contain"
	"github.com/pollencart/pollencart/internal/ingress"
)

// exhausted is a listener that fails to accept a few times for lack of file descriptors.
type exhausted struct {
	net.Listener

	left int
}

func (l *exhausted) Accept() (net.Conn, error) {
	if l.left > 0 {
		l.left--

		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}

	return l.Listener.Accept()
}

// Guards against a node that takes no callers after a moment without file descriptors.
func TestCallersAreAcceptedAfterMomentWithoutDescriptors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	failed := make(chan error, 1)
	s := ingress.New(handlerFunc(echo), ingress.AcceptFailed(func(err error) { failed <- err }))
	ended := make(chan error, 1)

	go func() { ended <- s.Serve(&exhausted{Listener: l, left: 3}) }()

	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)

	defer func() { _ = c.Close() }()

	sendGet(t, c, "/after")

	r, _ := readAnswer(t, bufio.NewReader(c))
	assert.Equal(t, r.StatusCode, http.StatusOK)
	assert.ErrorIs(t, <-failed, syscall.EMFILE)

	assert.NilError(t, l.Close())
	assert.ErrorIs(t, <-ended, net.ErrClosed)
	s.Close()
}

// Guards against a process that ends, with all its calls, by a panic in one call.
func TestPanicInOneCallIsAnsweredAndEndsNoOther(t *testing.T) {
	caught := make(chan contain.Caught, 1)
	release := make(chan struct{})
	_, c, in := serve(t, func(ctx context.Context, r ingress.Request) ingress.Response {
		if r.Path == "/bad" {
			panic("bad call")
		}

		<-release

		return echo(ctx, r)
	}, ingress.Panicked(func(p contain.Caught) { caught <- p }))

	sendGet(t, c, "/good")
	sendGet(t, c, "/bad")
	assert.Equal(t, (<-caught).Value, "bad call")
	close(release)

	r, _ := readAnswer(t, in)
	assert.Equal(t, r.StatusCode, http.StatusOK)

	r, _ = readAnswer(t, in)
	assert.Equal(t, r.StatusCode, http.StatusBadGateway)
}
