package http1

import (
	"bytes"
	"net/http"

	"github.com/pollencart/pollencart/pkg/errs"
)

// ErrMalformedRequest means that the bytes are no valid request head.
var ErrMalformedRequest = errs.New("http1.malformed_request", http.StatusBadRequest, "the head of the request is not valid HTTP")

// CheckRequest returns ErrMalformedRequest for the head of a request, up to and with its empty line, that two readers
// may understand differently. net/http keeps a field whose name has a blank before the colon, so that a length in it is
// not seen and the body is read as the next request; it ends a head at a line of blanks, and it ignores an encoding
// in HTTP/1.0 and a length beside an encoding. RFC 9112 lets a server reject all of these.
func CheckRequest(head []byte) error {
	requestLine, lines, _ := bytes.Cut(head, []byte("\n"))

	version, err := checkRequestLine(trimEnd(requestLine))
	if err != nil {
		return err
	}

	fields := requestFields{}

	for line := range bytes.Lines(lines) {
		if line = trimEnd(line); len(line) == 0 {
			break
		}

		if err := fields.add(line); err != nil {
			return err
		}
	}

	switch {
	case fields.hosts > 1:
		return ErrMalformedRequest.With("more than one host")
	case fields.encoded && fields.length:
		return ErrMalformedRequest.With("length and encoding")
	case fields.encoded && version == "1.0":
		return ErrMalformedRequest.With("encoding in HTTP/1.0")
	}

	return nil
}

// checkRequestLine returns the version of a request line, which must have three words with one space between them.
func checkRequestLine(line []byte) (version string, err error) {
	const words = 3

	parts := bytes.Split(line, []byte(" "))
	if len(parts) != words || !isToken(parts[0]) || len(parts[1]) == 0 || bytes.ContainsFunc(line, isControlOrTab) {
		return "", ErrMalformedRequest.With("request line")
	}

	switch version := string(parts[2]); version {
	case "HTTP/1.0", "HTTP/1.1":
		return version[len("HTTP/"):], nil
	}

	return "", ErrMalformedRequest.With("version")
}

// requestFields are the fields that decide where a request ends and whom it is for.
type requestFields struct {
	hosts           int
	length, encoded bool
}

func (f *requestFields) add(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))

	switch {
	case !ok || !isToken(name):
		return ErrMalformedRequest.With("field name")
	case bytes.ContainsFunc(value, isControl):
		return ErrMalformedRequest.With("field value")
	case bytes.EqualFold(name, []byte("Host")):
		f.hosts++
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.length = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.encoded = true
	}

	return nil
}

func isControlOrTab(r rune) bool { return r < ' ' || r == 0x7f }
