package contain_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/contain"
	"github.com/pollencart/pollencart/internal/invariant"
)

func fails(value any, report func(contain.Caught)) {
	defer contain.Panic(report)

	panic(value)
}

// Guards against a process that ends by the panic of one call, and against a line that does not tell where it came from.
func TestPanicIsReportedWithItsPlace(t *testing.T) {
	var caught contain.Caught

	fails("out of\nrange", func(c contain.Caught) { caught = c })

	assert.Equal(t, caught.Value, "out of\nrange")
	assert.Assert(t, strings.HasPrefix(caught.String(), "out of range at "), caught.String())
	assert.Assert(t, strings.Contains(caught.Frames[0], "contain_test.fails"), caught.String())
}

// A violated invariant must still end a test.
func TestViolatedInvariantIsNotContained(t *testing.T) {
	defer func() { assert.Equal(t, recover(), invariant.Violation("broken")) }()

	fails(invariant.Violation("broken"), func(contain.Caught) { t.Error("contained") })
}

// Guards against a line without a bound, since the value of a panic may quote input of others.
func TestLongPanicIsCut(t *testing.T) {
	var caught contain.Caught

	fails(strings.Repeat("x", 1<<20), func(c contain.Caught) { caught = c })
	assert.Assert(t, len(caught.String()) < 4<<10)
}
