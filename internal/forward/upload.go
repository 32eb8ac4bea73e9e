package forward

import (
	"github.com/vmihailenco/msgpack/v5"
)

// A message between nodes is bounded. A call with a longer body is sent in parts first, which the gate keeps until the
// request that names them. A gate of a version without these methods refuses the first part, so that the call is not
// run without its body.
const (
	// MethodPart sends a part of a body, MethodRunUploaded runs a call whose body was sent in parts.
	MethodPart        = "Part"
	MethodRunUploaded = "RunUploaded"
)

// Part is a part of the body of a call.
type Part struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Upload identifies the body, Bytes is its size and Offset where the part begins in it.
	Upload string `msgpack:"Upload"`
	Bytes  int    `msgpack:"Bytes"`
	Offset int    `msgpack:"Offset"`
	Data   []byte `msgpack:"Data"`
}

// Check returns an error if a decoded part is invalid.
func (p *Part) Check() error {
	if p.Upload == "" || p.Offset < 0 || len(p.Data) == 0 || p.Bytes < len(p.Data) || p.Offset > p.Bytes-len(p.Data) {
		return ErrMessage.With("part of %d bytes at %d of %d", len(p.Data), p.Offset, p.Bytes)
	}

	return nil
}

// Size returns about how many bytes the part has when it is encoded.
func (p Part) Size() int { return len(p.Data) }

// PartReply is the reply to a Part that was taken.
type PartReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
}

// Uploaded is a request without its body, which was sent in parts.
type Uploaded struct {
	Upload  string
	Request Request
}

// Check returns an error if a decoded request is invalid.
func (u *Uploaded) Check() error {
	if u.Upload == "" || len(u.Request.Body) > 0 {
		return ErrMessage.With("upload %q with a body of %d bytes", u.Upload, len(u.Request.Body))
	}

	return u.Request.Check()
}

// EncodeMsgpack implements [msgpack.CustomEncoder]. The request is the last part, since a notice may follow it.
func (u Uploaded) EncodeMsgpack(e *msgpack.Encoder) error {
	if err := e.EncodeString(u.Upload); err != nil {
		return err
	}

	return u.Request.EncodeMsgpack(e)
}

// DecodeMsgpack implements [msgpack.CustomDecoder].
func (u *Uploaded) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	if u.Upload, err = d.DecodeString(); err != nil {
		return err
	}

	return u.Request.DecodeMsgpack(d)
}
