package sidecar_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

// persistentCallers are callers that ignore the readiness of a node: they keep sending until its
// process has ended.
type persistentCallers struct {
	address  string
	timeout  time.Duration
	inFlight sync.WaitGroup

	mu                sync.Mutex
	sent              int
	statuses          map[int]int
	drainRefusals     int      // refusals with the text of a draining node
	withoutRetryAfter int      // refusals without Retry-After
	lostIDs           []string // calls whose connection ended before the response
}

func newPersistentCallers(h *host, timeout time.Duration) *persistentCallers {
	return &persistentCallers{address: h.config.CallerAddress, timeout: timeout, statuses: map[int]int{}}
}

func (s *persistentCallers) nextID() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.sent++

	return fmt.Sprintf("stayer-%d", s.sent)
}

func (s *persistentCallers) recordAnswer(r *http.Response, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.statuses[r.StatusCode]++

	if strings.Contains(body, "this node is being stopped") {
		s.drainRefusals++
	}

	if r.StatusCode == http.StatusServiceUnavailable && r.Header.Get("Retry-After") == "" {
		s.withoutRetryAfter++
	}
}

func (s *persistentCallers) recordLost(ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.lostIDs = append(s.lostIDs, ids...)
}

func (s *persistentCallers) request(id string) string {
	names := platform.Headers()

	return fmt.Sprintf("GET /safe/%s HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: %s\r\n%s: %d\r\n\r\n", id, names.Call, id, names.Deadline,
		s.timeout.Milliseconds())
}

// sendOne sends one call on a new connection.
func (s *persistentCallers) sendOne() {
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		return // connection refused, nothing was sent
	}
	defer func() { _ = c.Close() }()

	id := s.nextID()

	if _, err := io.WriteString(c, s.request(id)); err != nil {
		s.recordLost(id)

		return
	}

	if !s.read(bufio.NewReader(c)) {
		s.recordLost(id)
	}
}

// read reads one complete response and records it.
func (s *persistentCallers) read(in *bufio.Reader) bool {
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}

	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}

	s.recordAnswer(r, string(body))

	return true
}

// pipeline sends calls on one connection without waiting for responses, until the connection ends.
func (s *persistentCallers) pipeline(ctx context.Context, pause time.Duration) {
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
			id := s.nextID()

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

	s.recordLost(waiting...)
}

// keepSending sends calls until ctx ends, some on new connections and some pipelined.
func (s *persistentCallers) keepSending(ctx context.Context, pause time.Duration) {
	for range 3 {
		s.inFlight.Go(func() {
			for ctx.Err() == nil {
				s.pipeline(ctx, pause)
				time.Sleep(pause)
			}
		})
	}

	s.inFlight.Go(func() {
		for ctx.Err() == nil {
			s.inFlight.Go(s.sendOne)
			time.Sleep(pause)
		}
	})
}

// ranWithoutAnswer returns the calls that a backend server ran and whose caller got no response.
func (s *persistentCallers) ranWithoutAnswer(f *fleet) []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	var out []string

	for _, h := range f.hosts {
		for _, id := range h.backend.Calls() {
			if slices.Contains(s.lostIDs, id) {
				out = append(out, id)
			}
		}
	}

	return out
}

// slowDocument is a configuration whose calls may take longer than a grace time.
func slowDocument(services ...string) []byte {
	return []byte(strings.ReplaceAll(string(standin.Document(1, services...)), `"safe",2,1,1`, `"safe",30,30,1`))
}

// drainSteps receives the drain steps that a node logs.
type drainSteps chan string

func (s drainSteps) Enabled(context.Context, slog.Level) bool { return true }
func (s drainSteps) WithAttrs([]slog.Attr) slog.Handler       { return s }
func (s drainSteps) WithGroup(string) slog.Handler            { return s }

func (s drainSteps) Handle(_ context.Context, r slog.Record) error {
	if r.Message != event.NodeDrainStep.Name {
		return nil
	}

	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "Detail" {
			select {
			case s <- a.Value.String():
			default: // the test awaits fewer steps than fit
			}
		}

		return true
	})

	return nil
}

// await waits until the node logs a step.
func (s drainSteps) await(t *testing.T, step string) {
	t.Helper()

	for {
		select {
		case reached := <-s:
			if strings.HasPrefix(reached, step) {
				return
			}
		case <-time.After(waitTimeout):
			t.Fatalf("drain step %q was not logged", step)
		}
	}
}
