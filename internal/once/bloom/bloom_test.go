package bloom_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/once/bloom"
)

// Checks that added keys are always found, also in a copy and in a union, and that a full filter
// has false positives for less than 1 in 200 other keys.
func TestFilterHasNoFalseNegatives(t *testing.T) {
	var a, b, none bloom.Filter

	for i := range bloom.Capacity / 2 {
		a.Add(fmt.Sprintf("a%d", i))
		b.Add(fmt.Sprintf("b%d", i))
	}

	a.Union(none)
	none.Union(a)
	none.Union(b.Clone())
	none.Union(b)

	for i := range bloom.Capacity / 2 {
		assert.Assert(t, none.Has(fmt.Sprintf("a%d", i)) && none.Has(fmt.Sprintf("b%d", i)))
	}

	wrong := 0

	const others = 100_000
	for i := range others {
		if none.Has(fmt.Sprintf("c%d", i)) {
			wrong++
		}
	}

	t.Logf("%d false positives in %d other keys", wrong, others)
	assert.Assert(t, wrong < others/200)
	assert.Assert(t, none.Size > bloom.Capacity*8/10 && none.Size <= bloom.Capacity, "%d", none.Size)
}
