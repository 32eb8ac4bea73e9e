package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The program must not grow by parts that no node needs.
func TestProgramHasNoOperatorsCommands(t *testing.T) {
	out, err := exec.CommandContext(t.Context(), "go", "list", "-deps", ".").Output()
	assert.NilError(t, err)

	for _, without := range []string{"kingpin", "internal/operator", "internal/node", "internal/explain"} {
		assert.Assert(t, !strings.Contains(string(out), without), without)
	}
}

// A settings file that is not accepted must end the program before it listens.
func TestCheckReportsInvalidSettings(t *testing.T) {
	program := filepath.Join(t.TempDir(), "sidecar")
	assert.NilError(t, exec.CommandContext(t.Context(), "go", "build", "-o", program, ".").Run())

	file := filepath.Join(t.TempDir(), "node.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(`{"Node": ""}`), 0o600))

	out, err := exec.CommandContext(t.Context(), program, "--settings", file, "--check").CombinedOutput()
	assert.ErrorContains(t, err, "exit status 1")
	assert.Equal(t, string(out), "pollencart-sidecar: sidecar.config: settings file not accepted: "+file+": key Node: is missing\n")
}
