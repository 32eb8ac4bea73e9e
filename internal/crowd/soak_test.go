package crowd_test

import (
	"bytes"
	"context"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/soak/hosts"
)

// Guards against crowds that end a process or cut off calls of others beside signals, restarts and changes.
func TestCrowdsBesideFaultsCutNoCallsOff(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()

	report, err := hosts.Run(ctx, hosts.Options{
		Seed: 1, Length: 20 * time.Second, Hosts: 6, Rate: 60, Crowds: true, Program: filepath.Join(programs, "pollencart"), Dir: t.TempDir(),
		Log: t.Output(),
	})
	assert.NilError(t, err)

	var text bytes.Buffer

	assert.NilError(t, report.Print(&text))
	t.Log(text.String())
	assert.Equal(t, len(report.Broken), 0)
	assert.Assert(t, report.Crowds.Connections.Load() > 0)
}
