package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
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

// server is a backend server on plain connections. It answers the first request of a
// connection and calls onSecond for the second.
type server struct {
	listener net.Listener
	requests atomic.Int32
	onSecond func(s *server, c net.Conn)
}

func startServer(t *testing.T, onSecond func(*server, net.Conn)) *server {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	s := &server{listener: l, onSecond: onSecond}

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
			s.onSecond(s, c)

			return
		}

		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func newHost(t *testing.T, s *server) *upstream.Host {
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

// closeConn breaks the connection during a call, as a panicking handler does.
func closeConn(*server, net.Conn) {}

// endProcess closes the listener too, as an exiting process does.
func endProcess(s *server, _ net.Conn) { _ = s.listener.Close() }

func endProcessLater(s *server, c net.Conn) {
	time.Sleep(50 * time.Millisecond)
	endProcess(s, c)
}

// The connection to a backend server breaks between an upload and its answer. net/http
// retries a request with an Idempotency-Key, and the donation would be booked twice although
// the mesh sent it once.
func TestTransportDoesNotRetryAnUpload(t *testing.T) {
	for name, body := range map[string]string{"with a body": "gift aid", "without": ""} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, closeConn)
			h := newHost(t, s)

			_, err := h.Run(t.Context(), upload("1", body))
			assert.NilError(t, err)

			_, err = h.Run(t.Context(), upload("2", body))
			assert.ErrorIs(t, err, upstream.ErrNoAnswer)
			assert.Equal(t, s.requests.Load(), int32(2))
		})
	}
}

// Control for TestTransportDoesNotRetryAnUpload: a plain transport does retry.
func TestPlainTransportRetriesAnUpload(t *testing.T) {
	s := startServer(t, closeConn)
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

// A crash makes suspects of all running calls. A timeout, or a panicking handler in a process
// that keeps running, must not: a slow call would get unrelated calls rejected.
func TestOnlyAnExitedProcessCountsAsACrash(t *testing.T) {
	for name, c := range map[string]struct {
		second  func(*server, net.Conn)
		timeout time.Duration
		want    error
	}{
		"process ended":     {endProcess, time.Minute, upstream.ErrCrashed},
		"connection closed": {closeConn, time.Minute, upstream.ErrNoAnswer},
		"no answer in time": {func(*server, net.Conn) { time.Sleep(200 * time.Millisecond) }, 20 * time.Millisecond, upstream.ErrNoAnswer},
		"ended later":       {endProcessLater, 20 * time.Millisecond, upstream.ErrNoAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, c.second)
			h := newHost(t, s)

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

// A GET crashes the backend server over a reused connection. The transport's retry is refused,
// which looks like a call that never reached the backend server: the crash would not be
// counted, and the mesh would retry the call on the next backend server.
func TestCrashIsDetectedDespiteTheTransportsRetry(t *testing.T) {
	s := startServer(t, endProcess)
	h := newHost(t, s)
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

// A GET crashes the backend server, and a supervisor restarts it so fast that the transport's
// retry would reach the new instance: one attempt would crash two instances and count as
// one.
func TestTransportDoesNotRetryACallWhoseConnectionBroke(t *testing.T) {
	s := startServer(t, closeConn)
	h := newHost(t, s)
	open := call.Call{ID: "1", Service: "ledger", Method: http.MethodGet, URI: "/folders/1", Idempotent: true, Class: settings.ClassInteractive}

	_, err := h.Run(t.Context(), open)
	assert.NilError(t, err)

	_, err = h.Run(t.Context(), open)
	assert.ErrorIs(t, err, upstream.ErrBrokenOff)
	assert.Equal(t, s.requests.Load(), int32(2))

	_, err = h.Run(t.Context(), open)
	assert.NilError(t, err)
}

// A backend server restarts at the same address. Uploads sent on connections to the earlier
// instance would end with an unknown outcome although none had run.
func TestRestartDropsConnectionsToTheEarlierInstance(t *testing.T) {
	s := startServer(t, closeConn)
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

// The entry node of a call is killed while the call runs, which cancels the call. The call may
// still crash the backend server, so the result is ErrBrokenOff.
func TestCanceledCallIsReportedAsBrokenOff(t *testing.T) {
	s := startServer(t, func(*server, net.Conn) { time.Sleep(time.Second) })
	h := newHost(t, s)

	_, err := h.Run(t.Context(), upload("1", "x"))
	assert.NilError(t, err)

	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)

	_, err = h.Run(ctx, upload("2", "x"))
	assert.ErrorIs(t, err, upstream.ErrBrokenOff)
}

// scripted returns a host whose backend server answers each request with f and closes the connection.
func scripted(t *testing.T, f func(c net.Conn)) *upstream.Host {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			go func() {
				defer c.Close()

				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					f(c)
				}
			}()
		}
	}()

	return newHost(t, &server{listener: l})
}

func lookup(id string) call.Call {
	return call.Call{ID: id, Service: "ledger", Method: http.MethodGet, URI: "/folders/" + id, Idempotent: true, Class: settings.ClassInteractive}
}

// Guards against an empty or short success, since the backend server closed in the middle of its answer's head or body.
func TestAnswerCutShortIsNoAnswer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello"

	var cut atomic.Int32

	h := scripted(t, func(c net.Conn) { _, _ = io.WriteString(c, whole[:cut.Load()]) })

	for i := range len(whole) {
		cut.Store(int32(i))

		_, err := h.Run(t.Context(), lookup(strconv.Itoa(i)))
		assert.Assert(t, err != nil, "cut after %q", whole[:i])
	}
}

// Guards against a process that ends for its memory, since the head or the body of an answer has no end.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	block := bytes.Repeat([]byte("x"), 64<<10)

	for _, head := range []string{"", "HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\n\r\n"} {
		ended := make(chan int, 1)
		h := scripted(t, func(c net.Conn) {
			_, _ = io.WriteString(c, head)

			for sent := 0; ; sent += len(block) {
				if _, err := c.Write(block); err != nil {
					ended <- sent

					return
				}
			}
		})

		_, err := h.Run(t.Context(), lookup("1"))
		assert.Assert(t, err != nil)

		sent := <-ended
		assert.Assert(t, sent < 4*upstream.MaxAnswer, "%d bytes were taken", sent)
	}
}
