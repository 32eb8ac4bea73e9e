package configsync

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func lines(changed int) []byte {
	var b bytes.Buffer

	for i := range 1600 {
		target := "1000"
		if i == changed {
			target = "2500"
		}

		fmt.Fprintf(&b, `["r-%06x","h%03d.example","/p%06x/%x/","safe",%s,0.4,2,"service-a",2,null],`, i*7919, i%50, i*104729, i*i, target)
	}

	return b.Bytes()
}

// A version that differs in one route is sent to every node of a failure domain over links of
// a few Mbit/s. Sent in full, it would delay the calls on these links.
func TestDeltaIsSmall(t *testing.T) {
	base, next := lines(-1), lines(800)

	whole, err := pack(nil, next)
	assert.NilError(t, err)

	delta, err := pack(base, next)
	assert.NilError(t, err)
	t.Logf("document %d bytes, packed %d, delta %d", len(next), len(whole), len(delta))
	assert.Assert(t, len(delta)*20 < len(whole))

	got, err := unpack(base, delta)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, next))

	got, err = unpack(nil, whole)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, next))
}

// A delta applied to a version other than its base must not produce a document that the
// operator never wrote.
func TestDeltaWithWrongBaseIsRejected(t *testing.T) {
	delta, err := pack(lines(-1), lines(800))
	assert.NilError(t, err)

	_, err = unpack(lines(3)[:50_000], delta)
	assert.ErrorIs(t, err, errDelta)
}
