package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/harness"
)

// runMainVariable is the environment variable that makes the test binary run main, and
// earlySignalVariable the one that makes it send itself SIGHUP before.
const (
	runMainVariable     = "POLLENCART_TEST_PROGRAM"
	earlySignalVariable = "POLLENCART_TEST_EARLY_SIGNAL"
)

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		if os.Getenv(earlySignalVariable) != "" {
			_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
		}

		main()

		return
	}

	os.Exit(m.Run())
}

// A SIGHUP, or a second SIGTERM while the node drains, must not terminate the
// process: the calls in flight would be lost.
func TestReloadAndRepeatedStopSignalsDoNotTerminateNode(t *testing.T) {
	addresses, err := harness.FreeAddresses(3)
	assert.NilError(t, err)

	const private = 0o600

	file := filepath.Join(t.TempDir(), "node.jsonc")
	text := fmt.Sprintf(`{"ID": "a", "Region": "r", "FailureDomain": "d", "PeerAddress": %q, "CallerAddress": %q, "ControlAddress": %q}`,
		addresses[0], addresses[1], addresses[2])
	assert.NilError(t, os.WriteFile(file, []byte(text), private))

	var log bytes.Buffer

	cmd := exec.CommandContext(t.Context(), os.Args[0], "node", "--settings", file)
	cmd.Env = append(os.Environ(), runMainVariable+"=1")
	cmd.Stderr = &log
	assert.NilError(t, cmd.Start())

	status := func(path string) int {
		resp, err := http.Get("http://" + addresses[2] + path)
		if err != nil {
			return 0
		}

		_ = resp.Body.Close()

		return resp.StatusCode
	}
	signal := func(s syscall.Signal) {
		assert.NilError(t, cmd.Process.Signal(s))
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, status("/healthz"), http.StatusOK, "after %s", s)
	}

	assert.NilError(t, harness.WaitOK(t.Context(), "http://"+addresses[2]+"/healthz"))
	signal(syscall.SIGHUP)
	assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(text, "{", `{"DrainTimeout": "9s", `, 1)), private))
	signal(syscall.SIGHUP)

	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		signal(s)
		assert.Equal(t, status("/readyz"), http.StatusServiceUnavailable)
	}

	assert.NilError(t, cmd.Wait())

	for _, line := range []string{"nothing changed", "takes a restart", "NodeStopped"} {
		assert.Assert(t, strings.Contains(log.String(), line), "%s is missing in\n%s", line, log.String())
	}
}
