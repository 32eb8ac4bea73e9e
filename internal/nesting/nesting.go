// Package nesting bounds how deeply documents of others are nested before they are decoded.
//
// Decoders call themselves for each level. The msgpack decoder has no bound, and a message of a few
// megabytes that consists of nested arrays overflows the stack, which ends the process. The JSON
// decoder gives up a document at 10,000 levels, with all other entries in it.
//
// # Usage
//
//	err := nesting.UnmarshalMsgpack(data, &message)
//	data = nesting.PruneJSON(data, depth)
package nesting

import (
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pollencart/pollencart/pkg/errs"
)

const (
	// MaxDepth is the number of levels that a message may have.
	MaxDepth = 64
	// smallBytes is the size up to which a message is not checked: a level takes a byte at least, and
	// the decoder about 200 bytes of stack for it.
	smallBytes = 64 << 10
)

const bitsPerByte = 8

// ErrDepth is returned for a message that is nested too deeply.
var ErrDepth = errs.New("nesting.depth", http.StatusUnprocessableEntity, "message is nested too deeply")

// CheckMsgpack returns an error if a value of data, which is one or more msgpack values, is nested
// more than MaxDepth levels deep. It does not check anything else.
func CheckMsgpack(data []byte) error {
	if len(data) <= smallBytes {
		return nil
	}

	// open has the number of values that each level still expects.
	open := make([]uint64, 0, MaxDepth)

	for len(data) > 0 {
		size, children := value(data)
		if size > uint64(len(data)) {
			return nil // cut short, as the decoder will find
		}

		data = data[size:]

		switch {
		case children == 0:
			open = closeValue(open)
		case len(open) == MaxDepth:
			return ErrDepth.With("limit %d levels", MaxDepth)
		default:
			open = append(open, children)
		}
	}

	return nil
}

// CountMsgpack returns the number of values, nested ones included, in data, which is one or more msgpack values.
// Decoded, each takes memory beside its bytes.
func CountMsgpack(data []byte) int {
	n := 0

	for len(data) > 0 {
		size, _ := value(data)
		data = data[min(size, uint64(len(data))):]
		n++
	}

	return n
}

// UnmarshalMsgpack decodes one msgpack value that is not nested too deeply.
func UnmarshalMsgpack(data []byte, out any) error {
	if err := CheckMsgpack(data); err != nil {
		return err
	}

	return msgpack.Unmarshal(data, out)
}

// closeValue counts a value that is complete, and all levels that it completes.
func closeValue(open []uint64) []uint64 {
	for last := len(open) - 1; last >= 0; last-- {
		open[last]--

		if open[last] > 0 {
			return open[:last+1]
		}
	}

	return open[:0]
}

// form is how values with one code are encoded: the code, length bytes, and then fixed bytes, or as
// many bytes or values as the length says.
type form struct {
	code, last  byte // the codes from code to last
	lengthBytes int
	fixed       uint64
	bytes       bool   // the length is in bytes
	values      uint64 // values for each unit of the length
	mask        byte   // the length is in these bits of the code
}

// forms returns the forms of the msgpack specification. A code without a form is one byte.
func forms() []form {
	return []form{
		{code: 0x80, last: 0x8f, mask: 0x0f, values: 2}, // maps
		{code: 0xde, last: 0xde, lengthBytes: 2, values: 2},
		{code: 0xdf, last: 0xdf, lengthBytes: 4, values: 2},
		{code: 0x90, last: 0x9f, mask: 0x0f, values: 1}, // arrays
		{code: 0xdc, last: 0xdc, lengthBytes: 2, values: 1},
		{code: 0xdd, last: 0xdd, lengthBytes: 4, values: 1},
		{code: 0xa0, last: 0xbf, mask: 0x1f, bytes: true}, // strings
		{code: 0xd9, last: 0xd9, lengthBytes: 1, bytes: true},
		{code: 0xda, last: 0xda, lengthBytes: 2, bytes: true},
		{code: 0xdb, last: 0xdb, lengthBytes: 4, bytes: true},
		{code: 0xc4, last: 0xc4, lengthBytes: 1, bytes: true}, // binary
		{code: 0xc5, last: 0xc5, lengthBytes: 2, bytes: true},
		{code: 0xc6, last: 0xc6, lengthBytes: 4, bytes: true},
		{code: 0xc7, last: 0xc7, lengthBytes: 1, bytes: true, fixed: 1}, // extensions
		{code: 0xc8, last: 0xc8, lengthBytes: 2, bytes: true, fixed: 1},
		{code: 0xc9, last: 0xc9, lengthBytes: 4, bytes: true, fixed: 1},
		{code: 0xd4, last: 0xd4, fixed: 2},
		{code: 0xd5, last: 0xd5, fixed: 3},
		{code: 0xd6, last: 0xd6, fixed: 5},
		{code: 0xd7, last: 0xd7, fixed: 9},
		{code: 0xd8, last: 0xd8, fixed: 17},
		{code: 0xcc, last: 0xcc, fixed: 1}, // numbers
		{code: 0xd0, last: 0xd0, fixed: 1},
		{code: 0xcd, last: 0xcd, fixed: 2},
		{code: 0xd1, last: 0xd1, fixed: 2},
		{code: 0xca, last: 0xca, fixed: 4},
		{code: 0xce, last: 0xce, fixed: 4},
		{code: 0xd2, last: 0xd2, fixed: 4},
		{code: 0xcb, last: 0xcb, fixed: 8},
		{code: 0xcf, last: 0xcf, fixed: 8},
		{code: 0xd3, last: 0xd3, fixed: 8},
	}
}

var formOf = tableOf(forms())

func tableOf(all []form) (table [256]form) {
	for _, f := range all {
		for code := int(f.code); code <= int(f.last); code++ {
			table[code] = f
		}
	}

	return table
}

// value returns the size in bytes of the first value of data without the values in it, and the
// number of those.
func value(data []byte) (size, children uint64) {
	f := formOf[data[0]]
	length := uint64(data[0] & f.mask)

	if len(data) <= f.lengthBytes {
		return uint64(len(data)) + 1, 0
	}

	for _, b := range data[1 : 1+f.lengthBytes] {
		length = length<<bitsPerByte | uint64(b)
	}

	size = uint64(1+f.lengthBytes) + f.fixed
	if f.bytes {
		size += length
	}

	return size, length * f.values
}
