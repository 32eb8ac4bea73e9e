package node_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/standin/backend"
	"github.com/pollencart/pollencart/pkg/settings"
)

// browseHost is the index of a host of a service that handles no uploads.
const browseHost = 0

func withDrainTimeout(d time.Duration) func(*config.Config) {
	return func(c *config.Config) { c.DrainTimeout = settings.Duration(d) }
}

// httpConn is an HTTP client on a single connection; its errors show whether the connection
// ended without an answer.
type httpConn struct {
	conn net.Conn
	in   *bufio.Reader
	last bool // the server closes the connection after the last answer
}

func dial(address string) (*httpConn, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}

	return &httpConn{conn: c, in: bufio.NewReader(c)}, nil
}

func (c *httpConn) close() { _ = c.conn.Close() }

// get sends a call with a caller timeout and reads its whole answer.
func (c *httpConn) get(id, path string, timeout, work time.Duration) (reply, error) {
	return c.exchange(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n%s: %s\r\n%s: %d\r\n%s: %d\r\n\r\n",
		path, frontend.HeaderCall, id, frontend.HeaderDeadline, timeout.Milliseconds(), backend.HeaderWorkMs, work.Milliseconds()))
}

func (c *httpConn) exchange(request string) (reply, error) {
	if _, err := io.WriteString(c.conn, request); err != nil {
		return reply{}, err
	}

	return c.answer()
}

func (c *httpConn) answer() (reply, error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return reply{}, err
	}

	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, err
	}

	c.last = resp.Close
	r := reply{status: resp.StatusCode, header: resp.Header}

	return r, json.Unmarshal(data, &r.refusal)
}

// assertRejectedByDrain checks that a call was rejected as not run because the node drains.
func assertRejectedByDrain(t *testing.T, r reply) {
	t.Helper()

	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, r.refusal.ID, "entry.leaving")
	assert.Equal(t, r.refusal.Ran, call.RanNo)
	assert.Assert(t, r.header.Get("Retry-After") != "")
}

// persistentCallers call one node until its process has terminated.
type persistentCallers struct {
	address string

	mu                sync.Mutex
	sent              int
	statuses          map[int]int
	withoutRetryAfter int
	unanswered        []string // calls whose connection ended without an answer
}

func (s *persistentCallers) nextID() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.sent++

	return "stayer-" + strconv.Itoa(s.sent) + "."
}

// call makes one call and reports whether the connection can be reused.
func (s *persistentCallers) call(c *httpConn, work time.Duration) bool {
	id := s.nextID()
	r, err := c.get(id, "/folders/1", time.Second, work)

	s.mu.Lock()
	defer s.mu.Unlock()

	if err != nil {
		s.unanswered = append(s.unanswered, id)

		return false
	}

	s.statuses[r.status]++

	if r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") == "" {
		s.withoutRetryAfter++
	}

	return !c.last
}

// start starts goroutines that make calls until ctx ends, some of them on connections that are
// idle at first.
func (s *persistentCallers) start(ctx context.Context, calling *sync.WaitGroup) {
	const callers = 3

	for range callers {
		for _, idle := range []time.Duration{0, 0, 300 * time.Millisecond} {
			calling.Go(func() {
				for ctx.Err() == nil {
					c, err := dial(s.address)
					if err != nil {
						time.Sleep(time.Millisecond)

						continue
					}

					time.Sleep(idle)

					for s.call(c, 20*time.Millisecond) && ctx.Err() == nil {
					}

					c.close()
				}
			})
		}
	}
}

// Callers that keep calling a draining node must neither delay the end of the drain nor lose
// the answer of a call that ran.
func TestDrainEndsWhileCallersContinue(t *testing.T) {
	t.Parallel()

	f := startFleet(t, withDrainTimeout(6*time.Second))
	f.accept()

	h := f.hosts[browseHost]
	s := &persistentCallers{address: h.Caller, statuses: map[int]int{}}

	var calling sync.WaitGroup

	ctx, cancel := context.WithCancel(t.Context())
	s.start(ctx, &calling)
	time.Sleep(500 * time.Millisecond)
	h.stop()
	assert.NilError(t, <-h.done)
	cancel()
	calling.Wait()

	ran := 0

	for _, id := range s.unanswered {
		if strings.Contains(f.logLines(id), "CallRun") {
			ran++
		}
	}

	t.Logf("%d calls, answers %v, %d unanswered, of which %d ran", s.sent, s.statuses, len(s.unanswered), ran)
	assert.Equal(t, ran, 0)
	assert.Equal(t, s.withoutRetryAfter, 0)
	assert.Assert(t, s.statuses[http.StatusOK] > 0)
	assert.Assert(t, s.statuses[http.StatusServiceUnavailable] > 0)
}

