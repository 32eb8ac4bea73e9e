package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/internal/upstream"
	"github.com/pollencart/pollencart/pkg/settings"
	announce "github.com/pollencart/pollencart/pkg/upstream"
)

// server is a backend server made of plain connections. It answers the first
// request of a connection and does as it is told with later ones.
type server struct {
	listener net.Listener
	requests atomic.Int32
	second   func(s *server, c net.Conn)
}

func serve(t *testing.T, second func(*server, net.Conn)) *server {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	s := &server{listener: l, second: second}

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			go s.conn(c)
		}
	}()

	return s
}

func (s *server) conn(c net.Conn) {
	defer c.Close()

	in := bufio.NewReader(c)

	for first := true; ; first = false {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}

		_, _ = io.Copy(io.Discard, req.Body)
		s.requests.Add(1)

		if !first {
			s.second(s, c)

			return
		}

		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func hostOf(t *testing.T, s *server) *upstream.Host {
	t.Helper()

	r := timeline.New()
	h := upstream.New(membership.NewTable(membership.Record{ID: "a", PeerAddress: "127.0.0.1:1"}, r), admission.New(), r)
	assert.NilError(t, h.Announce(upstream.Announcement{
		Service: "ledger", Address: s.listener.Addr().String(), Slots: 2, Connections: 2,
		State: announce.Ready, TTL: settings.Duration(time.Minute),
	}))

	return h
}

func upload(id, body string) call.Call {
	return call.Call{
		ID: id, Service: "ledger", Method: http.MethodPost, URI: "/uploads/1", Body: []byte(body), Key: "key-" + id,
		Class: settings.ClassWrite,
	}
}

// closeConn breaks the connection in the middle of a call, as a backend server
// does whose handler panics.
func closeConn(*server, net.Conn) {}

// endProcess closes the listener too: the process ends.
func endProcess(s *server, _ net.Conn) { _ = s.listener.Close() }

func endLater(s *server, c net.Conn) {
	time.Sleep(50 * time.Millisecond)
	endProcess(s, c)
}

// The connection to a backend server breaks after an upload was sent and before
// its answer came. net/http sends a request with an Idempotency-Key once more by
// itself, and the donation would be booked twice although the mesh sent it once.
func TestTheTransportDoesNotRepeatAnUpload(t *testing.T) {
	for name, body := range map[string]string{"with a body": "gift aid", "without": ""} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, closeConn)
			h := hostOf(t, s)

			_, err := h.Run(t.Context(), upload("1", body))
			assert.NilError(t, err)

			_, err = h.Run(t.Context(), upload("2", body))
			assert.ErrorIs(t, err, upstream.ErrNoAnswer)
			assert.Equal(t, s.requests.Load(), int32(2))
		})
	}
}

// The control of the test above: without the guard the transport does repeat.
func TestThePlainTransportRepeatsAnUpload(t *testing.T) {
	s := serve(t, closeConn)
	client := &http.Client{Transport: &http.Transport{}}

	for range 2 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.listener.Addr().String(),
			bytes.NewReader([]byte("gift aid")))
		assert.NilError(t, err)
		req.Header.Set(upstream.HeaderKey, "key")

		if resp, err := client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}

	assert.Equal(t, s.requests.Load(), int32(3))
}

// A crash makes suspects of all that ran. A timeout, or a handler that panics in
// a process that lives on, must not: a slow call would get its neighbours
// refused.
func TestOnlyTheEndOfTheProcessIsACrash(t *testing.T) {
	for name, c := range map[string]struct {
		second  func(*server, net.Conn)
		timeout time.Duration
		want    error
	}{
		"process ended":     {endProcess, time.Minute, upstream.ErrCrashed},
		"connection closed": {closeConn, time.Minute, upstream.ErrNoAnswer},
		"no answer in time": {func(*server, net.Conn) { time.Sleep(200 * time.Millisecond) }, 20 * time.Millisecond, upstream.ErrNoAnswer},
		"ended later":       {endLater, 20 * time.Millisecond, upstream.ErrNoAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, c.second)
			h := hostOf(t, s)

			_, err := h.Run(t.Context(), upload("1", "x"))
			assert.NilError(t, err)

			ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
			defer cancel()

			_, err = h.Run(ctx, upload("2", "x"))
			assert.ErrorIs(t, err, c.want)

			var r *call.Refusal

			assert.Assert(t, errors.As(err, &r))
			assert.Equal(t, r.Ran, call.RanUnknown)
		})
	}
}

