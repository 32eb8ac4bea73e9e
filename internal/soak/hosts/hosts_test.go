package hosts_test

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/soak/hosts"
)

// A short run with a fixed seed on real processes. Longer ones are run by hand.
func TestASeed(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "pollencart")

	out, err := exec.Command("go", "build", "-o", program, "../../../cmd/pollencart").CombinedOutput()
	assert.NilError(t, err, string(out))

	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()

	report, err := hosts.Run(ctx, hosts.Options{
		Seed: 1, Length: 12 * time.Second, Hosts: 6, Rate: 60, Program: program, Dir: dir, Log: t.Output(),
	})
	assert.NilError(t, err)

	var text bytes.Buffer

	assert.NilError(t, report.Print(&text))
	t.Log(text.String())
	assert.Equal(t, len(report.Broken), 0)
}
