package propagation

import (
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"
)

// Bounds of compression. Below packFrom the frame of the codec eats the gain;
// the small window keeps the memory of a node low, since records are short and
// much alike; maxUnpacked keeps a broken or hostile piece from taking it.
const (
	packFrom    = 1 << 10
	packWindow  = 256 << 10
	maxUnpacked = 64 << 20
)

var encoder = sync.OnceValue(func() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(packWindow))
	if err != nil {
		panic(err) // the options are constants
	}

	return e
})

var decoder = sync.OnceValue(func() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpacked))
	if err != nil {
		panic(err) // the options are constants
	}

	return d
})

// pack compresses the records of a large delta.
func (d Delta) pack() Delta {
	if d.size() < packFrom {
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
