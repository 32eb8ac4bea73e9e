package header_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/header"
)

// A limit that is no decimal number sets or ends a limit.
func TestSignalsOfInvalidLimits(t *testing.T) {
	names := header.Default()

	for _, test := range []struct {
		values  []string
		limited bool
		limit   float64
		invalid bool
	}{
		{nil, false, 0, false},
		{[]string{"8.2"}, true, 8.2, false},
		{[]string{" 12 "}, true, 12, false},
		{[]string{"0"}, true, 0, false},
		{[]string{"0.5"}, true, 0.5, false},
		{[]string{"8", "4"}, true, 4, false},
		{[]string{"8", "x"}, true, 8, true},
		{[]string{""}, false, 0, true},
		{[]string{"."}, false, 0, true},
		{[]string{"-1"}, false, 0, true},
		{[]string{"+1"}, false, 0, true},
		{[]string{"NaN"}, false, 0, true},
		{[]string{"inf"}, false, 0, true},
		{[]string{"1e300"}, false, 0, true},
		{[]string{"0x10"}, false, 0, true},
		{[]string{"8, 4"}, false, 0, true},
		{[]string{"1.2.3"}, false, 0, true},
	} {
		s := names.Signals(http.Header{names.Limit: test.values})
		assert.Equal(t, s.Limited, test.limited, "%q", test.values)
		assert.Equal(t, s.Limit, test.limit, "%q", test.values)
		assert.Equal(t, s.Invalid != "", test.invalid, "%q", test.values)
	}

	for text, leaving := range map[string]bool{"1": true, "0": false, "": false, "true": false} {
		assert.Equal(t, names.Signals(http.Header{names.Leaving: {text}}).Leaving, leaving, "%q", text)
	}
}

// A caller sets the headers in which only a backend server names a limit or its leaving.
func TestCallersSignalsAreNotForwarded(t *testing.T) {
	names := header.Default()
	assert.Equal(t, len(names.Forwarded(http.Header{names.Limit: {"1"}, names.Leaving: {"1"}})), 0)
}
