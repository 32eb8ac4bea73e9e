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

// A figure of the load header is taken for another one, or part of an invalid header is believed.
func TestLoadIsReadByPosition(t *testing.T) {
	names := header.Default()

	for _, test := range []struct {
		value string
		want  header.Load
	}{
		{"3,0,8", header.Load{Running: 3, Slots: 8}},
		{" 3, 1 ,8 ", header.Load{Running: 3, Waiting: 1, Slots: 8}},
		{"3,0,8,100", header.Load{Running: 3, Slots: 8, Slowness: 1}},
		{"3,0,8,250", header.Load{Running: 3, Slots: 8, Slowness: 2.5}},
		{"3,0,8,250,x", header.Load{Running: 3, Slots: 8, Slowness: 2.5}},
		{"3,0,8,0", header.Load{Running: 3, Slots: 8}},
		{"3,0,8,", header.Load{}},
		{"3,0,8,-1", header.Load{}},
		{"3,0,8,NaN", header.Load{}},
		{"3,0,8,1e2", header.Load{}},
		{"3,,8", header.Load{}},
		{"3,0,-8", header.Load{}},
		{"3,0,99999999999", header.Load{}},
		{"0,8", header.Load{}},
		{"8", header.Load{}},
		{"", header.Load{}},
	} {
		assert.Check(t, names.Reported(http.Header{names.Load: {test.value}}) == test.want, "%q", test.value)
	}
}
