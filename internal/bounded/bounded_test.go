package bounded_test

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/bounded"
)

func TestValuesAreKept(t *testing.T) {
	m := bounded.New[int](2)
	*m.At("a") = 7
	m.At("b")
	assert.Equal(t, *m.At("a"), 7)

	_, ok := m.Get("c")
	assert.Assert(t, !ok)
}

// Configuration versions keep renaming routes for months. Memory use must not grow.
func TestMapDoesNotGrowBeyondItsLimit(t *testing.T) {
	m := bounded.New[int](100)
	kept := 0

	for i := range 10_000 {
		m.At(strconv.Itoa(i))
	}

	for i := range 10_000 {
		if _, ok := m.Get(strconv.Itoa(i)); ok {
			kept++
		}
	}

	assert.Assert(t, kept <= 100)
}
