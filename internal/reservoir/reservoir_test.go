package reservoir_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/reservoir"
)

func TestTwoKeepsTheTwoLowestKeys(t *testing.T) {
	var d reservoir.Two[string]

	_, ok := d.First()
	assert.Assert(t, !ok)

	for value, key := range map[string]float64{"a": 3, "b": 1, "c": 2, "d": 9} {
		d.Add(value, key)
	}

	first, ok := d.First()
	assert.Assert(t, ok)
	assert.Equal(t, first, "b")

	both, count := d.Both()
	assert.Equal(t, count, 2)
	assert.Equal(t, both, [2]string{"b", "c"})
}

// A value with three times the weight is selected first three times as often.
func TestSelectionFollowsWeights(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	heavy := 0

	for range 10_000 {
		var d reservoir.Two[int]

		d.Add(1, random.ExpFloat64())
		d.Add(3, random.ExpFloat64()/3)

		if first, _ := d.First(); first == 3 {
			heavy++
		}
	}

	assert.Assert(t, heavy > 7300 && heavy < 7700, "%d", heavy)
}
