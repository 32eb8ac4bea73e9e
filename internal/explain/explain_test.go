package explain_test

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/pollencart/pollencart/internal/explain"
)

// The log is of a call that failed on a link into a failure domain that had just become
// unreachable. The output must show the path of the call and the events about the link.
func TestCallShowsPathAndCause(t *testing.T) {
	log, err := os.Open("testdata/cut.log")
	assert.NilError(t, err)

	defer func() { _ = log.Close() }()

	var out bytes.Buffer

	assert.NilError(t, explain.Call(&out, "9df68cc5e0c1eadb", log))
	golden.Assert(t, out.String(), "cut.golden")
}

func TestCallWithoutLogLinesIsUnknown(t *testing.T) {
	assert.ErrorIs(t, explain.Call(&bytes.Buffer{}, "x", strings.NewReader("no line\n{}\n")), explain.ErrUnknown)
}

// The log has many failed calls within a few minutes. The tables must show their routes, causes
// and times.
func TestCausesCountsFailedCalls(t *testing.T) {
	log, err := os.Open("testdata/losses.log")
	assert.NilError(t, err)

	defer func() { _ = log.Close() }()

	var out bytes.Buffer

	assert.NilError(t, explain.Causes(&out, log))
	golden.Assert(t, out.String(), "losses.golden")
}

// Lines of calls that ran for a workspace have its name. Their causes must be counted as those of others.
func TestCausesCountsCallsOfWorkspaces(t *testing.T) {
	log, err := os.ReadFile("testdata/losses.log")
	assert.NilError(t, err)

	var out bytes.Buffer

	named := regexp.MustCompile(`sent \d+`).ReplaceAllString(string(log), "$0 workspace a school")
	assert.NilError(t, explain.Causes(&out, strings.NewReader(named)))
	golden.Assert(t, out.String(), "losses.golden")
}

// Many nodes write that a version was rolled back. The output must show the verdict and its evidence
// once.
func TestRolloutShowsVerdictAndEvidence(t *testing.T) {
	log, err := os.Open("testdata/rollout.log")
	assert.NilError(t, err)

	defer func() { _ = log.Close() }()

	var out bytes.Buffer

	assert.NilError(t, explain.Rollout(&out, "dany78a", log))
	golden.Assert(t, out.String(), "rollout.golden")
}

func TestServiceWithoutRolloutIsUnknown(t *testing.T) {
	assert.ErrorIs(t, explain.Rollout(&bytes.Buffer{}, "x", strings.NewReader("{}\n")), explain.ErrNoRollout)
}

// A caller asks why calls were refused: the key isn't in a version that lags, or the limit is used up.
func TestRefusalsByKeysAndLimitsAreExplained(t *testing.T) {
	log, err := os.ReadFile("testdata/refused.log")
	assert.NilError(t, err)

	var out bytes.Buffer

	for _, id := range []string{"c1", "c2"} {
		assert.NilError(t, explain.Call(&out, id, bytes.NewReader(log)))
	}

	assert.NilError(t, explain.Causes(&out, bytes.NewReader(log)))
	golden.Assert(t, out.String(), "refused.golden")
}
