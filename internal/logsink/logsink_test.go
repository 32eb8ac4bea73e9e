package logsink_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/logsink"
)

// reader collects the written lines; Write blocks while stall is open.
type reader struct {
	mu    sync.Mutex
	lines bytes.Buffer
	stall chan struct{}
}

func (r *reader) Write(p []byte) (int, error) {
	if r.stall != nil {
		<-r.stall
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	return r.lines.Write(p)
}

func (r *reader) count(text string) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return strings.Count(r.lines.String(), text)
}

// The reader of standard output stalls and the queue fills up. Logging must not block,
// and the number of dropped lines must be logged after the reader resumes.
func TestLoggingDoesNotBlockOnStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{stall: make(chan struct{})}
		s := logsink.New(r)
		ctx, cancel := context.WithCancel(context.Background())

		go s.Run(ctx)

		logger := slog.New(s.Handler(slog.LevelDebug))
		start := time.Now()

		for range 9000 {
			logger.Info("line")
		}

		assert.Equal(t, time.Since(start), time.Duration(0))

		unread, _ := s.Dropped()
		assert.Assert(t, unread > 4000)

		close(r.stall)
		synctest.Wait()
		time.Sleep(10 * time.Second)
		logger.Info("later")
		synctest.Wait()
		assert.Equal(t, r.count("LinesLeftOut"), 1)
		cancel()
		synctest.Wait()
	})
}

// Under overload every call fails. Lines of successful calls and of failures must stay
// within their own limits, and all other lines must be written.
func TestRateLimitsApplyPerLevel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{}
		s := logsink.New(r)
		ctx, cancel := context.WithCancel(context.Background())

		go s.Run(ctx)

		logger := slog.New(s.Handler(slog.LevelDebug))

		for range 1000 {
			logger.Debug("well")
			logger.Info("belief")

			for range 5 {
				logger.Warn("failed")
			}

			time.Sleep(time.Millisecond)
		}

		synctest.Wait()
		assert.Assert(t, r.count(`"well"`) <= 2*logsink.DebugPerSecond)
		assert.Assert(t, r.count(`"failed"`) <= 2*logsink.WarnPerSecond)
		assert.Equal(t, r.count(`"belief"`), 1000)
		cancel()
		synctest.Wait()
	})
}

// A node rejects twice the measured peak of 335 calls per second. The line of every
// failure must be written, since a failed call without a line can't be explained.
func TestFailuresAreNotSampled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const failures = 2 * 335

		r := &reader{}
		s := logsink.New(r)
		ctx, cancel := context.WithCancel(context.Background())

		go s.Run(ctx)

		logger := slog.New(s.Handler(slog.LevelDebug))

		for range failures {
			logger.Warn("failed")
			logger.Debug("well")
			time.Sleep(time.Millisecond)
		}

		synctest.Wait()
		assert.Equal(t, r.count(`"failed"`), failures)
		cancel()
		synctest.Wait()
	})
}
