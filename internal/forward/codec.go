package forward

import (
	"errors"
	"io"
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

// Arrays of another length can't be decoded, so a field that earlier versions don't know can't be part
// of the message. A notice follows the message instead: what follows is ignored by nodes that don't
// know it. Requests and replies are therefore always the last part of a frame.

type (
	plainRequest Request
	plainReply   Reply
)

// EncodeMsgpack implements [msgpack.CustomEncoder].
func (r Request) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeWithNotice(e, (*plainRequest)(&r), r.Notice)
}

// DecodeMsgpack implements [msgpack.CustomDecoder].
func (r *Request) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	r.Notice, err = decodeWithNotice(d, (*plainRequest)(r))

	return err
}

// EncodeMsgpack implements [msgpack.CustomEncoder].
func (r Reply) EncodeMsgpack(e *msgpack.Encoder) error {
	n := r.Notice
	if n == nil && r.Slowness > 0 {
		n = &emptyNotice
	}

	if err := encodeWithNotice(e, (*plainReply)(&r), n); err != nil || r.Slowness == 0 {
		return err
	}

	return e.EncodeInt(int64(math.Round(r.Slowness * slownessUnits)))
}

// DecodeMsgpack implements [msgpack.CustomDecoder].
func (r *Reply) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	if r.Notice, err = decodeWithNotice(d, (*plainReply)(r)); err != nil || r.Notice == nil {
		return err
	}

	if *r.Notice == emptyNotice {
		r.Notice = nil
	}

	if _, err := d.PeekCode(); errors.Is(err, io.EOF) {
		return nil
	}

	units, err := d.DecodeInt64()
	r.Slowness = float64(units) / slownessUnits

	return err
}

// slownessUnits is the number of units that a slowness of 1 is encoded as.
const slownessUnits = 100

// emptyNotice stands where nodes that don't know the slowness read a notice. It is about no backend
// server.
var emptyNotice = Notice{Instance: "-"}

func encodeWithNotice(e *msgpack.Encoder, message any, n *Notice) error {
	if err := e.Encode(message); err != nil || n == nil {
		return err
	}

	return e.Encode(n)
}

func decodeWithNotice(d *msgpack.Decoder, message any) (*Notice, error) {
	if err := d.Decode(message); err != nil {
		return nil, err
	}

	if _, err := d.PeekCode(); errors.Is(err, io.EOF) {
		return nil, nil //nolint:nilnil // no notice is valid
	}

	n := &Notice{}

	return n, d.Decode(n)
}
