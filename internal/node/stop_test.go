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

// browser is a host of a service that takes no uploads.
const browser = 0

func drainIn(d time.Duration) func(*config.Config) {
	return func(c *config.Config) { c.DrainTimeout = settings.Duration(d) }
}

// link speaks HTTP on one connection, and says whether it ended without an answer.
type link struct {
	conn net.Conn
	in   *bufio.Reader
	last bool // the answer was the last of the connection
}

func dial(address string) (*link, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}

	return &link{conn: c, in: bufio.NewReader(c)}, nil
}

func (c *link) close() { _ = c.conn.Close() }

// get sends a call that has a time limit and waits for its whole answer.
func (c *link) get(id, path string, limit, work time.Duration) (reply, error) {
	return c.exchange(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n%s: %s\r\n%s: %d\r\n%s: %d\r\n\r\n",
		path, frontend.HeaderCall, id, frontend.HeaderDeadline, limit.Milliseconds(), backend.HeaderWorkMs, work.Milliseconds()))
}

func (c *link) exchange(request string) (reply, error) {
	if _, err := io.WriteString(c.conn, request); err != nil {
		return reply{}, err
	}

	return c.answer()
}

func (c *link) answer() (reply, error) {
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

	return r, json.Unmarshal(data, &r.away)
}

// assertRefused checks that a call was refused since the node stops, and can go elsewhere.
func assertRefused(t *testing.T, r reply) {
	t.Helper()

	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, r.away.ID, "entry.leaving")
	assert.Equal(t, r.away.Ran, call.RanNo)
	assert.Assert(t, r.header.Get("Retry-After") != "")
}

// stayers are callers of one host that go on until its process has ended.
type stayers struct {
	address string

	mu       sync.Mutex
	sent     int
	statuses map[int]int
	unnamed  int
	cut      []string // calls whose connection ended without an answer
}

func (s *stayers) name() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.sent++

	return "stayer-" + strconv.Itoa(s.sent) + "."
}

// call makes one call, and reports whether the connection may be used again.
func (s *stayers) call(c *link, work time.Duration) bool {
	id := s.name()
	r, err := c.get(id, "/folders/1", time.Second, work)

	s.mu.Lock()
	defer s.mu.Unlock()

	if err != nil {
		s.cut = append(s.cut, id)

		return false
	}

	s.statuses[r.status]++

	if r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") == "" {
		s.unnamed++
	}

	return !c.last
}

// until makes calls until ctx ends: on kept connections, on new ones, and on some that say
// nothing for a while.
func (s *stayers) until(ctx context.Context, calling *sync.WaitGroup) {
	const callers = 3

	for range callers {
		for _, silent := range []time.Duration{0, 0, 300 * time.Millisecond} {
			calling.Go(func() {
				for ctx.Err() == nil {
					c, err := dial(s.address)
					if err != nil {
						time.Sleep(time.Millisecond)

						continue
					}

					time.Sleep(silent)

					for s.call(c, 20*time.Millisecond) && ctx.Err() == nil {
					}

					c.close()
				}
			})
		}
	}
}

// Callers that nobody takes out of use must not keep a stop open, nor lose a call that ran.
func TestAStopEndsWhileItsCallersGoOn(t *testing.T) {
	t.Parallel()

	f := startFleet(t, drainIn(6*time.Second))
	f.accept()

	h := f.hosts[browser]
	s := &stayers{address: h.Caller, statuses: map[int]int{}}

	var calling sync.WaitGroup

	ctx, cancel := context.WithCancel(t.Context())
	s.until(ctx, &calling)
	time.Sleep(500 * time.Millisecond)
	h.stop()
	assert.NilError(t, <-h.done)
	cancel()
	calling.Wait()

	ran := 0

	for _, id := range s.cut {
		if strings.Contains(f.linesOf(id), "CallRun") {
			ran++
		}
	}

	t.Logf("%d calls, answers %v, cut off %d, of these ran %d", s.sent, s.statuses, len(s.cut), ran)
	assert.Equal(t, ran, 0)
	assert.Equal(t, s.unnamed, 0)
	assert.Assert(t, s.statuses[http.StatusOK] > 0)
	assert.Assert(t, s.statuses[http.StatusServiceUnavailable] > 0)
}

