// Package peer carries typed messages between nodes: msgpack in length-prefixed
// frames over TCP.
//
// Many requests share a connection. Each has a number, and an answer goes to
// the request with its number only, so that late or crossed answers can't reach
// another caller; an answer without a waiting request is dropped.
//
// # Usage
//
//	s := peer.NewServer()
//	s.Handle("Ping", peer.Typed(func(ctx context.Context, in Ping) (Pong, error) { ... }))
//	go s.Serve(listener)
//
//	c := peer.NewClient()
//	var out Pong
//	err := c.Do(ctx, "127.0.0.1:7000", peer.LaneControl, "Ping", Ping{}, &out)
package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net/http"

	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
)

// MaxFrame bounds a frame. A peer that announces more is cut off before memory
// is set aside for it; without the bound one broken length takes the node down.
const MaxFrame = 8 << 20

const lengthBytes = 4

// Errors of the connection.
var (
	ErrFrameTooLarge = errs.New("peer.frame.large", http.StatusRequestEntityTooLarge, "frame over the limit")
	ErrFrameShort    = errs.New("peer.frame.short", http.StatusBadGateway, "frame was cut short")
	ErrFrameInvalid  = errs.New("peer.frame.invalid", http.StatusBadGateway, "frame does not decode")
	// ErrUnreachable means that no byte of the request left this process.
	ErrUnreachable = errs.New("peer.unreachable", http.StatusServiceUnavailable, "peer can't be reached")
	// ErrBroken means that the request may have reached the peer.
	ErrBroken = errs.New("peer.broken", http.StatusBadGateway, "connection broke before the answer")
	// ErrNoMethod means that the peer does not know the method.
	ErrNoMethod = errs.New("peer.method", http.StatusNotImplemented, "unknown method")
)

// Kind tells frames apart.
type Kind uint8

// The kinds of frames.
const (
	KindRequest Kind = iota + 1
	KindAnswer
	KindCancel
	// KindHello is the first frame of a connection; its Method is the peer address
	// of the node that opened it.
	KindHello
	// KindPing asks whether the other end still reads; KindPong answers.
	KindPing
	KindPong
)

// Frame is what travels.
type Frame struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Kind        Kind
	ID          uint64
	Method      string
	Clock       timeline.Stamp
	RemainingMs int64
	Fault       *errs.Error

	// Body is the message. It follows the other fields as bytes of its own, so
	// that it is neither encoded twice nor copied when it is read.
	Body []byte `msgpack:"-"`
}

// Check reports whether a decoded frame can be used.
func (f *Frame) Check() error {
	if f.Kind < KindRequest || f.Kind > KindPong {
		return ErrFrameInvalid.With("kind %d", f.Kind)
	}

	if f.Kind == KindRequest && f.Method == "" {
		return ErrFrameInvalid.With("request without a method")
	}

	return nil
}

// Encode returns the bytes of a frame with its length in front.
func Encode(f *Frame) ([]byte, error) {
	e := newEncoder()
	defer e.free()

	if err := e.frame(f, nil); err != nil {
		return nil, err
	}

	return bytes.Clone(e.buf.Bytes()), nil
}

// Read reads one frame and returns it with its size. A connection that ends
// between frames gives io.EOF, one that ends inside a frame ErrFrameShort.
func Read(r *bufio.Reader) (*Frame, int, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:1]); err != nil {
		return nil, 0, io.EOF
	}

	if _, err := io.ReadFull(r, head[1:]); err != nil {
		return nil, 0, ErrFrameShort.Wrap(err)
	}

	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrame {
		return nil, 0, ErrFrameTooLarge.With("%d bytes, limit %d", size, MaxFrame)
	}

	body := make([]byte, size)
	if n, err := io.ReadFull(r, body); err != nil {
		return nil, 0, ErrFrameShort.With("%d of %d bytes", n, size).Wrap(err)
	}

	var f Frame

	rest, err := decode(body, &f)
	if err != nil {
		return nil, 0, err
	}

	f.Body = rest

	return &f, lengthBytes + len(body), nil
}

// Decode decodes a message and lets it check itself.
func Decode(data []byte, out any) error {
	_, err := decode(data, out)

	return err
}

// decode returns the bytes that follow the message too.
func decode(data []byte, out any) ([]byte, error) {
	d := decoders.Get().(*decoder)
	defer d.free()

	d.data.Reset(data)
	d.msgpack.Reset(&d.data)

	if err := d.msgpack.Decode(out); err != nil {
		return nil, ErrFrameInvalid.Wrap(err)
	}

	rest := data[len(data)-d.data.Len():]

	if c, ok := out.(interface{ Check() error }); ok {
		return rest, c.Check()
	}

	return rest, nil
}
