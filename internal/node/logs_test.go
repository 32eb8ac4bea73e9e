package node_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"gotest.tools/v3/assert"
)

// nodeLog keeps the log of one node in memory, since a call that fails once in many test runs
// can be traced only from the logs of that run.
type nodeLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *nodeLog) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.buf.Write(data)
}

func (l *nodeLog) logger() *slog.Logger {
	return slog.New(slog.NewTextHandler(l, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

func (l *nodeLog) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.buf.String()
}

// writeLogs writes the log of each node to its own file if the test failed; `go test -artifacts`
// keeps the files.
func (f *fleet) writeLogs() {
	if !f.t.Failed() {
		return
	}

	dir := f.t.ArtifactDir()

	for _, h := range f.hosts {
		name := filepath.Join(dir, h.ID+".log")
		if err := os.WriteFile(name, []byte(h.log.text()), 0o600); err != nil {
			f.t.Log(err)
		}
	}
}

// logLines returns the log lines of all nodes that contain a call's ID.
func (f *fleet) logLines(call string) string {
	var out strings.Builder

	for _, h := range f.hosts {
		for line := range strings.Lines(h.log.text()) {
			if call != "" && strings.Contains(line, call) {
				fmt.Fprintf(&out, "%s: %s", h.ID, line)
			}
		}
	}

	return out.String()
}

// assertServed fails the test, with the log lines of the call, if its status is not 200.
func (f *fleet) assertServed(r reply) {
	f.t.Helper()

	if r.status != http.StatusOK {
		assert.Equal(f.t, r.status, http.StatusOK, "%+v\n%s", r.refusal, f.logLines(r.refusal.Call))
	}
}
