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
