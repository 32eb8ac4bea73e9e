// Package http1 reads responses of HTTP/1.1 peers that may be faulty, and checks the heads of requests.
//
// net/http accepts heads that are no valid responses, for example field names with blanks. Such a
// field is passed on as it is, and a length in it is ignored, so that the body has another end
// than its sender gave it. This package rejects what RFC 9112 lets a client reject, and its errors hold
// no bytes of the response.
//
// # Usage
//
//	r := http1.NewReader(conn, 4<<10)
//	response, err := r.ReadHead(http.MethodGet, 64<<10)
//	body, err := io.ReadAll(response.Body)
//
//	err := http1.CheckRequest(head) // of a request, before it is decoded
package http1

import (
	"bufio"
	"io"
	"math"
	"net/http"
)

// Reader reads the responses of one connection.
type Reader struct {
	limit  io.LimitedReader // bounds the bytes that a head may take
	record recorder
	in     *bufio.Reader
}

// NewReader returns a reader with a buffer of the given size in bytes.
func NewReader(raw io.Reader, size int) *Reader {
	r := &Reader{limit: io.LimitedReader{R: raw}}
	r.record.from = &r.limit
	r.in = bufio.NewReaderSize(&r.record, size)

	return r
}

// Buffered returns the number of bytes that were received and not read.
func (r *Reader) Buffered() int { return r.in.Buffered() }

// ReadHead reads the head of the response to a request with the given method. The body of the
// last response must have been read to its end. It returns ErrTooLarge if the head needs more than
// maxBytes bytes, and ErrMalformed if it is no valid head.
func (r *Reader) ReadHead(method string, maxBytes int64) (*http.Response, error) {
	r.limit.N = maxBytes
	r.record.start(r.in)

	response, err := http.ReadResponse(r.in, &http.Request{Method: method})
	head := r.record.stop(r.in)

	switch {
	case err != nil && r.limit.N <= 0:
		return nil, ErrTooLarge.With("head over %d bytes", maxBytes)
	case err != nil:
		return nil, Failure(err)
	}

	if err := check(response); err != nil {
		return nil, err
	}

	if err := checkHead(response, head); err != nil {
		return nil, err
	}

	r.limit.N = math.MaxInt64
	response.Body = Body(response)

	return response, nil
}

// recorder keeps the bytes of a head, since http.ReadResponse returns it decoded.
type recorder struct {
	from  io.Reader
	on    bool
	bytes []byte
}

// maxKeptBytes is the largest buffer that is kept for the next head.
const maxKeptBytes = 4 << 10

// start records what is buffered in the reader and all that is read until stop.
func (c *recorder) start(in *bufio.Reader) {
	if cap(c.bytes) > maxKeptBytes {
		c.bytes = nil
	}

	buffered, _ := in.Peek(in.Buffered()) // can't fail: nothing is read
	c.bytes, c.on = append(c.bytes[:0], buffered...), true
}

// stop returns what was recorded, without what is still buffered in the reader.
func (c *recorder) stop(in *bufio.Reader) []byte {
	c.on = false

	return c.bytes[:len(c.bytes)-in.Buffered()]
}

// Read implements io.Reader.
func (c *recorder) Read(b []byte) (int, error) {
	n, err := c.from.Read(b)
	if c.on {
		c.bytes = append(c.bytes, b[:n]...)
	}

	return n, err
}
