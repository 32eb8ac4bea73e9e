package sidecar_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

// stayers are callers of one host that nobody takes out of use: they go on until its
// process has ended.
type stayers struct {
	address  string
	patience time.Duration
	calling  sync.WaitGroup

	mu       sync.Mutex
	sent     int
	statuses map[int]int
	turned   int      // refusals that name the stop
	unnamed  int      // refusals without a time to come back
	cut      []string // calls whose connection ended without their answer
}

func newStayers(h *host, patience time.Duration) *stayers {
	return &stayers{address: h.config.CallerAddress, patience: patience, statuses: map[int]int{}}
}

func (s *stayers) name() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.sent++

	return fmt.Sprintf("stayer-%d", s.sent)
}

func (s *stayers) answered(r *http.Response, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.statuses[r.StatusCode]++

	if strings.Contains(body, "this node is being stopped") {
		s.turned++
	}

	if r.StatusCode == http.StatusServiceUnavailable && r.Header.Get("Retry-After") == "" {
		s.unnamed++
	}
}

func (s *stayers) lost(ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.cut = append(s.cut, ids...)
}

func (s *stayers) request(id string) string {
	names := platform.Headers()

	return fmt.Sprintf("GET /safe/%s HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: %s\r\n%s: %d\r\n\r\n", id, names.Call, id, names.Deadline,
		s.patience.Milliseconds())
}

// alone sends one call on a connection of its own.
func (s *stayers) alone() {
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		return // refused before anything was sent
	}
	defer func() { _ = c.Close() }()

	id := s.name()

	if _, err := io.WriteString(c, s.request(id)); err != nil {
		s.lost(id)

		return
	}

	if !s.read(bufio.NewReader(c)) {
		s.lost(id)
	}
}

// read reads one whole answer.
func (s *stayers) read(in *bufio.Reader) bool {
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}

	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}

	s.answered(r, string(body))

	return true
}

// ahead sends calls on one connection, the next one always before the last is answered,
// until the connection ends.
func (s *stayers) ahead(ctx context.Context, pause time.Duration) {
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()

	var (
		mu      sync.Mutex
		waiting []string
	)

	go func() {
		for ctx.Err() == nil {
			id := s.name()

			mu.Lock()
			waiting = append(waiting, id)
			mu.Unlock()

			if _, err := io.WriteString(c, s.request(id)); err != nil {
				return
			}

			time.Sleep(pause)
		}
	}()

	for in := bufio.NewReader(c); s.read(in); {
		mu.Lock()
		waiting = waiting[1:]
		mu.Unlock()
	}

	mu.Lock()
	defer mu.Unlock()

	s.lost(waiting...)
}

// until keeps calls coming until ctx ends: some on connections of their own, some ahead.
func (s *stayers) until(ctx context.Context, pause time.Duration) {
	for range 3 {
		s.calling.Go(func() {
			for ctx.Err() == nil {
				s.ahead(ctx, pause)
				time.Sleep(pause)
			}
		})
	}

	s.calling.Go(func() {
		for ctx.Err() == nil {
			s.calling.Go(s.alone)
			time.Sleep(pause)
		}
	})
}

// ranWithoutAnswer returns the calls that a backend server ran and whose caller got none.
func (s *stayers) ranWithoutAnswer(f *fleet) []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	var out []string

	for _, h := range f.hosts {
		for _, id := range h.backend.Calls() {
			if slices.Contains(s.cut, id) {
				out = append(out, id)
			}
		}
	}

	return out
}

// Callers that nobody takes out of use must not keep a stop open until calls are cut off.
func TestAStopEndsWhileItsCallersGoOn(t *testing.T) {
	const lastSixth = 5 * time.Second // of the grace time, for what may still run then

	f := newFleet(t, "ledger", "ledger", "browse")
	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announced(t)

	for _, h := range f.hosts {
		eventually(t, h.serves)
		h.backend.Work = 100 * time.Millisecond
	}

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	stopping := f.hosts[2]
	s := newStayers(stopping, 2*time.Second)
	s.until(ctx, 80*time.Millisecond)
	time.Sleep(500 * time.Millisecond)

	began := time.Now()
	stopping.stop()
	<-stopping.ended

	took := time.Since(began)

	cancel()
	s.calling.Wait()
	t.Logf("%s, %d calls, answers %v, cut off %d", took, s.sent, s.statuses, len(s.cut))

	assert.Check(t, took < lastSixth, "%s", took)
	assert.Check(t, len(s.ranWithoutAnswer(f)) == 0, "%v", s.ranWithoutAnswer(f))
	assert.Check(t, s.unnamed == 0)
	assert.Check(t, s.statuses[http.StatusOK] > 0)
}

// A call that comes once a stop takes none must be refused by word, at once, and not run.
func TestAStopRefusesByWordWhatItCannotEnd(t *testing.T) {
	f := newFleet(t, "ledger", "browse")
	f.store.Write(platform.ConfigurationKey, slowDocument(1, "ledger"))
	f.announced(t)

	stopping := f.hosts[1]
	eventually(t, stopping.serves)
	f.hosts[0].backend.Work = 4500 * time.Millisecond

	taken := newStayers(stopping, 20*time.Second)
	taken.calling.Go(taken.alone)
	eventually(t, func() bool { return len(f.hosts[0].backend.Calls()) > 1 })
	stopping.stop()
	time.Sleep(3500 * time.Millisecond) // other nodes' calls are turned away by then

	before := len(f.hosts[0].backend.Calls())
	late := newStayers(stopping, 2*time.Second)

	for range 10 {
		began := time.Now()

		late.alone()
		assert.Check(t, time.Since(began) < 500*time.Millisecond)
	}

	<-stopping.ended
	taken.calling.Wait()

	assert.DeepEqual(t, taken.statuses, map[int]int{http.StatusOK: 1})
	assert.DeepEqual(t, late.statuses, map[int]int{http.StatusServiceUnavailable: 10})
	assert.Equal(t, late.turned, 10)
	assert.Equal(t, late.unnamed, 0)
	assert.Equal(t, len(f.hosts[0].backend.Calls()), before)
}

// A call that does not end in the grace time gets an answer, not the end of its connection.
func TestAStopAnswersTheCallsThatItGivesUp(t *testing.T) {
	f := newFleet(t, "ledger", "browse")
	f.store.Write(platform.ConfigurationKey, slowDocument(1, "ledger"))
	f.announced(t)

	stopping := f.hosts[1]
	eventually(t, stopping.serves)
	f.hosts[0].backend.Work = time.Minute

	s := newStayers(stopping, 20*time.Second)
	s.calling.Go(s.alone)
	eventually(t, func() bool { return len(f.hosts[0].backend.Calls()) > 1 })
	stopping.stop()
	<-stopping.ended
	s.calling.Wait()

	assert.Equal(t, len(s.cut), 0, "%v", s.cut)
	assert.DeepEqual(t, s.statuses, map[int]int{http.StatusBadGateway: 1})
}

// slowDocument is a configuration whose calls may take longer than a grace time.
func slowDocument(version int, services ...string) []byte {
	return []byte(strings.ReplaceAll(string(standin.Document(version, services...)), `"safe",2,1,1`, `"safe",30,30,1`))
}