// A call that comes once a stop takes none must be refused by word, at once, and not run.
func TestAStopRefusesByWordWhatItCannotEnd(t *testing.T) {
	t.Parallel()

	f := startFleet(t, drainIn(9*time.Second))
	f.accept()

	h := f.hosts[browser]
	taken := make(chan reply)

	go func() {
		taken <- f.send(browser, http.MethodPost, "/uploads/1", "a", map[string]string{backend.HeaderWorkMs: "3500"})
	}()

	f.wait("the upload", func() bool { return f.inFlight() > 0 })
	h.stop()
	time.Sleep(500 * time.Millisecond)

	early, err := dial(h.Caller)
	assert.NilError(t, err)
	time.Sleep(time.Second)

	for n, c := range []*link{early, nil, nil} {
		if c == nil {
			c, err = dial(h.Caller)
			assert.NilError(t, err)
		}

		id := "late-" + strconv.Itoa(n) + "."
		r, err := c.get(id, "/folders/1", time.Second, 0)
		assert.NilError(t, err)
		assertRefused(t, r)
		assert.Assert(t, !strings.Contains(f.linesOf(id), "CallRun"))
		c.close()
	}

	assert.Equal(t, (<-taken).status, http.StatusOK)
	assert.NilError(t, <-h.done)
}

// inFlight counts what the backend servers run.
func (f *fleet) inFlight() int {
	n := 0
	for _, h := range f.hosts {
		n += h.backend.InFlight()
	}

	return n
}

// runBeside sends uploads through another node until one runs beside a node.
func (f *fleet) runBeside(i int, work time.Duration) (taken chan reply, sent int) {
	const most = 64

	taken = make(chan reply, most)
	header := map[string]string{backend.HeaderWorkMs: strconv.FormatInt(work.Milliseconds(), 10)}

	f.wait("an upload beside "+f.hosts[i].ID, func() bool {
		sent++

		go func() { taken <- f.send(browser, http.MethodPost, "/uploads/1", "a", header) }()

		time.Sleep(20 * time.Millisecond)

		return f.hosts[i].backend.InFlight() > 0 || sent == most
	})

	return taken, sent
}

// The backend server still runs a call, which fails if the calls that it makes itself do.
func TestAStoppingNodeTakesCallsOfItsBackendServer(t *testing.T) {
	t.Parallel()

	f := startFleet(t, drainIn(9*time.Second))
	f.accept()

	h := f.hosts[ledger]
	taken, sent := f.runBeside(ledger, 3500*time.Millisecond)
	h.stop()
	time.Sleep(1500 * time.Millisecond)

	r := f.send(ledger, http.MethodGet, "/folders/1", "", nil)
	assert.Equal(t, r.status, http.StatusOK)

	// Its time limit is after the end of the process.
	r = f.send(ledger, http.MethodPost, "/archive/1", "", nil)
	assertRefused(t, r)

	for range sent {
		assert.Equal(t, (<-taken).status, http.StatusOK)
	}

	assert.NilError(t, <-h.done)
}

// A call that ends in time must not be cut off because other nodes were told of the stop before.
func TestACallThatEndsAfterItsNodeLeftIsAnswered(t *testing.T) {
	t.Parallel()

	f := startFleet(t, drainIn(6*time.Second))
	f.accept()

	h := f.hosts[ledger]
	taken, sent := f.runBeside(ledger, 4850*time.Millisecond)
	h.stop()

	for range sent {
		r := <-taken
		assert.Check(t, r.status == http.StatusOK, "%d %+v\n%s", r.status, r.away, f.linesOf(r.away.Call))
	}

	assert.NilError(t, <-h.done)
}

// A caller that sends its body as slowly as it likes must not keep a stop open, nor lose its connection.
func TestAStopRefusesACallWhoseBodyHasNotCome(t *testing.T) {
	t.Parallel()

	f := startFleet(t, drainIn(4*time.Second))
	f.accept()

	h := f.hosts[browser]
	l, err := dial(h.Caller)
	assert.NilError(t, err)

	_, err = io.WriteString(l.conn, "POST /uploads/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na")
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	h.stop()

	r, err := l.answer()
	assert.NilError(t, err)
	assertRefused(t, r)
	assert.NilError(t, <-h.done)
	assert.Assert(t, !strings.Contains(h.log.text(), "NodeCutsOff"))
}
