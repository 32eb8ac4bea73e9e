package bounded_test

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/bounded"
)

func TestValuesStay(t *testing.T) {
	m := bounded.New[int](2)
	*m.At("a") = 7
	m.At("b")
	assert.Equal(t, *m.At("a"), 7)

	_, ok := m.Get("c")
	assert.Assert(t, !ok)
}

// Versions rename routes again and again for months. The process must not grow by it.
func TestNamesThatComeAndGoAreDropped(t *testing.T) {
	m := bounded.New[int](100)
	held := 0

	for i := range 10_000 {
		m.At(strconv.Itoa(i))
	}

	for i := range 10_000 {
		if _, ok := m.Get(strconv.Itoa(i)); ok {
			held++
		}
	}

	assert.Assert(t, held <= 100)
}