// A folder open ends the backend server over a connection that was used before.
// The transport sends the GET again by itself, finds nobody listening, and the
// error looks like a call that never reached anybody: the crash would not be
// counted, and the mesh would go on to the next backend server.
func TestACrashIsSeenBehindTheTransportsOwnRepeat(t *testing.T) {
	s := serve(t, endProcess)
	h := hostOf(t, s)
	open := call.Call{ID: "1", Service: "ledger", Method: http.MethodGet, URI: "/folders/1", Idempotent: true, Class: settings.ClassInteractive}

	_, err := h.Run(t.Context(), open)
	assert.NilError(t, err)

	_, err = h.Run(t.Context(), open)
	assert.ErrorIs(t, err, upstream.ErrCrashed)
	assert.Equal(t, h.Current().State, announce.Gone)

	_, err = h.Run(t.Context(), open)

	var r *call.Refusal

	assert.Assert(t, errors.As(err, &r))
	assert.Equal(t, r.Ran, call.RanNo, "nobody listens: %v", err)
}

// A folder open ends the backend server, and a supervisor starts it again within a
// moment, so that the transport's own repeat of the GET finds somebody who listens: one
// attempt would end two backend servers, and be counted as one.
func TestTheTransportDoesNotRepeatACallThatBrokeOff(t *testing.T) {
	s := serve(t, closeConn)
	h := hostOf(t, s)
	open := call.Call{ID: "1", Service: "ledger", Method: http.MethodGet, URI: "/folders/1", Idempotent: true, Class: settings.ClassInteractive}

	_, err := h.Run(t.Context(), open)
	assert.NilError(t, err)

	_, err = h.Run(t.Context(), open)
	assert.ErrorIs(t, err, upstream.ErrBrokenOff)
	assert.Equal(t, s.requests.Load(), int32(2))

	_, err = h.Run(t.Context(), open)
	assert.NilError(t, err)
}

// A backend server is stopped and started again at its address. Uploads were sent on the
// connections of the one before, and ended in "unknown" though none had run.
func TestConnectionsToAnEarlierStartAreLeft(t *testing.T) {
	s := serve(t, closeConn)
	restarts := 0
	r := timeline.New()
	h := upstream.New(membership.NewTable(membership.Record{ID: "a", PeerAddress: "127.0.0.1:1"}, r), admission.New(), r,
		upstream.Restarted(func() { restarts++ }))

	a := upstream.Announcement{
		Service: "ledger", Address: s.listener.Addr().String(), Slots: 2, Connections: 2,
		State: announce.Ready, TTL: settings.Duration(time.Minute),
	}

	for i, start := range []string{"first", "second"} {
		a.Start = start
		assert.NilError(t, h.Announce(a))

		_, err := h.Run(t.Context(), upload(start, "x"))
		assert.NilError(t, err)
		assert.Equal(t, restarts, i)
	}
}

// The entry of a call is killed while the call runs, and with it the wait for the answer.
// Whether the call ended the backend server is still to be found out.
func TestACallThatWasGivenUpMayHaveEndedTheBackendServer(t *testing.T) {
	s := serve(t, func(*server, net.Conn) { time.Sleep(time.Second) })
	h := hostOf(t, s)

	_, err := h.Run(t.Context(), upload("1", "x"))
	assert.NilError(t, err)

	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)

	_, err = h.Run(ctx, upload("2", "x"))
	assert.ErrorIs(t, err, upstream.ErrBrokenOff)
}
