package membudget

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrNoRoom means that the budget has no room for a body.
var ErrNoRoom = errs.New("membudget.no_room", http.StatusServiceUnavailable, "no memory for the body")

const (
	// smallBody is the size up to which a body has one buffer.
	smallBody = 64 << 10
	// firstBytes is the size of the first buffer of a larger body, and growth the factor to the next one.
	firstBytes = 4 << 10
	growth     = 4
	// maxGrown is the largest buffer before one for the whole body: a client that declares much has to send
	// some of it before it gets the room.
	maxGrown = 4 << 20
)

// ReadBody reads a body until it ends or has size bytes: its length if it is known, or one more than the limit. The
// functions take and free the bytes of its buffers; what is returned stays taken. It returns ErrNoRoom if
// take returns false.
func ReadBody(from io.Reader, size int, take func(n int) bool, free func(n int)) ([]byte, error) {
	var body []byte

	for len(body) < size {
		if len(body) == cap(body) {
			next := nextSize(cap(body), size)
			if !take(next) {
				return body, ErrNoRoom
			}

			old := cap(body)
			body = append(make([]byte, 0, next), body...)
			free(old) // nothing refers to it any more
		}

		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]

		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}

	return body, nil
}

// fieldBytes is what a decoded header field takes beside its text: entries of a map and of two lists.
const fieldBytes = 192

// HeadBytes returns about what a head, or a part of one, takes with its decoded form.
func HeadBytes(text []byte) int {
	const copies = 2

	return copies*len(text) + fieldBytes*bytes.Count(text, []byte("\n"))
}

// FieldsBytes returns about what decoded header fields take.
func FieldsBytes(h http.Header) int {
	n := 0

	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + fieldBytes
		}
	}

	return n
}

// nextSize returns the size of the buffer that follows one of a size.
func nextSize(size, whole int) int {
	switch {
	case size == 0 && whole > smallBody:
		return firstBytes
	case size == 0, size >= maxGrown:
		return whole
	}

	return min(size*growth, whole)
}
