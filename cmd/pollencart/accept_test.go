package main

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/node"
	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/internal/standin/platform"
	"github.com/pollencart/pollencart/pkg/settings"
)

const example = "../../examples/midlands/tree.jsonc"

// desk is an operator's command line on one node.
type desk struct {
	*testing.T

	node     string
	platform *platform.Platform
}

func startDesk(t *testing.T) desk {
	t.Helper()

	p := platform.New()
	s := httptest.NewServer(p.Handler())
	t.Cleanup(s.Close)

	addresses, err := harness.FreeAddresses(3)
	assert.NilError(t, err)

	c := config.Default()
	c.ID, c.Region, c.FailureDomain = "a", "midlands", "derby"
	c.PeerAddress, c.CallerAddress, c.ControlAddress = addresses[0], addresses[1], addresses[2]
	c.Platform = []string{s.URL}

	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- node.New(c, slog.New(slog.DiscardHandler)).Run(ctx) }()

	t.Cleanup(func() {
		stop()
		<-done
	})
	assert.NilError(t, harness.WaitOK(t.Context(), "http://"+c.ControlAddress+"/healthz"))

	return desk{t, c.ControlAddress, p}
}

// run runs a command and returns what it printed.
func (d desk) run(args ...string) (string, error) {
	var out bytes.Buffer

	_, err := newAppTo(&out).Parse(append(args, "--node", d.node))

	return out.String(), err
}

func (d desk) ok(args ...string) string {
	d.Helper()

	out, err := d.run(args...)
	assert.NilError(d, err, "%v", args)

	return out
}

func (d desk) first() {
	d.Helper()
	d.ok("accept", example, "--id", "first", "-m", "first")
	assert.NilError(d, harness.WaitOK(d.Context(), "http://"+d.node+"/readyz"))
}

func TestOperatorsCommands(t *testing.T) {
	d := startDesk(t)
	d.first()

	var b strings.Builder

	for _, args := range [][]string{
		{"edit", "/midlands/ledger/upload", "Deadline=7s", "BodyLimit=", "--dry-run"},
		{"edit", "/midlands/ledger/upload", "Deadline=7s", "BodyLimit=", "--id", "second", "-m", "longer uploads"},
		{"edit", "/midlands/ledger/upload", "Deadline=7s", "BodyLimit=", "--id", "second", "-m", "asked again"},
		{"diff", "--from", "1", "--to", "2"},
		{"show", "--version", "2", "--explain", "/midlands/ledger/upload"},
		{"show", "--version", "1", "--explain", "/midlands/ledger/upload", "-o", "json"},
		{"accept", example, "--base", "2", "--dry-run"},
		{"accept", "testdata/unknown-service.jsonc", "--dry-run"},
		{"edit", "/midlands/ledger", "Attempts=9", "Class=Urgent", "--dry-run"},
		{"edit", "/midlands/nowhere", "Attempts=1"},
		{"show", "--version", "9"},
		{"diff"},
	} {
		out, err := d.run(args...)
		b.WriteString("$ pollencart " + strings.Join(args, " ") + "\n" + out)

		if err != nil {
			b.WriteString(err.Error() + "\n")
		}
	}

	golden.Assert(t, b.String(), "operator.golden")
}

// Scripts tell by the exit status what to do next: mend the tree, look at both
// sides, or repeat the command with its ID.
func TestExitStatusTellsWhatToDoNext(t *testing.T) {
	d := startDesk(t)
	d.first()
	d.ok("edit", "/midlands/ledger", "Attempts=4")

	for _, c := range []struct {
		args   []string
		faults platform.Faults
		status int
		is     error
	}{
		{[]string{"accept", "testdata/unknown-service.jsonc"}, platform.Faults{}, exitFault, settings.ErrInvalid},
		{[]string{"accept", "testdata/conflict.jsonc", "--base", "1"}, platform.Faults{}, exitConflict, acceptance.ErrConflict},
		{[]string{"accept", example, "--base", "2"}, platform.Faults{Down: true}, exitFault, acceptance.ErrOutage},
		{
			[]string{"accept", example, "--base", "2"},
			platform.Faults{LoseAnswers: 1, SpareWrites: 1, DownAfterLoss: true}, exitUnknown, acceptance.ErrUnknown,
		},
	} {
		d.platform.SetFaults(c.faults)

		_, err := d.run(c.args...)

		var failed *commandError

		assert.Assert(t, errors.As(err, &failed), "%v", c.args)
		assert.ErrorIs(t, failed.cause, c.is)
		assert.Equal(t, exitStatus(failed.cause), c.status)
	}
}

// The node goes away while it accepts. Whether it did is not known, and "not
// accepted" would be a guess.
func TestNodeLostInTheMiddleIsUnknown(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(s.Close)

	_, err := newApp().Parse([]string{"accept", example, "--base", "1", "--node", strings.TrimPrefix(s.URL, "http://")})

	var failed *commandError

	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, exitStatus(failed.cause), exitUnknown)

	s.Close()

	_, err = newApp().Parse([]string{"accept", example, "--base", "1", "--node", strings.TrimPrefix(s.URL, "http://")})
	assert.Assert(t, errors.As(err, &failed))
	assert.ErrorIs(t, failed.cause, operator.ErrNode)
	assert.Equal(t, exitStatus(failed.cause), exitFault)
}
