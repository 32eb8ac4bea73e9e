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
	// probeTimeout bounds a probe on the local host, where connecting takes well under a
	// millisecond.
	probeTimeout = 50 * time.Millisecond
	// probeCount covers the moment in which an exiting process has closed the connections of
	// its calls but not yet its listener.
	probeCount = 3
)

// hasExited reports whether the backend server's process has exited: its host refuses
// connections. A timeout, or a broken connection to a process that still listens, does not
// count as a crash, so that a slow or panicking call does not make suspects of all calls that
// run at the same time.
func hasExited(ctx context.Context, address string) bool {
	for range probeCount {
		if !listens(ctx, address) {
			return true
		}
	}

	return false
}

// isConnectionLoss reports whether the error shows that the connection broke.
func isConnectionLoss(err error) bool {
	return errors.Is(err, errTransportRetry) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EPIPE)
}

// listens connects and waits briefly for a reset: the kernel still accepts connections for a
// process that is exiting, and then resets them.
func listens(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{Timeout: probeTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	defer func() { _ = conn.Close() }()

	const resetWait = 5 * time.Millisecond

	_ = conn.SetReadDeadline(time.Now().Add(resetWait))

	var b [1]byte

	_, err = conn.Read(b[:])

	var timeout net.Error

	return errors.As(err, &timeout) && timeout.Timeout()
}

// classifyFailure determines why a call ended without an answer and returns the matching
// error.
func (h *Host) classifyFailure(ctx context.Context, c call.Call, a Announcement, err error) error {
	// The call was canceled, for example because its entry node was killed. ErrBrokenOff lets
	// the gate count a later crash against it; without that, a single request crashed three
	// backend servers.
	if errors.Is(ctx.Err(), context.Canceled) {
		h.recorder.Record(event.UpstreamBroke, timeline.Entry{Call: c.ID, Key: c.Key, Detail: "call canceled: " + err.Error()})

		return call.Refuse(ErrNoAnswer.Wrap(ErrBrokenOff.Wrap(err)), call.RanUnknown, time.Second)
	}

	if ctx.Err() != nil || !isConnectionLoss(err) {
		return err
	}

	if !hasExited(ctx, a.Address) {
		h.recorder.Record(event.UpstreamBroke, timeline.Entry{Call: c.ID, Key: c.Key, Detail: "address accepts connections: " + err.Error()})

		return call.Refuse(ErrNoAnswer.Wrap(ErrBrokenOff.Wrap(err)), call.RanUnknown, time.Second)
	}

	h.recorder.Record(event.UpstreamBroke, timeline.Entry{Call: c.ID, Key: c.Key, Detail: "address refuses connections: " + err.Error()})
	h.withdrawCrashed(c, a)

	return call.Refuse(ErrCrashed.Wrap(err), call.RanUnknown, time.Second)
}

// withdrawCrashed withdraws a crashed backend server before its announcement expires, unless
// another one has announced itself since.
func (h *Host) withdrawCrashed(c call.Call, ended Announcement) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.current != ended {
		return
	}

	h.recorder.Record(event.UpstreamLost, timeline.Entry{Call: c.ID, Detail: ended.Service + " exited while it ran a call"})
	h.resetClient(ended.Connections)
	h.withdraw()
}
