package peer_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/contain"
	"github.com/pollencart/pollencart/internal/peer"
)

// brokenConn is a connection that the peer has already closed.
type brokenConn struct {
	net.Conn

	closed chan struct{}
}

func (c brokenConn) Close() error {
	close(c.closed)

	return nil
}

// oneConn is a listener that accepts one connection.
type oneConn struct {
	net.Listener

	conns chan net.Conn
}

var errNoMore = errors.New("no more connections")

func (l oneConn) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, errNoMore
	}

	return c, nil
}

// A host terminates, or its process is killed, between connecting and its first frame. The
// server must drop only this connection; a crash would end all calls in flight on the node.
func TestServerSurvivesConnectionClosedBeforeFirstRead(t *testing.T) {
	local, remote := net.Pipe()
	assert.NilError(t, remote.Close())
	assert.NilError(t, local.Close()) // setting a deadline fails from here on

	c := brokenConn{Conn: local, closed: make(chan struct{})}
	l := oneConn{conns: make(chan net.Conn, 1)}
	l.conns <- c

	close(l.conns)

	assert.ErrorIs(t, peer.NewServer().Serve(l), errNoMore)
	<-c.closed
}

// Guards against a request that ran and is taken for one that never left this process, and so is sent again, since its answer does
// not fit in a frame.
func TestAnswerOverTheFrameLimitIsNotTakenForUnsentRequest(t *testing.T) {
	e := newEndpoint(t)
	e.server.Handle("Large", peer.Typed(func(_ context.Context, _ ping) (ping, error) {
		return ping{Text: strings.Repeat("x", peer.MaxFrame)}, nil
	}))

	var out ping

	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	err := e.client.Do(ctx, e.address, peer.LaneCalls, "Large", ping{}, &out)
	assert.ErrorIs(t, err, peer.ErrBroken)
	assert.Assert(t, !errors.Is(err, peer.ErrFrameTooLarge), "%v", err)
}

// Guards against a node that no other node can reach after a moment without file descriptors.
func TestPeersAreAcceptedAfterMomentWithoutDescriptors(t *testing.T) {
	local, remote := net.Pipe()
	assert.NilError(t, remote.Close())

	c := brokenConn{Conn: local, closed: make(chan struct{})}
	l := &failingOnce{oneConn: oneConn{conns: make(chan net.Conn, 1)}}
	l.conns <- c

	close(l.conns)

	assert.ErrorIs(t, peer.NewServer().Serve(l), errNoMore)
	<-c.closed
}

// failingOnce is a listener whose first Accept fails for lack of file descriptors.
type failingOnce struct {
	oneConn

	failed bool
}

func (l *failingOnce) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true

		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}

	return l.oneConn.Accept()
}

// Guards against a process that ends by a stack overflow, since a message of a peer is nested without a bound.
func TestDeeplyNestedMessageIsInvalid(t *testing.T) {
	deep := bytes.Repeat([]byte{0x91}, peer.MaxFrame-(64<<10))

	for _, data := range [][]byte{deep, append([]byte{0x81, 0xa1, 'x'}, deep...)} {
		var out ping

		assert.ErrorIs(t, peer.Decode(data, &out), peer.ErrFrameInvalid)
	}
}

// Guards against a process that ends, with all its calls, by a panic in the handling of one message.
func TestPanicInOneHandlerIsAFaultOfItsRequest(t *testing.T) {
	caught := make(chan contain.Caught, 1)
	e := newEndpoint(t, peer.Panicked(func(p contain.Caught) { caught <- p }))
	e.server.Handle("Bad", peer.Typed(func(context.Context, ping) (ping, error) { panic("bad message") }))

	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	var out ping

	err := e.client.Do(ctx, e.address, peer.LaneCalls, "Bad", ping{}, &out)
	assert.ErrorIs(t, err, peer.ErrHandler)
	assert.Equal(t, (<-caught).Value, "bad message")
	assert.NilError(t, e.client.Do(ctx, e.address, peer.LaneCalls, "Ping", ping{Text: "after"}, &out))
	assert.Equal(t, out.Text, "after")
}
