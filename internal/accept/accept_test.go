package accept_test

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/accept"
)

// script is a listener that returns errors in order, then connections.
type script struct {
	net.Listener

	errors []error
}

func (s *script) Accept() (net.Conn, error) {
	if len(s.errors) == 0 {
		return &net.TCPConn{}, nil
	}

	err := s.errors[0]
	s.errors = s.errors[1:]

	return nil, err
}

func failed(number syscall.Errno) error {
	return &net.OpError{Op: "accept", Err: number}
}

// Guards against a node that takes no callers after a moment without file descriptors.
func TestErrorThatPassesDoesNotEndAListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reported []error

		s := &script{errors: []error{
			failed(syscall.EMFILE), failed(syscall.EMFILE), failed(syscall.ENFILE), failed(syscall.ECONNABORTED), failed(syscall.ENOBUFS),
		}}
		l := accept.New(s, accept.Failed(func(err error) { reported = append(reported, err) }))
		began := time.Now()

		conn, err := l.Accept()
		assert.NilError(t, err)
		assert.Assert(t, conn != nil)
		assert.Equal(t, len(reported), 1)
		assert.ErrorIs(t, reported[0], syscall.EMFILE)
		assert.Assert(t, time.Since(began) > 0, "the listener was polled without a pause")

		s.errors = []error{failed(syscall.EMFILE)}
		_, err = l.Accept()
		assert.NilError(t, err)
		assert.Equal(t, len(reported), 2)
	})
}

// A listener that was closed, or an unknown error, must end the server.
func TestOtherErrorsAreFinal(t *testing.T) {
	unknown := errors.New("unknown")

	for _, final := range []error{net.ErrClosed, unknown, failed(syscall.EBADF), failed(syscall.EINVAL)} {
		_, err := accept.New(&script{errors: []error{final}}).Accept()
		assert.ErrorIs(t, err, final)
	}
}

// Guards against a process that ends at its start since its address, or a descriptor, is not free for a moment.
func TestListenWaitsForItsAddress(t *testing.T) {
	before, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	time.AfterFunc(200*time.Millisecond, func() { _ = before.Close() })

	l, err := accept.Listen(before.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
}

// An address that can never be listened on must fail at once.
func TestListenFailsAtOnceForAnInvalidAddress(t *testing.T) {
	began := time.Now()

	_, err := accept.Listen("192.0.2.1:7")
	assert.ErrorIs(t, err, syscall.EADDRNOTAVAIL)
	assert.Assert(t, time.Since(began) < time.Second)
}
