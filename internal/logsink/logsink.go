// Package logsink writes the log lines of a process in the background, so that
// logging never blocks, and limits their rate.
//
// A process that writes directly to standard output blocks, with all its calls, when
// the reader stalls and the pipe is full. At thousands of calls per second, the lines
// of successful calls also cost more than the calls themselves.
//
// Lines wait in a bounded queue; a line that does not fit is dropped and counted.
// Levels below Info (successful calls) and Warn (failures) each have a rate limit;
// lines of all other levels pass. A LinesLeftOut line reports the number of dropped
// lines.
//
// # Usage
//
//	sink, stop := logsink.Start(os.Stdout)
//	defer stop()
//	logger := slog.New(sink.Handler(slog.LevelDebug))
package logsink

import (
	"context"
	"io"
	"log/slog"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pollencart/pollencart/internal/event"
)

const (
	// queueLength is the capacity of the queue in lines of about 250 bytes: two
	// seconds of lines at the rate limits, while the reader stalls.
	queueLength = 4096
	// maxQueuedBytes bounds the bytes of the queued lines, which may be long.
	maxQueuedBytes = 2 << 20
	// DebugPerSecond limits the lines of successful calls. A sample is enough, since
	// the lines only serve for comparison with failures.
	DebugPerSecond = 10
	// WarnPerSecond limits the lines of failures. Up to five nodes log a failed call, and
	// all of their lines are needed to find the cause. The limit is six times the measured
	// peak of 335 lines per second, which a node with a third of a core logged after a
	// restart of all nodes at twice the capacity of the backend servers.
	WarnPerSecond = 2000
	// reportEvery is the minimum interval between LinesLeftOut lines.
	reportEvery = 5 * time.Second
)

// Sink queues log lines and writes them in the background.
type Sink struct {
	out   io.Writer
	lines chan []byte
	bytes atomic.Int64 // of the queued lines

	dropped atomic.Int64 // queue full, or the write failed
	sampled atomic.Int64 // over a rate limit
}

// New returns a sink that writes to out; the caller must start Run.
func New(out io.Writer) *Sink { return &Sink{out: out, lines: make(chan []byte, queueLength)} }

// Start returns a sink that writes to out in the background, and a function that writes the lines
// still queued and stops it. From then on the process ignores SIGPIPE, which would end it, with its
// calls, when the reader of its standard output or standard error has closed the pipe.
func Start(out io.Writer) (*Sink, func()) {
	signal.Ignore(syscall.SIGPIPE)

	s := New(out)
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})

	go func() {
		defer close(written)

		s.Run(ctx)
	}()

	return s, func() {
		cancel()
		<-written
	}
}

// Write queues a copy of the line, or drops the line if the queue is full. It never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	if s.bytes.Add(int64(len(line))) <= maxQueuedBytes {
		select {
		case s.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}

	s.bytes.Add(-int64(len(line)))
	s.dropped.Add(1)

	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the reader stalled
// (unread) and because of the rate limits (sampled).
func (s *Sink) Dropped() (unread, sampled int64) { return s.dropped.Load(), s.sampled.Load() }

// Run writes lines until ctx ends, and then the lines that are still queued.
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

// write writes the line and queued lines after it, about 16 KiB at most, in one call.
func (s *Sink) write(line []byte) {
	const maxWrite = 16 << 10

	s.bytes.Add(-int64(len(line)))

	for len(line) < maxWrite {
		select {
		case next := <-s.lines:
			s.bytes.Add(-int64(len(next)))
			line = append(line, next...)

			continue
		default:
		}

		break
	}

	if _, err := s.out.Write(line); err != nil {
		s.dropped.Add(1) // the output is the log itself, so the error can't be logged
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

// Handler returns a handler for records of the given level and above.
func (s *Sink) Handler(level slog.Level) slog.Handler {
	return &handler{
		Handler: slog.NewJSONHandler(s, &slog.HandlerOptions{Level: level}), sink: s,
		debug: &rate{perSecond: DebugPerSecond}, warn: &rate{perSecond: WarnPerSecond}, report: &rate{},
	}
}

// handler applies the rate limits of the levels.
type handler struct {
	slog.Handler

	sink        *Sink
	debug, warn *rate
	report      *rate
}

// Handle writes a record unless its level has exceeded its rate limit.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.allows(r.Level) {
		h.sink.sampled.Add(1)

		return nil
	}

	if err := h.reportDropped(ctx); err != nil {
		return err
	}

	return h.Handler.Handle(ctx, r)
}

func (h *handler) allows(level slog.Level) bool {
	switch {
	case level < slog.LevelInfo:
		return h.debug.allow()
	case level == slog.LevelWarn:
		return h.warn.allow()
	}

	return true
}

// reportDropped logs the number of dropped lines, at most once per reportEvery.
func (h *handler) reportDropped(ctx context.Context) error {
	if !h.report.onceEvery(reportEvery) {
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

// rate is a rate limiter with windows of one second on the monotonic clock.
type rate struct {
	perSecond int

	mu    sync.Mutex
	since time.Time
	used  int
}

func (r *rate) allow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	if now := time.Now(); now.Sub(r.since) >= time.Second {
		r.since, r.used = now, 0
	}

	r.used++

	return r.used <= r.perSecond
}

// onceEvery reports true at most once per interval.
func (r *rate) onceEvery(interval time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	now := time.Now()
	if now.Sub(r.since) < interval {
		return false
	}

	r.since = now

	return true
}
