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
	"github.com/pollencart/pollencart/internal/bootstrap"
	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/node"
	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/internal/standin/platform"
	"github.com/pollencart/pollencart/pkg/settings"
)

const example = "../../examples/midlands/tree.jsonc"

// commandLine runs operator commands against one node and a stand-in of the platform.
type commandLine struct {
	*testing.T

	node     string
	platform *platform.Platform
}

func startNode(t *testing.T) commandLine {
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

	return commandLine{t, c.ControlAddress, p}
}

// run runs a command and returns its output.
func (cli commandLine) run(args ...string) (string, error) {
	var out bytes.Buffer

	_, err := newAppWithOutput(&out).Parse(append(args, "--node", cli.node))

	return out.String(), err
}

func (cli commandLine) mustRun(args ...string) string {
	cli.Helper()

	out, err := cli.run(args...)
	assert.NilError(cli, err, "%v", args)

	return out
}

func (cli commandLine) acceptFirstVersion() {
	cli.Helper()
	cli.mustRun("accept", example, "--id", "first", "-m", "first")
	assert.NilError(cli, harness.WaitOK(cli.Context(), "http://"+cli.node+"/readyz"))
}

func TestOperatorCommandOutput(t *testing.T) {
	cli := startNode(t)
	cli.acceptFirstVersion()

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
		out, err := cli.run(args...)
		b.WriteString("$ pollencart " + strings.Join(args, " ") + "\n" + out)

		if err != nil {
			b.WriteString(err.Error() + "\n")
		}
	}

	golden.Assert(t, b.String(), "operator.golden")
}

// Scripts decide by the exit status whether to correct the tree, resolve a
// conflict or run the command again with the same ID.
func TestExitStatusDistinguishesFailureConflictAndUnknownOutcome(t *testing.T) {
	cli := startNode(t)
	cli.acceptFirstVersion()
	cli.mustRun("edit", "/midlands/ledger", "Attempts=4")

	for _, c := range []struct {
		args   []string
		faults platform.Faults
		status int
		is     error
	}{
		{[]string{"accept", "testdata/unknown-service.jsonc"}, platform.Faults{}, exitFailure, settings.ErrInvalid},
		{[]string{"accept", "testdata/conflict.jsonc", "--base", "1"}, platform.Faults{}, exitConflict, acceptance.ErrConflict},
		{[]string{"accept", example, "--base", "2"}, platform.Faults{Down: true}, exitFailure, acceptance.ErrOutage},
		{
			[]string{"accept", example, "--base", "2"},
			// The node renews its record at any moment.
			platform.Faults{LoseAnswers: 1, SpareWrites: 1, DownAfterLoss: true, Spared: bootstrap.Prefix}, exitUnknown, acceptance.ErrUnknown,
		},
	} {
		cli.platform.SetFaults(c.faults)

		_, err := cli.run(c.args...)

		var failed *commandError

		assert.Assert(t, errors.As(err, &failed), "%v", c.args)
		assert.ErrorIs(t, failed.cause, c.is)
		assert.Equal(t, exitStatus(failed.cause), c.status)
	}
}

// A node that closes the connection during an acceptance may have accepted the
// version, so the command must not report "not accepted". A refused connection
// is a plain failure.
func TestConnectionLostDuringAcceptIsUnknownOutcome(t *testing.T) {
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
	assert.Equal(t, exitStatus(failed.cause), exitFailure)
}
