// Package logsink takes log lines from a process without ever holding it up, and
// bounds how many there are.
//
// # What goes wrong without it
//
// Whoever reads standard output may stand still. A process that writes to it
// directly stops at the first full pipe, with all its calls. And at thousands of
// calls a second the lines of calls that went well cost more than the calls.
//
// Lines wait in a queue of bounded length; what does not fit is dropped and
// counted. Of the lines of calls that went well only some a second are written,
// those of failures have a larger share of their own, and all others always are.
// What was left out is told in a line of its own.
//
// # Usage
//
//	sink := logsink.New(os.Stdout)
//	go sink.Run(ctx)
//	logger := slog.New(sink.Handler(slog.LevelDebug))
package logsink

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencart/pollencart/internal/event"
)

const (
	// queued lines wait for a reader that stands still: two seconds of the most
	// that is let through, about 250 bytes each.
	queued = 4096
	// DebugPerSecond is how many lines of calls that went well are written. They
	// serve to compare failures with; a sample does.
	DebugPerSecond = 10
	// WarnPerSecond bounds lines of failures. A call that fails is told by each node that
	// it touched, up to five, and who looks for its cause needs all of them. The busiest
	// second of a node of a third of a core had 335 such lines, after a restart of all with
	// twice the calls that the backend servers take; this is six times that.
	WarnPerSecond = 2000
	// reportEvery is the pause between lines that tell what was left out.
	reportEvery = 5 * time.Second
)

// Sink writes lines in the background.
type Sink struct {
	out   io.Writer
	lines chan []byte

	dropped atomic.Int64 // since the reader stood still
	sampled atomic.Int64 // over the bounds
}

// New returns a sink; Run writes.
func New(out io.Writer) *Sink { return &Sink{out: out, lines: make(chan []byte, queued)} }

// Write takes a line; it never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}

	return len(line), nil
}

// Dropped returns how many lines were left out, for a reader that stood still and
// for the bounds.
func (s *Sink) Dropped() (unread, sampled int64) { return s.dropped.Load(), s.sampled.Load() }

// Run writes lines until ctx ends, then those that wait.
func (s *Sink) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			s.flush()

			return
		case line := <-s.lines:
			s.write(line)
		}
	}
}

// write passes several lines that wait on in one piece.
func (s *Sink) write(line []byte) {
	const most = 16 << 10

	for len(line) < most {
		select {
		case next := <-s.lines:
			line = append(line, next...)

			continue
		default:
		}

		break
	}

	if _, err := s.out.Write(line); err != nil {
		s.dropped.Add(1) // there is nowhere else to tell
	}
}

func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			return
		}
	}
}

// Handler returns a handler of the lines from the level up.
func (s *Sink) Handler(level slog.Level) slog.Handler {
	return &handler{
		Handler: slog.NewJSONHandler(s, &slog.HandlerOptions{Level: level}), sink: s,
		debug: &rate{perSecond: DebugPerSecond}, warn: &rate{perSecond: WarnPerSecond}, report: &rate{},
	}
}

// handler lets only so many lines of a level through.
type handler struct {
	slog.Handler

	sink        *Sink
	debug, warn *rate
	report      *rate
}

// Handle writes a line unless there were too many of its level.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.allows(r.Level) {
		h.sink.sampled.Add(1)

		return nil
	}

	if err := h.tell(ctx); err != nil {
		return err
	}

	return h.Handler.Handle(ctx, r)
}

func (h *handler) allows(level slog.Level) bool {
	switch {
	case level < slog.LevelInfo:
		return h.debug.take()
	case level == slog.LevelWarn:
		return h.warn.take()
	}

	return true
}

// tell writes now and then what was left out.
func (h *handler) tell(ctx context.Context) error {
	if !h.report.every(reportEvery) {
		return nil
	}

	unread, sampled := h.sink.Dropped()
	if unread+sampled == 0 {
		return nil
	}

	r := slog.NewRecord(time.Now(), event.LinesLeftOut.Level, event.LinesLeftOut.Name, 0)
	r.AddAttrs(slog.Int("Event", event.LinesLeftOut.Number), slog.Int64("Unread", unread), slog.Int64("Sampled", sampled))

	return h.Handler.Handle(ctx, r)
}

// rate lets some through each second, by the steady clock.
type rate struct {
	perSecond int

	mu    sync.Mutex
	since time.Time
	used  int
}

func (r *rate) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	if now := time.Now(); now.Sub(r.since) >= time.Second {
		r.since, r.used = now, 0
	}

	r.used++

	return r.used <= r.perSecond
}

// every reports true once in a pause.
func (r *rate) every(pause time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	now := time.Now()
	if now.Sub(r.since) < pause {
		return false
	}

	r.since = now

	return true
}
