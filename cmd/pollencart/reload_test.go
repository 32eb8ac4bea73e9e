package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// SIGHUP that comes before main runs must not end the process, and is followed once it runs.
func TestSignalBeforeMainReloadsSettings(t *testing.T) {
	text, err := json.Marshal(sidecarSettings())
	assert.NilError(t, err)

	file := settingsFile(t, text)

	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	assert.NilError(t, err)

	cmd := exec.CommandContext(t.Context(), os.Args[0], "sidecar", "--settings", file)
	cmd.Env = append(os.Environ(), runMainVariable+"=1", earlySignalVariable+"=1")
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(t, cmd.Start())

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		data, err := os.ReadFile(log.Name())
		if err != nil {
			return poll.Error(err)
		}

		if strings.Contains(string(data), "nothing changed") {
			return poll.Success()
		}

		return poll.Continue("no reload in\n%s", data)
	}, poll.WithTimeout(20*time.Second))

	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, cmd.Wait())
}
