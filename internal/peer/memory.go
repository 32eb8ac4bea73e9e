package peer

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pollencart/pollencart/internal/nesting"
)

const (
	// smallFrame is the size in bytes up to which a frame is read before its memory is taken: each connection reads
	// one at a time.
	smallFrame = 4 << 10
	// smallMessage is the size in bytes up to which the memory to encode a message is not taken.
	smallMessage = 4 << 10
	// linkBytes is what a connection takes without a request.
	linkBytes = 8 << 10
	// requestBytes is what a request takes beside its message.
	requestBytes = 16 << 10
	// valueBytes is what a decoded value takes beside its bytes.
	valueBytes = 32
	// peekedBytes hold the fields of a frame that say what it is.
	peekedBytes = 256
	// largeFrameTimeout bounds the rest of a large frame.
	largeFrameTimeout = 10 * time.Second
)

// messageBytes returns what a message takes with its decoded form.
func messageBytes(message []byte) int {
	return 2*len(message) + valueBytes*nesting.CountMsgpack(message)
}

// sizeOf returns about the encoded size of a message that tells it, or 0.
func sizeOf(message any) int {
	if m, ok := message.(interface{ Size() int }); ok {
		return m.Size()
	}

	return 0
}

// preview is the beginning of a frame.
type preview struct {
	kind   Kind
	id     uint64
	method string
}

// peek returns the beginning of the next frame without reading it. A frame that does not decode has no kind.
func peek(r *bufio.Reader, size int) (p preview) {
	data, _ := r.Peek(min(size, peekedBytes)) // a short frame fails when it is read

	d := msgpack.NewDecoder(bytes.NewReader(data))
	if n, err := d.DecodeArrayLen(); err != nil || n < 0 {
		return p
	}

	kind, err := d.DecodeUint8()
	if err != nil {
		return p
	}

	if p.id, err = d.DecodeUint64(); err != nil {
		return p
	}

	p.method, _ = d.DecodeString() // a longer name is that of no method
	p.kind = Kind(kind)

	return p
}

// skip discards a frame whose length prefix was read.
func skip(r *bufio.Reader, size int) error {
	_, err := io.CopyN(io.Discard, r, int64(size))

	return err
}
