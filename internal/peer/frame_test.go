package peer_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/peer"
)

func TestFrameRoundTrip(t *testing.T) {
	data, err := peer.Encode(&peer.Frame{Kind: peer.KindRequest, ID: 7, Method: "Ping", Body: []byte{0xc0}})
	assert.NilError(t, err)

	f, size, err := peer.Read(bufio.NewReader(bytes.NewReader(data)))
	assert.NilError(t, err)
	assert.Equal(t, size, len(data))
	assert.Equal(t, f.ID, uint64(7))
	assert.Equal(t, f.Method, "Ping")
}

// A host terminates while it sends a frame. The read must fail and not return a truncated
// answer as a whole one.
func TestTruncatedFrameIsAnError(t *testing.T) {
	data, err := peer.Encode(&peer.Frame{Kind: peer.KindAnswer, ID: 7, Body: []byte{0xc0}})
	assert.NilError(t, err)

	for n := 1; n < len(data); n++ {
		_, _, err := peer.Read(bufio.NewReader(bytes.NewReader(data[:n])))
		assert.ErrorIs(t, err, peer.ErrFrameShort, "truncated after %d bytes", n)
	}

	_, _, err = peer.Read(bufio.NewReader(bytes.NewReader(nil)))
	assert.ErrorIs(t, err, io.EOF)
}

// A faulty or hostile peer announces a frame of gigabytes. Without the limit, the node would
// allocate the memory and be killed.
func TestOversizedFrameIsRejectedBeforeItIsRead(t *testing.T) {
	var head [4]byte
	binary.BigEndian.PutUint32(head[:], peer.MaxFrame+1)

	_, _, err := peer.Read(bufio.NewReader(bytes.NewReader(head[:])))
	assert.ErrorIs(t, err, peer.ErrFrameTooLarge)

	_, err = peer.Encode(&peer.Frame{Kind: peer.KindAnswer, Body: append([]byte{0xc6, 0, 0x80, 0, 0}, make([]byte, peer.MaxFrame)...)})
	assert.ErrorIs(t, err, peer.ErrFrameTooLarge)
}
