// Package backend is a small fake of a backend server: slots, connections, a
// cold start, draining, shedding, slow or crashing calls on demand, and a count
// of every key that it ran.
//
//	b := backend.New(backend.Config{Name: "browse-1", Service: "browse", Slots: 10})
//	http.Serve(listener, b.Handler())
package backend

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"maps"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/internal/upstream"
)

// Headers that steer a single call.
const (
	// HeaderEcho comes back in the answer, so that a caller can tell its own.
	HeaderEcho = "Standin-Echo"
	// HeaderCrash ends the process in the middle of the call.
	HeaderCrash = "Standin-Crash"
	// HeaderWorkMs is how long the call takes, instead of the configured time.
	HeaderWorkMs = "Standin-Work-Ms"
)

// Config of a backend server.
type Config struct {
	Name        string
	Service     string
	Slots       int
	Connections int
	Work        time.Duration
	ColdStart   time.Duration
	// DrainNotice is the least time between the word that it leaves and its end.
	DrainNotice time.Duration
	// Ledger is where each call is reported before any of it runs, so that what
	// ran is known also of a server that crashes; nothing if empty.
	Ledger string
	// Crash ends the process; tests replace it.
	Crash func()
}

// Faults is what goes wrong.
type Faults struct {
	// WorkMs replaces the configured time of a call.
	WorkMs int `json:"WorkMs"`
	// FailStatus is the status of all answers, if not 0.
	FailStatus int `json:"FailStatus"`
	// Hang never answers.
	Hang bool `json:"Hang"`
	// Shed refuses calls above the slots as not run.
	Shed bool `json:"Shed"`
}

// Counts is what the backend server ran.
type Counts struct {
	Calls int            `json:"Calls"`
	Most  int            `json:"Most"`
	Keys  map[string]int `json:"Keys"`
	Cut   int            `json:"Cut"`
}

// Answer is the body of every answer.
type Answer struct {
	Name   string `json:"Name"`
	Echo   string `json:"Echo"`
	Path   string `json:"Path"`
	Digest string `json:"Digest"`
	Call   string `json:"Call"`
}

// Server is the fake.
type Server struct {
	config Config
	start  time.Time
	name   string // of this start

	mu       sync.Mutex
	faults   Faults
	counts   Counts
	inFlight int
}

// New returns a backend server.
func New(c Config) *Server {
	if c.DrainNotice == 0 {
		c.DrainNotice = defaultNotice
	}

	if c.Crash == nil {
		c.Crash = func() { os.Exit(crashStatus) }
	}

	return &Server{config: c, start: time.Now(), name: ulid.Make().String(), counts: Counts{Keys: map[string]int{}}}
}

const (
	crashStatus   = 3
	defaultNotice = 500 * time.Millisecond
)

// SetFaults changes what goes wrong.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.faults = f
}

// Counts returns what was run so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()

	c := s.counts
	c.Keys = maps.Clone(s.counts.Keys)

	return c
}

// InFlight returns how many calls run.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.inFlight
}

// Warm reports whether the cold start is over.
func (s *Server) Warm() bool { return time.Since(s.start) >= s.config.ColdStart }

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST("/standin/faults", func(c echo.Context) error {
		var f Faults
		if err := c.Bind(&f); err != nil {
			return err
		}

		s.SetFaults(f)

		return c.NoContent(http.StatusNoContent)
	})
	e.GET("/standin/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) })
	e.Any("/*", s.serve)

	return e
}

func (s *Server) serve(c echo.Context) error {
	f, ok := s.enter(c.Request().Header.Get(upstream.HeaderKey))
	if !ok {
		c.Response().Header().Set(upstream.HeaderNotRun, "shed")
		c.Response().Header().Set("Retry-After", "1")

		return c.NoContent(http.StatusServiceUnavailable)
	}
	defer s.leave(c.Request().Context())

	if err := s.report(c.Request()); err != nil {
		c.Response().Header().Set(upstream.HeaderNotRun, "ledger")

		return c.NoContent(http.StatusServiceUnavailable)
	}

	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}

	if c.Request().Header.Get(HeaderCrash) != "" {
		s.config.Crash()
	}

	if err := s.work(c.Request(), f); err != nil {
		return err
	}

	status := http.StatusOK
	if f.FailStatus != 0 {
		status = f.FailStatus
	}

	sum := sha256.Sum256(body)

	return c.JSON(status, Answer{
		Name: s.config.Name, Echo: c.Request().Header.Get(HeaderEcho), Path: c.Request().URL.Path,
		Digest: hex.EncodeToString(sum[:8]), Call: c.Request().Header.Get(upstream.HeaderCall),
	})
}

func (s *Server) enter(key string) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.faults.Shed && s.inFlight >= s.config.Slots {
		return s.faults, false
	}

	s.inFlight++
	s.counts.Calls++
	s.counts.Most = max(s.counts.Most, s.inFlight)

	if key != "" {
		s.counts.Keys[key]++
	}

	return s.faults, true
}

func (s *Server) leave(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.inFlight--

	if ctx.Err() != nil {
		s.counts.Cut++
	}
}

func (s *Server) work(r *http.Request, f Faults) error {
	if f.Hang {
		<-r.Context().Done()

		return r.Context().Err()
	}

	d := s.config.Work
	if f.WorkMs != 0 {
		d = time.Duration(f.WorkMs) * time.Millisecond
	}

	if ms, err := strconv.Atoi(r.Header.Get(HeaderWorkMs)); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}

	if !s.Warm() {
		d *= coldFactor
	}

	select {
	case <-time.After(d):
		return nil
	case <-r.Context().Done():
		return r.Context().Err()
	}
}

// coldFactor is how much longer a call takes while caches are cold.
const coldFactor = 4
