package configsync

import (
	"net/http"

	"github.com/klauspost/compress/zstd"

	"github.com/pollencart/pollencart/pkg/errs"
)

// errDelta is returned for a document that can't be decompressed.
var errDelta = errs.New("feed.delta", http.StatusUnprocessableEntity, "document can't be restored")

// baseID is the ID of the dictionary, which is the document of the base version.
const baseID = 1

// pack compresses a document with the previous version as dictionary, because successive
// versions differ in few routes. With one of 1,600 routes changed, 238,000 bytes compress
// to 270 (TestDeltaIsSmall). Without a dictionary they compress to 17,000 bytes, which
// occupy a link of 5 Mbit/s for 27 ms at every node, and for half a second at a watcher
// that pushes to 20 nodes.
func pack(base, next []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(len(base) + len(next))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}

	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errDelta.Wrap(err)
	}

	packed := e.EncodeAll(next, nil)

	return packed, e.Close()
}

// windowSize returns the smallest window that covers both documents.
func windowSize(size int) int {
	window := zstd.MinWindowSize
	for window < size && window < maxDocument {
		window *= 2
	}

	return window
}

// unpack restores a document that pack compressed with the same base.
func unpack(base, packed []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDocument),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}

	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errDelta.Wrap(err)
	}
	defer d.Close()

	out, err := d.DecodeAll(packed, nil)
	if err != nil {
		return nil, errDelta.Wrap(err)
	}

	return out, nil
}
