package peer_test

import (
	"errors"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/peer"
)

// brokenConn is a connection that the other side has torn down already.
type brokenConn struct {
	net.Conn

	closed chan struct{}
}

func (c brokenConn) Close() error {
	close(c.closed)

	return nil
}

// oneConn is a listener with one connection.
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

// A host dies, or its process is killed, between connecting and its first frame.
// The node that it had connected to went down with it, and every call inside.
func TestConnectionThatIsGoneBeforeItIsReadEndsAlone(t *testing.T) {
	here, there := net.Pipe()
	assert.NilError(t, there.Close())
	assert.NilError(t, here.Close()) // deadlines can't be set any more

	c := brokenConn{Conn: here, closed: make(chan struct{})}
	l := oneConn{conns: make(chan net.Conn, 1)}
	l.conns <- c

	close(l.conns)

	assert.ErrorIs(t, peer.NewServer().Serve(l), errNoMore)
	<-c.closed
}
