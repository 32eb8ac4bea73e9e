// Package bloom implements a Bloom filter of dropped idempotency keys: fixed memory, no false
// negatives and few false positives.
//
// An opaque key does not reveal its age. A request that was buffered by a process during a stall
// of an hour looks new, and would run again after its record was dropped. The filter makes it end
// as unknown instead. A full filter does the same to about one new key in 400, a false positive
// that callers can handle.
//
//	var f bloom.Filter
//	f.Add("upload-17")
//	f.Has("upload-17") // true from now on
package bloom

import (
	mathbits "math/bits"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrFilter is returned for an invalid filter.
var ErrFilter = errs.New("once.filter", http.StatusBadRequest, "filter not accepted")

const (
	// Bytes is the size of a filter: 16 bits for each of Capacity keys.
	Bytes = 1 << 20
	// Capacity is the number of keys up to which the rate of false positives is at most 1 in 400.
	Capacity = 1 << 19

	wordBits = 64
	bits     = Bytes * 8
	probes   = 4
	halfBits = 32
)

// Filter is a set of keys without removal. The zero value is empty and allocates no memory.
type Filter struct {
	Words []uint64 `msgpack:"Words,omitempty"`
	Size  int      `msgpack:"Size"`
}

// Check validates a decoded filter.
func (f *Filter) Check() error {
	if len(f.Words) != 0 && len(f.Words) != bits/wordBits {
		return ErrFilter.With("%d words", len(f.Words))
	}

	return nil
}

// Clone returns a deep copy.
func (f *Filter) Clone() Filter { return Filter{Words: slices.Clone(f.Words), Size: f.Size} }

// Union adds all keys of another filter.
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

	// The filters may share keys, so the sum of their sizes would count these twice.
	f.Size = max(f.Size, o.Size, set/probes)
}

// Add adds a key.
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

// Has reports whether the key may have been added; false is certain.
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

// Full reports whether the filter has reached its capacity.
func (f *Filter) Full() bool { return f.Size >= Capacity }

// probe returns the bit position of probe i, derived from one hash by double hashing.
func probe(key string, i uint64) uint64 {
	h := xxhash.Sum64String(key)

	return ((h & (1<<halfBits - 1)) + i*(h>>halfBits|1)) % bits
}
