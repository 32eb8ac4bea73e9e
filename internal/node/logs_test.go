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

// nodeLog keeps the lines of one node, since a call that goes wrong once in many runs is
// traced from those of the run that had it.
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

// keepLogs writes the lines of each node to a file of its own if the test fails;
// `go test -artifacts` keeps them.
func (f *fleet) keepLogs() {
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

// linesOf returns the lines of all nodes that name a call.
func (f *fleet) linesOf(call string) string {
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

// assertServed fails the test with the lines of a call that was not answered 200.
func (f *fleet) assertServed(r reply) {
	f.t.Helper()

	if r.status != http.StatusOK {
		assert.Equal(f.t, r.status, http.StatusOK, "%+v\n%s", r.away, f.linesOf(r.away.Call))
	}
}
