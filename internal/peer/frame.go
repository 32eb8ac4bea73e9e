// Package peer carries typed messages between nodes as msgpack in length-prefixed frames
// over TCP.
//
// Requests share connections. Each request has an ID and its answer carries the same ID, so
// that late or reordered answers never reach another request. An answer without a pending
// request is dropped.
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

	"github.com/pollencart/pollencart/internal/nesting"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
)

// MaxFrame bounds a frame in bytes. The connection of a peer that announces more is closed
// before memory is allocated; otherwise one corrupt length would exhaust the node's memory.
const MaxFrame = 8 << 20

// MaxMessage bounds the message of a request in bytes.
const MaxMessage = MaxFrame / 2

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
	// ErrOverloaded means that a node has no memory for the request. No handler got it, or no byte of it left this
	// process.
	ErrOverloaded = errs.New("peer.overloaded", http.StatusServiceUnavailable, "no memory for the request")
	// ErrNoMemory means that the answer came, and that this node has no memory for it.
	ErrNoMemory = errs.New("peer.no_memory", http.StatusBadGateway, "no memory for the answer")
	// ErrHandler means that the handler of the peer panicked; the request may have had effects.
	ErrHandler = errs.New("peer.handler", http.StatusBadGateway, "the peer failed to handle the request")
	// ErrNoMethod means that the peer does not know the method.
	ErrNoMethod = errs.New("peer.method", http.StatusNotImplemented, "unknown method")
)

// Kind is the type of a frame.
type Kind uint8

// The kinds of frames.
const (
	KindRequest Kind = iota + 1
	KindAnswer
	KindCancel
	// KindHello is the first frame of a connection. Its Method is the peer address of the node
	// that opened the connection.
	KindHello
	// KindPing checks whether the other end still reads; KindPong is the reply.
	KindPing
	KindPong
)

// Frame is the unit of transmission on a connection.
type Frame struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Kind        Kind
	ID          uint64
	Method      string
	Clock       timeline.Stamp
	RemainingMs int64
	Fault       *errs.Error

	// Body is the encoded message. It follows the other fields as raw bytes, so that it is
	// neither encoded twice nor copied on reading.
	Body []byte `msgpack:"-"`
}

// Check returns an error if a decoded frame is invalid.
func (f *Frame) Check() error {
	if f.Kind < KindRequest || f.Kind > KindPong {
		return ErrFrameInvalid.With("kind %d", f.Kind)
	}

	if f.Kind == KindRequest && f.Method == "" {
		return ErrFrameInvalid.With("request without a method")
	}

	return nil
}

// Encode returns a frame with its length prefix.
func Encode(f *Frame) ([]byte, error) {
	e := newEncoder()
	defer e.free()

	if err := e.frame(f, nil); err != nil {
		return nil, err
	}

	return bytes.Clone(e.buf.Bytes()), nil
}

// Read reads one frame and returns it with its size in bytes, including the length prefix.
// It returns io.EOF if the connection ends between frames and ErrFrameShort if it ends within
// a frame.
func Read(r *bufio.Reader) (*Frame, int, error) {
	size, err := readSize(r)
	if err != nil {
		return nil, 0, err
	}

	return readFrame(r, size)
}

// readSize reads the length prefix of a frame.
func readSize(r *bufio.Reader) (int, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:1]); err != nil {
		return 0, io.EOF
	}

	if _, err := io.ReadFull(r, head[1:]); err != nil {
		return 0, ErrFrameShort.Wrap(err)
	}

	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrame {
		return 0, ErrFrameTooLarge.With("%d bytes, limit %d", size, MaxFrame)
	}

	return int(size), nil
}

// readFrame reads a frame whose length prefix was read.
func readFrame(r *bufio.Reader, size int) (*Frame, int, error) {
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

// Decode decodes a message and calls its Check method if it has one.
func Decode(data []byte, out any) error {
	_, err := decode(data, out)

	return err
}

// decode is Decode that also returns the bytes after the message.
func decode(data []byte, out any) ([]byte, error) {
	if err := nesting.CheckMsgpack(data); err != nil {
		return nil, ErrFrameInvalid.Wrap(err)
	}

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
