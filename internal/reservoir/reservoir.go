// Package reservoir selects two of many values at random, by weight, in one pass and without
// allocations.
//
//	var d reservoir.Two[string]
//	d.Add("a", rand.ExpFloat64()/weight)
//	first, ok := d.First()
package reservoir

// Two keeps the two values with the lowest keys. With exponentially distributed keys, the
// probability that a value is first is proportional to the inverse of its key's mean.
type Two[T any] struct {
	first, second sample[T]
}

type sample[T any] struct {
	value T
	key   float64
	ok    bool
}

// Add adds a candidate.
func (t *Two[T]) Add(value T, key float64) {
	next := sample[T]{value, key, true}

	switch {
	case !t.first.ok || key < t.first.key:
		t.first, t.second = next, t.first
	case !t.second.ok || key < t.second.key:
		t.second = next
	}
}

// First returns the value with the lowest key, if there is one.
func (t *Two[T]) First() (value T, ok bool) { return t.first.value, t.first.ok }

// FirstKey returns the lowest key.
func (t *Two[T]) FirstKey() float64 { return t.first.key }

// Both returns the selected values and their count, 0 to 2.
func (t *Two[T]) Both() (values [2]T, count int) {
	values = [2]T{t.first.value, t.second.value}

	switch {
	case t.second.ok:
		count = 2
	case t.first.ok:
		count = 1
	}

	return values, count
}
