package bloom_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/once/bloom"
)

// A key that was put in is always found, also in a copy and in a union; others
// are taken for one in fewer than one in 200 cases when the filter is full.
func TestAFilterNeverForgets(t *testing.T) {
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

	t.Logf("%d of %d other keys taken for dropped ones", wrong, others)
	assert.Assert(t, wrong < others/200)
	assert.Assert(t, none.Size > bloom.Capacity*8/10 && none.Size <= bloom.Capacity, "%d", none.Size)
}
