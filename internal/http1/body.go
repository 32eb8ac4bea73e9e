package http1

import (
	"io"
	"net/http"
)

// body is the body of a response.
type body struct {
	io.ReadCloser
}

// Body returns the body of a response that was decoded by net/http. Its errors hold no bytes of the
// response.
func Body(response *http.Response) io.ReadCloser {
	return &body{ReadCloser: response.Body}
}

// Read implements io.Reader.
func (b *body) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if err != nil {
		err = Failure(err)
	}

	return n, err
}
