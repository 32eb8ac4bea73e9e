package http1

import (
	"errors"
	"io"
	"net/http"
)

// body is the body of a response. It is complete only if its trailers are valid.
type body struct {
	io.ReadCloser

	response *http.Response
}

// Body returns the body of a response that was decoded by net/http. Its errors hold no bytes of the
// response.
func Body(response *http.Response) io.ReadCloser {
	if response.Body == http.NoBody {
		return response.Body
	}

	return &body{ReadCloser: response.Body, response: response}
}

// ReadAll reads a body to its end. It returns ErrTooLarge if the body has more than maxBytes bytes.
func ReadAll(body io.Reader, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxBytes+1))

	switch {
	case err != nil:
		return nil, err
	case int64(len(data)) > maxBytes:
		return nil, ErrTooLarge.With("body over %d bytes", maxBytes)
	}

	return data, nil
}

// Read implements io.Reader.
func (b *body) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)

	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && checkNames(b.response.Trailer) != nil:
		return n, ErrMalformed.With("trailer")
	}

	return n, Failure(err)
}
