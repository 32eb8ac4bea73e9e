package peer

import (
	"bytes"
	"encoding/binary"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// maxPooled bounds the buffers that are returned to the pool, so that one large answer
// does not keep its memory allocated.
const maxPooled = 64 << 10

// encoder encodes one frame into a reusable buffer.
type encoder struct {
	buf     bytes.Buffer
	msgpack *msgpack.Encoder
}

var encoders = sync.Pool{New: func() any {
	e := &encoder{}
	e.msgpack = msgpack.NewEncoder(&e.buf)

	return e
}}

func newEncoder() *encoder { return encoders.Get().(*encoder) }

func (e *encoder) free() {
	if e.buf.Cap() <= maxPooled {
		encoders.Put(e)
	}
}

// grow makes room for a message of a size in bytes, so that the buffer is not copied as it grows.
func (e *encoder) grow(size int) {
	const others = 1 << 10 // beside what the size counts

	e.buf.Reset()
	e.buf.Grow(size + others)
}

// message encodes a message without a frame. The returned bytes are valid until free.
func (e *encoder) message(v any) ([]byte, error) {
	e.buf.Reset()

	if err := e.msgpack.Encode(v); err != nil {
		return nil, ErrFrameInvalid.Wrap(err)
	}

	return e.buf.Bytes(), nil
}

// lengthPlaceholder reserves space for the length prefix, which is set once the frame is
// encoded.
var lengthPlaceholder [lengthBytes]byte

// frame encodes a frame with its length prefix: the fields of f, then message, or f.Body
// if message is nil.
func (e *encoder) frame(f *Frame, message any) error {
	e.buf.Reset()
	e.buf.Write(lengthPlaceholder[:])

	if err := e.msgpack.Encode(f); err != nil {
		return ErrFrameInvalid.Wrap(err)
	}

	if message == nil {
		e.buf.Write(f.Body)
	} else if err := e.msgpack.Encode(message); err != nil {
		return ErrFrameInvalid.Wrap(err)
	}

	size := e.buf.Len() - lengthBytes
	if size > MaxFrame {
		return ErrFrameTooLarge.With("%d bytes, limit %d", size, MaxFrame)
	}

	binary.BigEndian.PutUint32(e.buf.Bytes(), uint32(size))

	return nil
}

// decoder decodes messages from a byte slice.
type decoder struct {
	data    bytes.Reader
	msgpack *msgpack.Decoder
}

var decoders = sync.Pool{New: func() any {
	d := &decoder{}
	d.msgpack = msgpack.NewDecoder(&d.data)
	d.msgpack.UsePreallocateValues(true)

	return d
}}

func (d *decoder) free() {
	d.data.Reset(nil)
	decoders.Put(d)
}
