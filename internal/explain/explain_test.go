package explain_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/pollencart/pollencart/internal/explain"
)

// A call was lost on a link into a failure domain that had just been cut off. The walk
// shows where it went and what was found out about the link.
func TestTheWalkOfACall(t *testing.T) {
	log, err := os.Open("testdata/cut.log")
	assert.NilError(t, err)

	defer func() { _ = log.Close() }()

	var out bytes.Buffer

	assert.NilError(t, explain.Call(&out, "9df68cc5e0c1eadb", log))
	golden.Assert(t, out.String(), "cut.golden")
}

func TestAnUnknownCall(t *testing.T) {
	assert.ErrorIs(t, explain.Call(&bytes.Buffer{}, "x", strings.NewReader("no line\n{}\n")), explain.ErrUnknown)
}

// Many callers complain of the same minutes. The tables show which routes they called, what
// became of their calls, and when.
func TestWhatCallsWereLostTo(t *testing.T) {
	log, err := os.Open("testdata/losses.log")
	assert.NilError(t, err)

	defer func() { _ = log.Close() }()

	var out bytes.Buffer

	assert.NilError(t, explain.Causes(&out, log))
	golden.Assert(t, out.String(), "losses.golden")
}
