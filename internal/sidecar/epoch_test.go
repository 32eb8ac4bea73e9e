package sidecar_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

// logBuffer collects the log output of nodes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.text.Write(p)
}

func (l *logBuffer) count(word string) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return strings.Count(l.text.String(), word)
}

func TestEachNodeReportsStoreRestoreOnce(t *testing.T) {
	var log logBuffer

	f := newFleet(t, "browse", "ledger")
	for _, h := range f.hosts {
		h.stop()
		<-h.ended

		h.logger = slog.New(slog.NewTextHandler(&log, nil))
		h.start(t)
	}

	f.store.Write(platform.ConfigurationKey, standin.Document(1, "browse", "ledger"))
	f.announceAll(t)

	// A node that has heard of no epoch before the restore has nothing to report.
	for _, h := range f.hosts {
		eventually(t, func() bool { return strings.Contains(h.metrics(t), "pollencart_store_epoch 1\n") })
	}

	older := f.store.Copy()
	f.store.Write(platform.ConfigurationKey, standin.Document(2, "browse", "ledger"))
	f.store.SetUnavailable(http.StatusServiceUnavailable)
	f.store.Restore(older)

	for _, h := range f.hosts {
		eventually(t, func() bool {
			text := h.metrics(t)

			return strings.Contains(text, "pollencart_store_epoch 2\n") && strings.Contains(text, "pollencart_store_epoch_changes_total 1\n")
		})
	}

	eventually(t, func() bool { return log.count("StoreRestored") == len(f.hosts) })
	assert.Equal(t, log.count("epoch 2 revision "), len(f.hosts))
	assert.Equal(t, log.count(" before 1 revision "), len(f.hosts))
	assert.Assert(t, log.count("epoch 2 revision 0 ") < len(f.hosts), "no node knows the revision")
	assert.Equal(t, log.count("EntryDoubted"), 0)
}
