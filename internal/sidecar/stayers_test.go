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

// slowDocument is a configuration whose calls may take longer than a grace time.
func slowDocument(services ...string) []byte {
	return []byte(strings.ReplaceAll(string(standin.Document(1, services...)), `"safe",2,1,1`, `"safe",30,30,1`))
}

// steps are the steps of a node's stops, as its lines tell them.
type steps chan string

func (s steps) Enabled(context.Context, slog.Level) bool { return true }
func (s steps) WithAttrs([]slog.Attr) slog.Handler       { return s }
func (s steps) WithGroup(string) slog.Handler            { return s }

func (s steps) Handle(_ context.Context, r slog.Record) error {
	if r.Message != event.NodeDrainStep.Name {
		return nil
	}

	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "Detail" {
			select {
			case s <- a.Value.String():
			default: // nobody waits for so many
			}
		}

		return true
	})

	return nil
}

// await waits for a step.
func (s steps) await(t *testing.T, step string) {
	t.Helper()

	for {
		select {
		case told := <-s:
			if strings.HasPrefix(told, step) {
				return
			}
		case <-time.After(patience):
			t.Fatalf("no step %q", step)
		}
	}
}
