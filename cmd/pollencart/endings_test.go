package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/sidecar/config"
	"github.com/pollencart/pollencart/platform/standin"
)

const (
	settingsMode = 0o600
	endTimeout   = 20 * time.Second
)

// settingsFile writes a settings file.
func settingsFile(t *testing.T, text []byte) string {
	t.Helper()

	file := filepath.Join(t.TempDir(), "node.jsonc")
	assert.NilError(t, os.WriteFile(file, text, settingsMode))

	return file
}

// sidecarSettings returns settings for a sidecar without a store and a backend server.
func sidecarSettings() config.Config {
	return config.Config{
		Node: "a", Region: "r", FailureDomain: "d", Service: "s",
		BackendAddress: standin.FreeAddress(), CallerAddress: standin.FreeAddress(), PeerAddress: standin.FreeAddress(),
		ReadyAddress: standin.FreeAddress(), AnnounceAddress: standin.FreeAddress(), MetricsAddress: standin.FreeAddress(),
		StoreAddress: standin.FreeAddress(), Bounds: config.Bounds{DrainSeconds: 1, GraceSeconds: 2, RetryWindowSeconds: 10},
	}
}

// awaitStatus waits until a URL answers with 200 OK.
func awaitStatus(t *testing.T, url string) {
	t.Helper()

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		response, err := http.Get(url)
		if err != nil {
			return poll.Continue("%v", err)
		}

		_ = response.Body.Close()

		if response.StatusCode != http.StatusOK {
			return poll.Continue("status %d", response.StatusCode)
		}

		return poll.Success()
	}, poll.WithTimeout(endTimeout))
}

// Guards against a process that ends by SIGPIPE, with its calls, when the reader of its log goes away.
func TestNodeSurvivesTheReaderOfItsLog(t *testing.T) {
	addresses, err := harness.FreeAddresses(3)
	assert.NilError(t, err)

	conf := sidecarSettings()
	sidecar, err := json.Marshal(conf)
	assert.NilError(t, err)

	for _, test := range []struct {
		command, url string
		settings     []byte
	}{
		{"sidecar", "http://" + conf.MetricsAddress + "/metrics", sidecar},
		{"node", "http://" + addresses[2] + "/healthz", fmt.Appendf(nil,
			`{"ID": "a", "Region": "r", "FailureDomain": "d", "PeerAddress": %q, "CallerAddress": %q, "ControlAddress": %q}`,
			addresses[0], addresses[1], addresses[2])},
	} {
		t.Run(test.command, func(t *testing.T) {
			out, in, err := os.Pipe()
			assert.NilError(t, err)

			cmd := exec.CommandContext(t.Context(), os.Args[0], test.command, "--settings", settingsFile(t, test.settings))
			cmd.Env = append(os.Environ(), runMainVariable+"=1")
			cmd.Stdout, cmd.Stderr = in, in
			assert.NilError(t, cmd.Start())
			assert.NilError(t, in.Close())

			awaitStatus(t, test.url)
			assert.NilError(t, out.Close())

			for range 5 {
				assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP)) // each is followed by a line
				time.Sleep(100 * time.Millisecond)
				awaitStatus(t, test.url)
			}

			assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
			assert.NilError(t, cmd.Wait())
		})
	}
}
