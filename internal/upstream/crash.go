package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

const (
	// probeTime bounds the probe on the own host, where a connection takes well
	// under a millisecond.
	probeTime = 50 * time.Millisecond
	// probes bridge the moment in which a process that ends has closed the
	// connections of its calls and not yet its listener.
	probes = 3
)

// crashed reports whether the backend server ended while it ran a call whose connection
// broke. Its process is gone if its host refuses connections. A timeout, and a broken
// connection to a process that still listens, are not taken for a crash: a slow or
// panicking call must not make suspects of all that runs beside it.
func crashed(ctx context.Context, address string) bool {
	for range probes {
		if !listens(ctx, address) {
			return true
		}
	}

	return false
}

func broken(err error) bool {
	return errors.Is(err, errRepeat) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EPIPE) || serverClosed(err)
}

// serverClosed matches the error of net/http for which it has no sentinel.
func serverClosed(err error) bool {
	const text = "http: server closed idle connection"

	for ; err != nil; err = errors.Unwrap(err) {
		if err.Error() == text {
			return true
		}
	}

	return false
}

// listens makes a connection and waits a moment: the kernel still takes
// connections for a process that is just ending, and then resets them.
func listens(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{Timeout: probeTime}).DialContext(ctx, "tcp", address)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	defer func() { _ = conn.Close() }()

	const moment = 5 * time.Millisecond

	_ = conn.SetReadDeadline(time.Now().Add(moment))

	var b [1]byte

	_, err = conn.Read(b[:])

	var timeout net.Error

	return errors.As(err, &timeout) && timeout.Timeout()
}

// brokeOff tells what became of a call that ended without an answer, and returns the error
// that says so.
func (h *Host) brokeOff(ctx context.Context, c call.Call, a Announcement, err error) error {
	// Nobody waits any more, perhaps since the entry was killed. Whether the call ended the
	// backend server shows later. A crash in which only such calls ran was not counted, and
	// one request ended three backend servers.
	if errors.Is(ctx.Err(), context.Canceled) {
		h.recorder.Record(event.UpstreamBroke, timeline.Entry{Call: c.ID, Key: c.Key, Detail: "given up: " + err.Error()})

		return call.Refuse(ErrNoAnswer.Wrap(ErrBrokenOff.Wrap(err)), call.RanUnknown, time.Second)
	}

	if ctx.Err() != nil || !broken(err) {
		return err
	}

	if !crashed(ctx, a.Address) {
		h.recorder.Record(event.UpstreamBroke, timeline.Entry{Call: c.ID, Key: c.Key, Detail: "listens: " + err.Error()})

		return call.Refuse(ErrNoAnswer.Wrap(ErrBrokenOff.Wrap(err)), call.RanUnknown, time.Second)
	}

	h.recorder.Record(event.UpstreamBroke, timeline.Entry{Call: c.ID, Key: c.Key, Detail: "refuses connections: " + err.Error()})
	h.lose(c, a)

	return call.Refuse(ErrCrashed.Wrap(err), call.RanUnknown, time.Second)
}

// lose withdraws a backend server that ended at once, before its announcement
// runs out, unless another one has announced itself since.
func (h *Host) lose(c call.Call, ended Announcement) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.current != ended {
		return
	}

	h.recorder.Record(event.UpstreamLost, timeline.Entry{Call: c.ID, Detail: ended.Service + " ended while it ran a call"})
	h.connectAnew(ended.Connections)
	h.withdraw()
}
