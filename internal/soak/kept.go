package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/pkg/settings"
)

const (
	// keptPause is the pause between two requests on an open connection: five of a node in
	// a second are as many calls as the others make in the short runs.
	keptPause = 200 * time.Millisecond
	// closingSlack is how long after its last byte was sent a request may find that its
	// connection was being closed while it was on its way. No server can prevent that: an
	// idle connection is closed at some time, and with the listener the kernel ends those
	// that the process has not accepted (136 of 300 plain servers of net/http that were shut
	// down while somebody connected). One that has read the request answers it.
	closingSlack = 50 * time.Millisecond
)

// kept is a caller of one node that goes on using its connection until the node closes
// it, whatever the node says of itself.
type kept struct {
	callers *callers
	host    harness.Host
	route   settings.Resolved

	conn   net.Conn
	reader *bufio.Reader
	sent   int // on this connection
}

// keep runs a caller with an open connection on each node until ctx ends.
func (c *callers) keep(ctx context.Context, host harness.Host) {
	for _, route := range c.routes {
		if route.Values.Idempotent && route.Match.Method == http.MethodGet {
			(&kept{callers: c, host: host, route: route}).run(ctx)

			return
		}
	}
}

func (k *kept) run(ctx context.Context) {
	defer k.close()

	for n := 0; ctx.Err() == nil; n++ {
		planned := k.callers.planned.Load()
		start := time.Now()
		cut, reason := k.call(ctx, n)

		if planned && k.callers.planned.Load() && !k.callers.wasFrozen(k.host.ID, start) {
			k.callers.recorder.check(PromiseOpenConnections, !cut, "%s through %s: %s after %s", k.route.Path, k.host.ID, reason, time.Since(start))
		}

		idle.For(ctx, keptPause)
	}
}

func (k *kept) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// call sends one request and reports whether it was cut off: read by the node, and not
// answered, or with nobody knowing whether it ran.
func (k *kept) call(ctx context.Context, n int) (cut bool, reason string) {
	limit := time.Duration(k.route.Values.Deadline) + hangBound

	if k.conn == nil {
		conn, err := (&net.Dialer{Timeout: limit}).DialContext(ctx, "tcp", k.host.Caller)
		if err != nil {
			return false, "" // nobody listens
		}

		k.conn, k.reader, k.sent = conn, bufio.NewReader(conn), 0
	}

	_ = k.conn.SetDeadline(time.Now().Add(limit))

	request := fmt.Sprintf("GET %skept-%d HTTP/1.1\r\nHost: %s\r\n\r\n", k.route.Match.PathPrefix, n, k.host.Caller)
	if _, err := io.WriteString(k.conn, request); err != nil {
		k.close()

		return false, "" // closed before
	}

	written := time.Now()
	k.sent++

	resp, err := http.ReadResponse(k.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}

	if err != nil {
		raced := resp == nil && time.Since(written) < closingSlack
		k.close()

		return !raced, fmt.Sprintf("request %d of its connection, answer begun %t: %v", k.sent, resp != nil, err)
	}

	if resp.Close {
		k.close()
	}

	ran := call.Ran(resp.Header.Get(frontend.HeaderRan))

	return resp.StatusCode != http.StatusOK && ran != call.RanNo, fmt.Sprintf("call %s status %d %s (%s)",
		resp.Header.Get(frontend.HeaderCall), resp.StatusCode, resp.Header.Get(frontend.HeaderReason), ran)
}
