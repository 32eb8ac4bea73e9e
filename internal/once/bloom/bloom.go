// Package bloom remembers keys that were dropped, in fixed memory and without
// ever forgetting one: a Bloom filter that is wrong in one direction only.
//
// A key that names no home tells nothing of its age. A request that waited in a
// process that was frozen for an hour looks new, and would run again after its
// record was dropped. With the filter it ends in unknown; so does, wrongly, one
// new key in some four hundred of a full filter, which its caller can live with.
//
//	f := bloom.New()
//	f.Add("upload-17")
//	f.Has("upload-17") // true for ever
package bloom

import (
	mathbits "math/bits"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrFilter is returned for a filter that does not check.
var ErrFilter = errs.New("once.filter", http.StatusBadRequest, "filter not accepted")

const (
	// Bytes is the memory of a filter: 16 bits for each of Capacity keys.
	Bytes = 1 << 20
	// Capacity is how many keys fit before more than one in 400 of other keys is
	// taken for a dropped one.
	Capacity = 1 << 19

	wordBits = 64
	bits     = Bytes * 8
	probes   = 4
	half     = 32
)

// Filter is a set that never forgets. The zero filter is empty and takes no
// memory.
type Filter struct {
	Words []uint64 `msgpack:"Words,omitempty"`
	Size  int      `msgpack:"Size"`
}

// Check reports whether a decoded filter can be used.
func (f *Filter) Check() error {
	if len(f.Words) != 0 && len(f.Words) != bits/wordBits {
		return ErrFilter.With("%d words", len(f.Words))
	}

	return nil
}

// Clone returns a copy.
func (f *Filter) Clone() Filter { return Filter{Words: slices.Clone(f.Words), Size: f.Size} }

// Union puts in all keys of another filter.
func (f *Filter) Union(o Filter) {
	if o.Words == nil {
		return
	}

	if f.Words == nil {
		f.Words = make([]uint64, bits/wordBits)
	}

	set := 0

	for i, w := range o.Words {
		f.Words[i] |= w
		set += mathbits.OnesCount64(f.Words[i])
	}

	// The two may have had keys in common, so that the sum would count too many.
	f.Size = max(f.Size, o.Size, set/probes)
}

// Add puts a key in.
func (f *Filter) Add(key string) {
	if f.Words == nil {
		f.Words = make([]uint64, bits/wordBits)
	}

	f.Size++

	for i := range uint64(probes) {
		n := probe(key, i)
		f.Words[n/wordBits] |= 1 << (n % wordBits)
	}
}

// Has reports whether the key may have been put in; false is certain.
func (f *Filter) Has(key string) bool {
	if f.Words == nil {
		return false
	}

	for i := range uint64(probes) {
		n := probe(key, i)
		if f.Words[n/wordBits]&(1<<(n%wordBits)) == 0 {
			return false
		}
	}

	return true
}

// Full reports whether the filter holds as many keys as it may.
func (f *Filter) Full() bool { return f.Size >= Capacity }

// probe derives all positions from one hash by double hashing.
func probe(key string, i uint64) uint64 {
	h := xxhash.Sum64String(key)

	return ((h & (1<<half - 1)) + i*(h>>half|1)) % bits
}
