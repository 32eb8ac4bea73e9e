// Package accept keeps a listener accepting after transient errors, such as a lack of file
// descriptors. A server that returned at the first error would take no connection again until
// its process is restarted.
//
// # Usage
//
//	l, err := accept.Listen(address)
//	l = accept.New(l, accept.Failed(report))
//	conn, err := l.Accept() // an error is final
package accept

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	// minBackoff and maxBackoff bound the pause before the next attempt. Callers wait for their
	// connection meanwhile.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// Options of a listener.
type Options struct {
	// Failed is called with the first error of each series.
	Failed func(error)
}

// Option sets an option.
type Option func(*Options)

// Failed sets the callback for the first error of each series.
func Failed(f func(error)) Option { return func(o *Options) { o.Failed = f } }

// Listener is a listener whose Accept returns only final errors.
type Listener struct {
	net.Listener

	options Options
}

// listenTimeout is how long Listen tries. The address may still belong to the process before, which
// ends within seconds.
const listenTimeout = 5 * time.Second

// Listen listens on a TCP address, with the system's own buffers. See ListenWith.
func Listen(address string) (net.Listener, error) { return ListenWith(address, 0) }

// ListenWith listens on a TCP address whose connections have a send buffer of the given size in bytes, or the system's own
// with 0. It tries again for a time if a lack of descriptors or memory, or
// another process, keeps it from listening: a process that gave up would end before its first call.
func ListenWith(address string, sendBuffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return setSendBuffer(raw, sendBuffer) }}

	for began, backoff := time.Now(), time.Duration(0); ; {
		l, err := config.Listen(context.Background(), "tcp", address)
		if err == nil || !listensLater(err) || time.Since(began) >= listenTimeout {
			return l, err
		}

		backoff = min(max(2*backoff, minBackoff), maxBackoff)
		time.Sleep(backoff)
	}
}

// setSendBuffer sets the send buffer of a socket, which connections of a listener inherit.
func setSendBuffer(raw syscall.RawConn, size int) error {
	if size == 0 {
		return nil
	}

	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, size) // without it, the system's own is used
	})
}

func listensLater(err error) bool {
	later := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRINUSE}

	return slices.ContainsFunc(later, func(target error) bool { return errors.Is(err, target) })
}

// New wraps a listener.
func New(l net.Listener, opts ...Option) *Listener {
	o := Options{Failed: func(error) {}}
	for _, opt := range opts {
		opt(&o)
	}

	return &Listener{Listener: l, options: o}
}

// Accept waits for the next connection. It tries again after transient errors.
func (l *Listener) Accept() (net.Conn, error) {
	for backoff := time.Duration(0); ; {
		conn, err := l.Listener.Accept()
		if err == nil || !isTransient(err) {
			return conn, err
		}

		if backoff == 0 {
			l.options.Failed(err)
		}

		backoff = min(max(2*backoff, minBackoff), maxBackoff)
		time.Sleep(backoff)
	}
}

// isTransient reports whether a later attempt may succeed. An error of the system does, unless it is
// about the listener itself: a lack of descriptors or memory, or a connection that ended before
// it was accepted.
func isTransient(err error) bool {
	var number syscall.Errno
	if errors.Is(err, net.ErrClosed) || !errors.As(err, &number) {
		return false
	}

	ofListener := []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP}

	return !slices.Contains(ofListener, number)
}
