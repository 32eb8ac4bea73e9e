package main

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/pkg/settings"
)

func TestInvalidCommandLineIsUsageError(t *testing.T) {
	for _, args := range [][]string{{"frobnicate"}, {"status", "--colour"}, {"node"}, {"status", "-o", "xml"}} {
		_, err := newApp().Parse(args)
		assert.Assert(t, err != nil, "%v", args)

		var failed *commandError
		assert.Assert(t, !errors.As(err, &failed), "%v", args)
	}
}

func TestFailedCheckIsCommandError(t *testing.T) {
	_, err := newApp().Parse([]string{"check", "testdata/unknown-service.jsonc"})

	var failed *commandError

	assert.Assert(t, errors.As(err, &failed))
	assert.ErrorIs(t, failed.cause, settings.ErrInvalid)

	_, err = newApp().Parse([]string{"check", "../../examples/kyushu/tree.jsonc"})
	assert.NilError(t, err)
}
