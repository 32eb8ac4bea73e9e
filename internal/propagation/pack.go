package propagation

import (
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"
)

// Limits of compression. Below minPackBytes the codec's frame outweighs the gain. The
// small window saves memory and suffices, since records are short and similar.
// maxUnpackedBytes keeps a corrupt or malicious piece from using up the memory.
const (
	minPackBytes     = 1 << 10
	packWindowBytes  = 256 << 10
	maxUnpackedBytes = 64 << 20
)

var encoder = sync.OnceValue(func() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(packWindowBytes))
	if err != nil {
		panic(err) // the options are constants
	}

	return e
})

var decoder = sync.OnceValue(func() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	if err != nil {
		panic(err) // the options are constants
	}

	return d
})

// pack compresses the records of a large delta.
func (d Delta) pack() Delta {
	if d.size() < minPackBytes {
		return d
	}

	data, err := msgpack.Marshal(d.Changed)
	if err != nil {
		return d
	}

	d.Packed, d.Changed = encoder().EncodeAll(data, nil), nil

	return d
}

func (d *Delta) unpack() error {
	if len(d.Packed) == 0 {
		return nil
	}

	data, err := decoder().DecodeAll(d.Packed, nil)
	if err != nil {
		return ErrDelta.Wrap(err)
	}

	d.Packed = nil

	if err := msgpack.Unmarshal(data, &d.Changed); err != nil {
		return ErrDelta.Wrap(err)
	}

	return nil
}