// A call that arrives after the node has closed its intake must get an explicit rejection and
// must not run.
func TestDrainRejectsLateCallsExplicitly(t *testing.T) {
	t.Parallel()

	f := startFleet(t, withDrainTimeout(9*time.Second))
	f.accept()

	h := f.hosts[browseHost]
	replies := make(chan reply)

	go func() {
		replies <- f.send(browseHost, http.MethodPost, "/uploads/1", "a", map[string]string{backend.HeaderWorkMs: "3500"})
	}()

	f.wait("the upload to run", func() bool { return f.inFlight() > 0 })
	h.stop()
	time.Sleep(500 * time.Millisecond)

	idleConn, err := dial(h.Caller)
	assert.NilError(t, err)
	time.Sleep(time.Second)

	for n, c := range []*httpConn{idleConn, nil, nil} {
		if c == nil {
			c, err = dial(h.Caller)
			assert.NilError(t, err)
		}

		id := "late-" + strconv.Itoa(n) + "."
		r, err := c.get(id, "/folders/1", time.Second, 0)
		assert.NilError(t, err)
		assertRejectedByDrain(t, r)
		assert.Assert(t, !strings.Contains(f.logLines(id), "CallRun"))
		c.close()
	}

	assert.Equal(t, (<-replies).status, http.StatusOK)
	assert.NilError(t, <-h.done)
}

// inFlight counts the calls that run at all backend servers.
func (f *fleet) inFlight() int {
	n := 0
	for _, h := range f.hosts {
		n += h.backend.InFlight()
	}

	return n
}

// runOnHost sends uploads through another node until one runs at the backend server of host i.
func (f *fleet) runOnHost(i int, work time.Duration) (replies chan reply, sent int) {
	const most = 64

	replies = make(chan reply, most)
	header := map[string]string{backend.HeaderWorkMs: strconv.FormatInt(work.Milliseconds(), 10)}

	f.wait("an upload to run on "+f.hosts[i].ID, func() bool {
		sent++

		go func() { replies <- f.send(browseHost, http.MethodPost, "/uploads/1", "a", header) }()

		time.Sleep(20 * time.Millisecond)

		return f.hosts[i].backend.InFlight() > 0 || sent == most
	})

	return replies, sent
}

// While the backend server of a draining node runs a call, the node must admit calls, since the
// running call may depend on calls that the backend server makes through the node.
func TestDrainingNodeAdmitsCallsOfItsBackendServer(t *testing.T) {
	t.Parallel()

	f := startFleet(t, withDrainTimeout(9*time.Second))
	f.accept()

	h := f.hosts[ledgerHost]
	replies, sent := f.runOnHost(ledgerHost, 3500*time.Millisecond)
	h.stop()
	time.Sleep(1500 * time.Millisecond)

	r := f.send(ledgerHost, http.MethodGet, "/folders/1", "", nil)
	assert.Equal(t, r.status, http.StatusOK)

	// The deadline of this call is after the end of the drain.
	r = f.send(ledgerHost, http.MethodPost, "/archive/1", "", nil)
	assertRejectedByDrain(t, r)

	for range sent {
		assert.Equal(t, (<-replies).status, http.StatusOK)
	}

	assert.NilError(t, <-h.done)
}

// A call that ends within the DrainTimeout must be answered, also after the node has announced
// its departure.
func TestCallThatEndsAfterDepartureIsAnswered(t *testing.T) {
	t.Parallel()

	f := startFleet(t, withDrainTimeout(6*time.Second))
	f.accept()

	h := f.hosts[ledgerHost]
	replies, sent := f.runOnHost(ledgerHost, 4850*time.Millisecond)
	h.stop()

	for range sent {
		r := <-replies
		assert.Check(t, r.status == http.StatusOK, "%d %+v\n%s", r.status, r.refusal, f.logLines(r.refusal.Call))
	}

	assert.NilError(t, <-h.done)
}

// A caller that sends its request body slowly must not delay the end of the drain, and must get
// a rejection before its connection is closed.
func TestDrainRejectsCallWithIncompleteBody(t *testing.T) {
	t.Parallel()

	f := startFleet(t, withDrainTimeout(4*time.Second))
	f.accept()

	h := f.hosts[browseHost]
	l, err := dial(h.Caller)
	assert.NilError(t, err)

	_, err = io.WriteString(l.conn, "POST /uploads/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na")
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	h.stop()

	r, err := l.answer()
	assert.NilError(t, err)
	assertRejectedByDrain(t, r)
	assert.NilError(t, <-h.done)
	assert.Assert(t, !strings.Contains(h.log.text(), "NodeCutsOff"))
}
